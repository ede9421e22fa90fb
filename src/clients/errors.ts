/** Errors of calls to platform services. */

/** Why a call to a platform service failed. */
export type PlatformError =
  /** The call had no effect; it may be retried after `retryAfter` milliseconds. */
  | { type: 'unavailable'; service: string; retryAfter: number; reason: string }
  /** The call may or may not have taken effect. */
  | { type: 'outcomeUnknown'; service: string; reason: string }
  /** The object does not exist. */
  | { type: 'notFound'; service: string }
  /** The answer violates the service's protocol. */
  | { type: 'malformedAnswer'; service: string; reason: string };
