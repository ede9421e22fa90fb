/**
 * The repetitions that one entry of many may make at a service: its part of what all entries together may make. Pure:
 * what the entry knows of the others is passed in. The parts of all entries add up to no more than the whole:
 *
 * - What an entry's requests earn adds up by itself (see RetryWindow).
 * - The slack is divided among all entries that are known, whether they are heard or not.
 * - Only an entry that has heard most of the seeds has a part of the slack: of the parts of a divided system one at most
 *   has that, and in it entries know of one another.
 * - An entry that has just started has none, as its former process may have spent it within the same span.
 */
import { LONGEST_TO_ARRIVE, RetryWindow } from './retry-window.js';

/** What all entries together may repeat at one service. */
export interface SharedRetryLimits {
  /** Repetitions for each request. */
  share: number;
  /** Repetitions besides. */
  slack: number;
  /** Any span of this length is counted, in milliseconds. */
  span: number;
}

/** What an entry knows of the entries, itself among them. */
export interface EntriesKnown {
  /** Most entries that it, or any entry that it has heard, has known since its start. */
  known: number;
  /** Whether it has heard most of the seeds since its start: no other part of a divided system has, too. */
  hasHeardMostSeeds: boolean;
}

/** Share of the slack that is handed out: the rest is for entries that were added unheard. */
const SLACK_SHARE = 0.9;

/**
 * Creates the window of one entry.
 *
 * @param startedAt - when the entry started, in milliseconds of the clock by which the window is used
 */
export function createEntryRetryWindow(
  { share, slack, span }: SharedRetryLimits,
  entries: () => EntriesKnown,
  startedAt: number,
): RetryWindow {
  const slackFrom = startedAt + span + LONGEST_TO_ARRIVE;
  const slackShare = (now: number) => {
    const { known, hasHeardMostSeeds } = entries();
    return hasHeardMostSeeds && now >= slackFrom ? (SLACK_SHARE * slack) / known : 0;
  };
  return new RetryWindow({ span, share, slack: slackShare });
}
