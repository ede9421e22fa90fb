/**
 * Reads the prompt parts that a caller names: ID:TOKENS, separated by commas, in the order of the prompt. Parts are shared by
 * requests, except the last one, which belongs to the request itself or to its session.
 */
import { createHash } from 'node:crypto';
import type { PromptPart } from '../systems/part-groups.js';

/** Number of parts of one request that are considered, the first ones. */
const MAX_PARTS = 32;
const ID = /^[0-9a-f]+$/;
/** Ids above this length are replaced by a digest of this length, so that a part takes bounded memory. */
const MAX_ID_LENGTH = 32;

/**
 * The distinct shared parts of a prompt; those whose id is malformed are left out.
 * @param header - the list of parts; undefined if the caller names none
 * @param service - the service of the request, since the same part may crash the back ends of one service only
 */
export function promptPartsOf(header: string | undefined, service: string): PromptPart[] {
  if (header === undefined) return [];
  const listed = header.split(',', MAX_PARTS + 1);
  const shared = listed.length > MAX_PARTS ? listed.slice(0, MAX_PARTS) : listed.slice(0, -1);
  const ids = shared.map((part) => part.split(':', 1)[0].trim().toLowerCase()).filter((id) => ID.test(id));
  return [...new Set(ids)].map((id) => `${boundedId(id)}@${service}`);
}

function boundedId(id: string): string {
  if (id.length <= MAX_ID_LENGTH) return id;
  return createHash('sha256').update(id).digest('hex').slice(0, MAX_ID_LENGTH);
}
