/**
 * Retry limit of one entry for a service: its share of the limit for all entries together. Pure: what the entry knows of
 * the others is passed in. The shares of all entries never add up to more than the total:
 *
 * - The retries earned by requests add up by themselves (see RetryWindow).
 * - The slack is divided among all known entries, whether they can be reached or not.
 * - Only an entry that has had contact with a majority of the seeds (the configured entry addresses) gets a share of the
 *   slack. In a partitioned system at most one partition has a majority, and the entries in it know each other.
 * - An entry that has just started gets none, as its previous process may have used the share within the same span.
 */
import { MAX_ARRIVAL_DELAY, RetryWindow } from './retry-window.js';

/** Retry limit of all entries together for one service. */
export interface SharedRetryLimits {
  /** Retries permitted for each request. */
  share: number;
  /** Additional retries permitted in any span. */
  slack: number;
  /** Length of the sliding window, in milliseconds. */
  span: number;
}

/** What an entry knows about all entries, including itself. */
export interface EntriesKnown {
  /** The largest number of entries known, since its start, to it or to any entry that has contacted it. */
  known: number;
  /** Whether a majority of the seeds has contacted it since its start; only one partition of a system can have that. */
  hasSeedMajority: boolean;
}

/** Share of the slack that is distributed; the rest is reserved for new entries that are not known yet. */
const SLACK_SHARE = 0.9;

/**
 * Creates the retry window of one entry.
 *
 * @param startedAt - when the entry started, in milliseconds of the clock by which the window is used
 */
export function createEntryRetryWindow(
  { share, slack, span }: SharedRetryLimits,
  entries: () => EntriesKnown,
  startedAt: number,
): RetryWindow {
  const slackFrom = startedAt + span + MAX_ARRIVAL_DELAY;
  const slackShare = (now: number) => {
    const { known, hasSeedMajority } = entries();
    return hasSeedMajority && now >= slackFrom ? (SLACK_SHARE * slack) / known : 0;
  };
  return new RetryWindow({ span, share, slack: slackShare });
}
