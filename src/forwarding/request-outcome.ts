/** Maps the ends of attempts to outcomes for the health of back ends, and errors of requests to outcomes for counters. */
import { type AttemptFailure, MISDIRECTED } from './attempt.js';
import type { BackEndOutcome } from './back-end-health.js';
import type { BackEndUse } from './back-end-use.js';
import type { ForwardingError } from './forwarding-errors.js';

/** How a request ended, for counters: `stopped` by the stop of this process, `left` if its caller closed the connection. */
export type RequestOutcome =
  | 'served'
  | 'failedAnswer'
  | 'refused'
  | 'regionNotServed'
  | 'rejected'
  | 'failed'
  | 'timedOut'
  | 'cut'
  | 'stopped'
  | 'left';

/**
 * Health outcome for a back end at the timeout of a request: it is silent if it has sent nothing, unless only its connection
 * is silent.
 */
export function healthOutcomeAtTimeout({
  attempt,
  hasAnswered,
  isOvertaken,
  hasBeenSilent,
}: BackEndUse): BackEndOutcome | undefined {
  // The health of the back end already includes a detected silence.
  if (hasAnswered || hasBeenSilent || !attempt.sent) return undefined;
  return attempt.isOnSilentConnection && isOvertaken ? undefined : 'silent';
}

/** Health outcome for the back end of a failed attempt; undefined if the failure tells nothing about it. */
export function healthOutcomeOf(failure: AttemptFailure): BackEndOutcome | undefined {
  if (failure.type === 'withdrawn') return undefined;
  if (failure.type === 'refused') return failure.status === MISDIRECTED ? 'misdirected' : 'overloaded';
  if (failure.type === 'notSent') return 'silent';
  return 'failed';
}

/** Errors of requests that have not run and would have been served otherwise. */
const NOT_RUN: ReadonlySet<ForwardingError['type']> = new Set([
  'unavailable',
  'notConfigured',
  'configurationBehind',
  'expired',
  'quarantined',
]);

export function outcomeOfError(error: ForwardingError): RequestOutcome {
  if (NOT_RUN.has(error.type)) return 'refused';
  if (error.type === 'timedOut') return 'timedOut';
  if (error.type === 'stopped' || error.type === 'regionNotServed') return error.type;
  return error.type === 'backEndFailed' ? 'failed' : 'rejected';
}
