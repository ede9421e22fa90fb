/** Why a request has no answer of a back end, and what its caller is told. The one place that knows the statuses. */

/** Why. */
export type ForwardingError =
  /** This process knows no configuration yet. */
  | { type: 'notConfigured' }
  /** The request is not in the configuration of this process, and may be in a newer one that is in force elsewhere. */
  | { type: 'configurationBehind' }
  | { type: 'noRoute' }
  | { type: 'unknownKey' }
  | { type: 'bodyTooLarge' }
  | { type: 'malformed'; reason: string }
  /** No back end can take it; it has not run. */
  | { type: 'unavailable'; reason: string; retryAfter: number }
  /** Back ends crash under its content; it has not run. */
  | { type: 'quarantined'; retryAfter: number }
  /** It did not end in time; it may have run. */
  | { type: 'timedOut' }
  /** Its time was over before it was sent; it has not run. */
  | { type: 'expired' }
  /** This process ends before the answer is there; it may have run. */
  | { type: 'stopped' }
  /** Its back end failed while it may have run. */
  | { type: 'backEndFailed'; reason: string };

/** What the caller gets. */
export interface FinalAnswer {
  status: number;
  /** Time after which to come back, in seconds; only where the request has not run. */
  retryAfter: number | undefined;
}

/** Time after which to come back where the cause passes by itself, in seconds. */
const SHORT_RETRY_AFTER = 0.3;

/** The answer for `error`. 429 and 503 promise that the request has not run; 502 and 504 promise nothing. */
export function finalAnswer(error: ForwardingError): FinalAnswer {
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
