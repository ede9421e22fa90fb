/**
 * Schedule of the permits to send requests to one back end directly, stored as a row that all entries share. An entry that
 * advances the due time by a conditional write may send one request. Idle time saves up no permits, so any time span has at
 * most one permit more than its length allows, whichever entries claim them. Times are in milliseconds of the store's clock.
 */
import type { BackEndIdentity } from '../model/back-end-identity.js';
import { nextPermitAt, permitInterval } from './rate-limiter.js';

/** Content of the row. */
export interface PermitSchedule {
  /** The start of the back end to which the limit applies. */
  start: BackEndIdentity['start'];
  /** Rate limit for all entries together, in requests per second. */
  rate: number;
  /** When the next permit is due. */
  dueAt: number;
  /** Whether the back end names the limit; if not, it is cold. */
  isNamed: boolean;
}

/**
 * Share of an engine's rate limit for requests that are sent without a slot. Its agent grants slots at the full rate and does
 * not count these requests; both together must stay below 1.5 times the limit.
 */
const DIRECT_SHARE = 0.25;

/** Rate at which all entries together may send requests directly, per second. */
export function directRate(rate: number, hasAgent: boolean): number {
  return hasAgent ? DIRECT_SHARE * rate : rate;
}

/** Creates a schedule without a permit due, because requests sent before the limit was known also count towards it. */
export function newSchedule(
  start: BackEndIdentity['start'],
  rate: number,
  isNamed: boolean,
  now: number,
): PermitSchedule {
  return { start, rate, dueAt: now + permitInterval(rate), isNamed };
}

/** The schedule after a permit is acquired at `now`; undefined if none is due. */
export function acquirePermit(
  schedule: PermitSchedule,
  rate: number,
  hasAgent: boolean,
  now: number,
): PermitSchedule | undefined {
  const dueAt = nextPermitAt(schedule.dueAt, permitInterval(directRate(rate, hasAgent)), now, 0);
  return dueAt === undefined ? undefined : { ...schedule, rate, dueAt };
}
