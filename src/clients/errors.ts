/** Errors of the platform's services as the rest of the system sees them. */

/** Why a call to a platform service has no result. */
export type PlatformError =
  /** Nothing took effect; `retryAfter` is in milliseconds. */
  | { type: 'unavailable'; service: string; retryAfter: number; reason: string }
  /** The call may or may not have taken effect. */
  | { type: 'outcomeUnknown'; service: string; reason: string }
  /** There is no such object. */
  | { type: 'notFound'; service: string }
  /** The answer does not follow the service's protocol. */
  | { type: 'malformedAnswer'; service: string; reason: string };
