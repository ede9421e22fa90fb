/**
 * The repetitions that one entry of many may make at a service: its part of what all entries together may make. Pure:
 * what the entry knows of the others is passed in.
 */
import { RetryWindow } from './retry-window.js';

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
  /** Entries that live, as far as it hears. */
  live: number;
  /** Most entries that it, or any entry that it has heard, has known since its start. */
  known: number;
  /** Whether it has heard most of the seeds since its start: no other part of a divided system has, too. */
  hasHeardMostSeeds: boolean;
}

/** Share of the repetitions that its requests allow which an entry uses: counts of others may differ a little. */
const BUDGET_SHARE = 0.9;
/**
 * The slack of all entries is divided among this many for each that lives, and among this many at least: an entry that
 * starts again has forgotten what it spent.
 */
const SLACK_SHARES_BY_ENTRY = 1.8;
const LEAST_SLACK_SHARES = 16;

/**
 * Creates the window of one entry.
 *
 * @param _startedAt - when the entry started, in milliseconds of the clock by which the window is used
 */
export function createEntryRetryWindow(
  { share, slack, span }: SharedRetryLimits,
  entries: () => EntriesKnown,
  _startedAt: number,
): RetryWindow {
  const shares = () => Math.max(LEAST_SLACK_SHARES, SLACK_SHARES_BY_ENTRY * entries().live);
  return new RetryWindow({ span, share: share * BUDGET_SHARE, slack: () => Math.max(2, slack / shares()) });
}
