/**
 * What is the same request, whoever sends it again: digests of its method, host, path, body and caller. Its identity, its
 * deadline, its other headers and the entry that it came to are not part of it. The caller is, so that no tenant can have another
 * one's request shut out: once by its key and once by its tenant, as a tenant's keys are replaced and keys pass to other tenants.
 */
import { createHash } from 'node:crypto';
import type { IncomingMessage } from 'node:http';
import type { Fingerprint } from '../systems/poison-requests.js';
import type { CallerBody } from './caller-body.js';
import type { HeaderNames } from './header-names.js';

/** Characters of a digest that are kept, of 6 bits each: 132 bits, which nobody can find a second content for. */
const LENGTH = 22;
const SEPARATOR = '\n';

/** What a request's fingerprints are taken of. */
export interface FingerprintedRequest {
  request: IncomingMessage;
  /** Its body, which has been read; of one that is streamed, its beginning and length count. */
  body: CallerBody;
  /** Name of its key's tenant; undefined where no key is needed. */
  tenant: string | undefined;
}

/** The fingerprints of a request. It is the same as another one that shares any of them. */
export function fingerprintsOf(
  { request, body, tenant }: FingerprintedRequest,
  names: HeaderNames,
): Fingerprint[] {
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
  return hash.digest('base64url').slice(0, LENGTH);
}
