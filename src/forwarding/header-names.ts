/**
 * Headers of requests and answers that the system reads or sets. Their names belong to a platform and are given at
 * construction, in lower case.
 */

/** The names. */
export interface HeaderNames {
  /** Identity of a request; every answer carries it back. */
  requestId: string;
  /** Time for which the caller waits, in milliseconds. */
  timeLeft: string;
  /** The caller's key. */
  callerKey: string;
  /** Name of the key's tenant, told to back ends. */
  tenant: string;
  /** Start of a back end that alone may run the request. */
  expectedBackEnd: string;
  /** Version of weights that alone may run the request. */
  expectedVersion: string;
  /** Urgency at the back end's queue, 0 to 9, 0 first. */
  urgency: string;
  /** An answer with it says that the request did not run. */
  notRun: string;
  /** Version of weights that answers. */
  servedVersion: string;
  /** Requests a second that the answering back end takes from all entries together; absent if it has no limit. */
  rateLimit: string;
  /** Tokens of the prompt, and the most that may be written. */
  tokenCounts: string;
}

/** The event after which a stream goes on, as in the standard for server-sent events. */
export const LAST_EVENT_ID = 'last-event-id';

/** Headers that concern one connection only. */
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

/** Pairs of name and value, one after the other, without those that concern one connection or are in `left`. */
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
