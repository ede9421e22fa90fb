/** A configuration as entries send it to one another: compressed, and as the difference from one that the receiver has. */
import { createHash } from 'node:crypto';
import { deflateRawSync, inflateRawSync } from 'node:zlib';
import { applyDifference, type DifferenceError, differenceOf } from '../model/byte-difference.js';
import { failure, type Result, success } from '../model/result.js';

/** Fast: a document of 0.5 MB is compressed while callers wait. */
const COMPRESSION_LEVEL = 1;
/** Largest document or difference that is unpacked, in bytes. */
const MAX_UNPACKED_BYTES = 33_554_432;

/** A configuration document, or its difference from an earlier one. */
export interface ConfigurationUpdate {
  /** Revision of the configuration. */
  revision: number;
  /** Revision of the document that the difference applies to; 0 if the update contains the whole document. */
  base: number;
  /** SHA-256 of the document. */
  digest: Uint8Array;
  /** The document or the difference, compressed (raw DEFLATE). */
  body: Uint8Array;
}

/** A document with its revision. */
export interface RevisedDocument {
  revision: number;
  document: Buffer;
}

/** Why an update cannot be used. */
export type UpdateError =
  | DifferenceError
  /** The receiver does not have the document that the difference applies to. */
  | { type: 'baseMissing'; base: number }
  /** The body is not compressed data, or too long. */
  | { type: 'unreadable'; reason: string }
  /** What results is not the sender's document. */
  | { type: 'digestMismatch' };

/**
 * The update from `base` to a document; whole if most of it is new.
 * @param base - a document that the receiver has; undefined if none is known
 */
export function configurationUpdate(
  { revision, document }: RevisedDocument,
  base: RevisedDocument | undefined,
): ConfigurationUpdate {
  const difference = base && differenceOf(base.document, document);
  return {
    revision,
    base: difference === undefined ? 0 : base!.revision,
    digest: digestOf(document),
    body: deflateRawSync(difference ?? document, { level: COMPRESSION_LEVEL }),
  };
}

/** The document of an update, verified by its digest. */
export function documentOf(
  { base, digest, body }: ConfigurationUpdate,
  own: RevisedDocument | undefined,
): Result<Buffer, UpdateError> {
  if (base !== 0 && own?.revision !== base) return failure({ type: 'baseMissing', base });
  const content = unpacked(body);
  if (!content.ok) return content;
  const document = base === 0 ? content : applyDifference(own!.document, content.value);
  if (!document.ok) return document;
  return digestOf(document.value).equals(digest) ? document : failure({ type: 'digestMismatch' });
}

function unpacked(body: Uint8Array): Result<Buffer, UpdateError> {
  try {
    return success(inflateRawSync(body, { maxOutputLength: MAX_UNPACKED_BYTES }));
  } catch (cause) {
    return failure({ type: 'unreadable', reason: String(cause) });
  }
}

function digestOf(document: Buffer): Buffer {
  return createHash('sha256').update(document).digest();
}
