/** Errors that the entry returns to callers. */

/** Whether a request without a complete answer ran. */
export type Ran = 'no' | 'yes' | 'unknown';

/** Reason why a request has no complete answer. */
export type CallError =
  | { type: 'unknownModel'; ran: 'no' }
  | { type: 'unknownService'; ran: 'no' }
  /** This entry is in a place through which the answer may not be sent; `entries` lists the allowed ones. */
  | { type: 'placeNotAllowed'; ran: Ran; entries: string[] }
  | { type: 'malformedRequest'; ran: 'no'; reason: string }
  /** `retryAfter` is in milliseconds. */
  | { type: 'noCapacity'; ran: Ran; retryAfter: number }
  | { type: 'entryLeaving'; ran: 'no'; retryAfter: number }
  /** This entry has no configuration yet, so it cannot tell what is allowed. */
  | { type: 'notConfigured'; ran: 'no'; retryAfter: number }
  | { type: 'deadlineExceeded'; ran: Ran }
  /** The key may have run; a retry with the same key can determine the outcome. */
  | { type: 'outcomeUnknown'; ran: 'unknown'; retryAfter: number; reason: string }
  | { type: 'backEndFailed'; ran: Ran; reason: string };

/** HTTP status of each error. */
export const CALL_ERROR_STATUS: Record<CallError['type'], number> = {
  unknownModel: 404,
  unknownService: 404,
  placeNotAllowed: 421,
  malformedRequest: 400,
  noCapacity: 503,
  entryLeaving: 503,
  notConfigured: 503,
  deadlineExceeded: 504,
  outcomeUnknown: 504,
  backEndFailed: 502,
};
