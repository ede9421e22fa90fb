/** Names of the headers that the system reads or sets, and the removal of hop-by-hop headers. */

/** Header names in lower case; each platform has its own, which are passed in at construction. */
export interface HeaderNames {
  /** Id of a request; each answer repeats it. */
  requestId: string;
  /** Time for which the caller waits, in milliseconds. */
  timeLeft: string;
  /** The caller's key. */
  callerKey: string;
  /** Name of the tenant to which the key belongs; sent to back ends. */
  tenant: string;
  /** Id of the only process start of a back end that may run the request. */
  expectedBackEnd: string;
  /** The only version of weights that may answer the request. */
  expectedVersion: string;
  /** Position in the back end's queue, 0 to 9, 0 first. */
  urgency: string;
  /** Id of the back end that gives a health answer. */
  answeringBackEnd: string;
  /** Time for which that back end stays cold, in milliseconds. */
  coldLeft: string;
  /** Present in an answer if the request did not run. */
  notRun: string;
  /** Version of the weights that produced the answer. */
  servedVersion: string;
  /** Requests per second that the answering back end accepts from all entries together; absent if it has no limit. */
  rateLimit: string;
  /** Present with the value 1 in each answer of a back end that is leaving. */
  leaving: string;
  /** Number of prompt tokens and maximum number of answer tokens, separated by a comma. */
  tokenCounts: string;
  /** The parts of the prompt in order, as ID:TOKENS, separated by commas; the last one belongs to the request alone. */
  promptParts: string;
}

/** Id of the event after which a stream resumes, as defined for server-sent events. */
export const LAST_EVENT_ID = 'last-event-id';
/** Time after which a refused request may be sent again, in seconds, as defined for HTTP. */
export const RETRY_AFTER = 'retry-after';

/** Hop-by-hop headers. */
const CONNECTION_HEADERS = new Set([
  'connection',
  'keep-alive',
  'proxy-connection',
  'proxy-authenticate',
  'proxy-authorization',
  'te',
  'trailer',
  'transfer-encoding',
  'upgrade',
  'expect',
]);

/**
 * Removes hop-by-hop headers and those in `left` from `raw`, which has names and values in turn.
 * @param connection - the `Connection` header, which may name further hop-by-hop headers
 */
export function endToEndHeaders(
  raw: readonly string[],
  connection: string | undefined,
  left: ReadonlySet<string>,
): string[] {
  const named = new Set((connection ?? '').split(',').map((name) => name.trim().toLowerCase()));
  const kept: string[] = [];
  for (let index = 0; index + 1 < raw.length; index += 2) {
    const name = raw[index].toLowerCase();
    if (CONNECTION_HEADERS.has(name) || named.has(name) || left.has(name)) continue;
    kept.push(raw[index], raw[index + 1]);
  }
  return kept;
}
