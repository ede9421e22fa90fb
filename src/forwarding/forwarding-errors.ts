/** Errors of requests that get no answer of a back end. Only this module maps them to HTTP statuses. */

export type ForwardingError =
  /** This process has no configuration yet. */
  | { type: 'notConfigured' }
  /** The configuration of this process does not allow the request, but a newer one that is in force elsewhere may. */
  | { type: 'configurationBehind' }
  | { type: 'noRoute' }
  | { type: 'unknownKey' }
  | { type: 'bodyTooLarge' }
  | { type: 'malformed'; reason: string }
  /** The caller speaks a version of HTTP without chunks, so that it could not tell a part of an answer from the whole. */
  | { type: 'versionNotSupported' }
  /** No back end can take the request; it has not run. */
  | { type: 'unavailable'; reason: string; retryAfter: number }
  /** No back end of its service stands in a region in which it may be served; it has not run. */
  | { type: 'regionNotServed'; reason: string }
  /** Its content crashes back ends; it has not run. */
  | { type: 'quarantined'; retryAfter: number }
  /** The request timed out; it may have run. */
  | { type: 'timedOut' }
  /** The request timed out before it was sent; it has not run. */
  | { type: 'expired' }
  /** This process exits before the answer has arrived; the request may have run. */
  | { type: 'stopped' }
  /** The back end failed; the request may have run. */
  | { type: 'backEndFailed'; reason: string };

/** Error response to the caller. */
export interface ErrorResponse {
  status: number;
  /** Value of `Retry-After` in seconds; only if the request has not run. */
  retryAfter: number | undefined;
}

/** `Retry-After` for causes that pass by themselves, in seconds. */
const SHORT_RETRY_AFTER = 0.3;

/** The response for `error`. 429 and 503 guarantee that the request has not run; 502 and 504 guarantee nothing. */
export function errorResponseOf(error: ForwardingError): ErrorResponse {
  switch (error.type) {
    case 'notConfigured':
    case 'configurationBehind':
      return { status: 503, retryAfter: SHORT_RETRY_AFTER };
    case 'noRoute':
      return { status: 404, retryAfter: undefined };
    case 'unknownKey':
      return { status: 401, retryAfter: undefined };
    case 'bodyTooLarge':
      return { status: 413, retryAfter: undefined };
    case 'malformed':
      return { status: 400, retryAfter: undefined };
    case 'versionNotSupported':
      return { status: 505, retryAfter: undefined };
    case 'regionNotServed':
      return { status: 503, retryAfter: undefined };
    case 'unavailable':
    case 'quarantined':
      return { status: 503, retryAfter: error.retryAfter };
    case 'expired':
      return { status: 503, retryAfter: SHORT_RETRY_AFTER };
    case 'timedOut':
    case 'stopped':
      return { status: 504, retryAfter: undefined };
    case 'backEndFailed':
      return { status: 502, retryAfter: undefined };
  }
}
