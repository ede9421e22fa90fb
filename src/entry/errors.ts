/** Errors of the entry's own layer, as callers are told of them. */

/** Whether a request that has no whole answer ran. */
export type Ran = 'no' | 'yes' | 'unknown';

/** Why a request has no whole answer. */
export type CallError =
  | { type: 'unknownModel'; ran: 'no' }
  | { type: 'unknownService'; ran: 'no' }
  /** This entry lies in a place where the answer may not travel. */
  | { type: 'placeNotAllowed'; ran: Ran; entries: string[] }
  | { type: 'malformedRequest'; ran: 'no'; reason: string }
  /** `retryAfter` is in milliseconds. */
  | { type: 'noCapacity'; ran: Ran; retryAfter: number }
  | { type: 'entryLeaving'; ran: 'no'; retryAfter: number }
  /** This entry has no configuration yet: it cannot tell what is allowed. */
  | { type: 'notConfigured'; ran: 'no'; retryAfter: number }
  | { type: 'deadlineExceeded'; ran: Ran }
  /** Nothing proves that the key has not run; asking again with the same key tells more. */
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
