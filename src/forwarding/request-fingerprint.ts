/**
 * Fingerprints that identify repetitions of the same request: digests of its method, host, path, body and caller. The
 * request identity, the deadline, other headers and the receiving entry are not included, as they differ between
 * repetitions. The caller is included, so that no tenant can cause another tenant's requests to be refused. One
 * digest identifies the caller by its key and another one by its tenant, because a tenant may replace its keys and a
 * key may pass to another tenant. Requests that differ in their bodies are compared by their prompt parts as well.
 */
import { createHash } from 'node:crypto';
import type { IncomingMessage } from 'node:http';
import type { Fingerprint, RequestContent } from '../systems/poison-requests.js';
import type { CallerBody } from './caller-body.js';
import type { HeaderNames } from './header-names.js';
import { promptPartsOf } from './prompt-parts.js';

/** Length of a fingerprint in characters of 6 bits: 132 bits, for which finding a second content is infeasible. */
const FINGERPRINT_LENGTH = 22;
const SEPARATOR = '\n';

/** The request data from which fingerprints are computed. */
export interface FingerprintedRequest {
  request: IncomingMessage;
  /** The body, which has been read. Of a streamed body, only the beginning and the length are included. */
  body: CallerBody;
  /** Name of the tenant that owns the caller's key; undefined if no key is required. */
  tenant: string | undefined;
  service: string;
}

/** What the request has in common with others that may crash back ends. */
export function contentOf(fingerprinted: FingerprintedRequest, names: HeaderNames): RequestContent {
  const { request, tenant = '', service } = fingerprinted;
  const header = request.headers[names.promptParts];
  const parts = promptPartsOf(header === undefined ? undefined : String(header), service);
  return { fingerprints: fingerprintsOf(fingerprinted, names), tenant, parts };
}

/** Computes the fingerprints of a request. Requests that share any fingerprint are considered the same. */
function fingerprintsOf({ request, body, tenant }: FingerprintedRequest, names: HeaderNames): Fingerprint[] {
  const callers = [`key ${String(request.headers[names.callerKey] ?? '')}`];
  if (tenant !== undefined) callers.push(`tenant ${tenant}`);
  return callers.map((caller) => digestOf(request, body, caller));
}

function digestOf({ method = '', url = '', headers }: IncomingMessage, body: CallerBody, caller: string) {
  const hash = createHash('sha256');
  hash.update([method, headers.host ?? '', url, caller].join(SEPARATOR));
  hash.update(SEPARATOR);
  if (body.type === 'kept') hash.update(body.bytes);
  if (body.type === 'streamed') hash.update(`${body.prefixDigest} ${headers['content-length'] ?? ''}`);
  return hash.digest('base64url').slice(0, FINGERPRINT_LENGTH);
}
