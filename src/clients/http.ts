/**
 * The HTTP client shared by the clients of the platform and of the back ends. When a call times out, its connection may have
 * failed without a FIN or RST, so later calls use new connections.
 */
import { type Dispatcher, Pool, request } from 'undici';
import { failure, type Result, success } from '../model/result.js';
import type { PlatformError } from './errors.js';
import { resetAwareConnector } from './reset-aware-connector.js';

/** Maximum number of connections to one server. */
const MAX_CONNECTIONS = 32;
const CONNECT_TIMEOUT = 2_000;
/** Retry delay if the server does not name one, in milliseconds. */
const DEFAULT_RETRY_AFTER = 1_000;

/** Default of `maxBytes`: above the largest object of the store (8 MB) and the longest change of its tables. */
export const MAX_ANSWER_BYTES = 33_554_432;

/** The current connection pool of each server, by origin. */
const pools = new Map<string, Pool>();

/** An HTTP request to send. */
export interface HttpCall {
  /** Name of the called service, for errors. */
  service: string;
  method: 'GET' | 'PUT' | 'POST' | 'DELETE';
  url: string;
  /** Body to send as JSON. */
  json?: unknown;
  /** Body to send unchanged. */
  bytes?: Uint8Array;
  /** Headers to send in addition to the content type. */
  headers?: Record<string, string>;
  /** Closes the connection after the answer, for servers that accept few connections. */
  closes?: boolean;
  signal: AbortSignal;
  /** Largest body of the answer that is kept, in bytes; the connection of a longer one is closed. Default {@link MAX_ANSWER_BYTES}. */
  maxBytes?: number | undefined;
  /** Called when the headers of the answer arrive, and for each part of its body. */
  onPart?: () => void;
}

/** A complete answer. */
export interface HttpAnswer {
  status: number;
  body: Buffer;
  headers: HttpStream['headers'];
}

/** An answer with its headers and its body as a stream. */
export type HttpStream = Dispatcher.ResponseData;

/** Sends a call and reads the whole answer. Status 429 and statuses from 500 are errors. */
export async function callHttp(call: HttpCall): Promise<Result<HttpAnswer, PlatformError>> {
  let stream: HttpStream;
  if (!URL.canParse(call.url)) return failure(unavailable(call, 'not a URL', DEFAULT_RETRY_AFTER));
  const { origin } = new URL(call.url);
  const pool = poolOf(origin);
  try {
    stream = await openHttp(call);
  } catch (cause) {
    if (isTimedOut(call)) replacePool(origin, pool);
    return failure(errorOf(call, cause));
  }
  try {
    const body = await readWhole(stream, call);
    if (body === undefined) return failure(tooLong(call));
    const { statusCode, headers } = stream;
    if (statusCode < 500 && statusCode !== 429) return success({ status: statusCode, body, headers });
    return failure(unavailable(call, `status ${statusCode}`, retryAfterOf(stream)));
  } catch (cause) {
    if (isTimedOut(call)) replacePool(origin, pool);
    return failure({ type: 'outcomeUnknown', service: call.service, reason: String(cause) });
  }
}

/** Reads the body of an answer; undefined if it is too long. Leaving the loop closes the connection. */
async function readWhole(
  { body }: HttpStream,
  { onPart = () => {}, maxBytes = MAX_ANSWER_BYTES }: HttpCall,
): Promise<Buffer | undefined> {
  onPart();
  const parts: Buffer[] = [];
  let bytes = 0;
  for await (const part of body) {
    bytes += (part as Buffer).byteLength;
    if (bytes > maxBytes) return undefined;
    parts.push(part as Buffer);
    onPart();
  }
  return Buffer.concat(parts);
}

function tooLong({ service, maxBytes = MAX_ANSWER_BYTES }: HttpCall): PlatformError {
  return { type: 'malformedAnswer', service, reason: `answer of more than ${maxBytes} bytes` };
}

/** Sends a call and resolves when the headers have arrived. Rejects with the errors of the client library. */
export function openHttp(call: HttpCall): Promise<HttpStream> {
  const body = call.json === undefined ? call.bytes : JSON.stringify(call.json);
  const contentType = call.json === undefined ? 'application/octet-stream' : 'application/json';
  return request(call.url, {
    method: call.method,
    body: body as Buffer | string | undefined,
    headers: body === undefined ? call.headers : { 'content-type': contentType, ...call.headers },
    signal: call.signal,
    reset: call.closes === true,
    dispatcher: poolOf(new URL(call.url).origin),
  });
}

function poolOf(origin: string): Pool {
  const known = pools.get(origin);
  if (known !== undefined) return known;
  const pool = new Pool(origin, {
    connections: MAX_CONNECTIONS,
    connect: resetAwareConnector(CONNECT_TIMEOUT),
  });
  pools.set(origin, pool);
  return pool;
}

/** Makes later calls use new connections; calls in progress on `pool` continue there until they end. */
function replacePool(origin: string, pool: Pool): void {
  if (pools.get(origin) !== pool) return;
  pools.delete(origin);
  void pool.close().catch(() => {});
}

/** Returns true if the call timed out, false if its caller aborted it. */
function isTimedOut({ signal }: HttpCall): boolean {
  return (signal.reason as { name?: string } | undefined)?.name === 'TimeoutError';
}

/** Parses the body of an answer as JSON. */
export function parseJson<T>(service: string, answer: HttpAnswer): Result<T, PlatformError> {
  try {
    return success(JSON.parse(answer.body.toString('utf8')) as T);
  } catch (cause) {
    return failure({ type: 'malformedAnswer', service, reason: String(cause) });
  }
}

/** Returns true if no connection was established, so that the server cannot have received the call. */
export function neverConnected(cause: unknown): boolean {
  const code = (cause as { code?: string }).code;
  return code === 'ECONNREFUSED' || code === 'UND_ERR_CONNECT_TIMEOUT' || code === 'EHOSTUNREACH';
}

function errorOf(call: HttpCall, cause: unknown): PlatformError {
  if (neverConnected(cause) || call.method === 'GET')
    return unavailable(call, String(cause), DEFAULT_RETRY_AFTER);
  return { type: 'outcomeUnknown', service: call.service, reason: String(cause) };
}

function unavailable(call: HttpCall, reason: string, retryAfter: number): PlatformError {
  return { type: 'unavailable', service: call.service, retryAfter, reason };
}

function retryAfterOf(stream: HttpStream): number {
  const seconds = Number(stream.headers['retry-after']);
  return Number.isFinite(seconds) && seconds > 0 ? seconds * 1_000 : DEFAULT_RETRY_AFTER;
}
