/**
 * Differences between two versions of a document: parts to copy from the base and bytes to insert between them, as in VCDIFF. The
 * base is indexed by blocks; the target is searched for them with a rolling hash, so parts may have moved.
 *
 * @example
 * ```ts
 * const difference = differenceOf(base, target);
 * const read = difference && applyDifference(base, difference);
 * // read.value equals target, if there is a difference
 * ```
 */
import { failure, type Result, success } from './result.js';

/** Bytes of a block; shorter common parts are found only next to longer ones. */
const BLOCK_BYTES = 32;
/** Multiplier of the rolling hash, modulo 2^32. */
const HASH_FACTOR = 0x01000193;
/** {@link HASH_FACTOR} to the power of the block size: removes the byte that leaves the block. */
const LEAVING_FACTOR = powerOf(HASH_FACTOR, BLOCK_BYTES);
/** A step has three numbers: where to copy from, how many bytes, and how many bytes to insert after them. */
const STEP_HEADER_BYTES = 12;
/** Bytes of the target that are searched in vain at the most; a document with more that is new is not worth a difference. */
const MAX_SEARCHED_BYTES = 65_536;
/** Largest document that is put together, in bytes. */
const MAX_DOCUMENT_BYTES = 33_554_432;

/** A difference that does not fit the base, or is cut or corrupt. */
export interface DifferenceError {
  type: 'malformedDifference';
  reason: string;
}

interface Match {
  /** Where the match begins in the base and in the target, and its length in bytes. */
  from: number;
  at: number;
  length: number;
}

/** What turns `base` into `target`; undefined if too much of the target is new. */
export function differenceOf(base: Buffer, target: Buffer): Buffer | undefined {
  if (target.byteLength - base.byteLength > MAX_SEARCHED_BYTES) return undefined;
  const steps: Buffer[] = [];
  let copied: Match = { from: 0, at: 0, length: commonLength(base, 0, target, 0) };
  const search = new BlockSearch(base, target);
  while (copied.at + copied.length < target.byteLength) {
    const end = copied.at + copied.length;
    const next = search.after(copied);
    if (search.isExhausted) return undefined;
    steps.push(stepOf(copied, target.subarray(end, next?.at)));
    if (next === undefined) return Buffer.concat(steps);
    copied = next;
  }
  steps.push(stepOf(copied, Buffer.alloc(0)));
  return Buffer.concat(steps);
}

/** Applies a difference to its base. */
export function applyDifference(base: Buffer, difference: Buffer): Result<Buffer, DifferenceError> {
  const parts: Buffer[] = [];
  let size = 0;
  let position = 0;
  while (position < difference.byteLength) {
    if (position + STEP_HEADER_BYTES > difference.byteLength) return malformed('a step is cut');
    const from = difference.readUInt32BE(position);
    const length = difference.readUInt32BE(position + 4);
    const inserted = difference.readUInt32BE(position + 8);
    position += STEP_HEADER_BYTES;
    if (from + length > base.byteLength) return malformed('a part is not in the base');
    if (position + inserted > difference.byteLength) return malformed('an insertion is cut');
    size += length + inserted;
    if (size > MAX_DOCUMENT_BYTES) return malformed('the document is too long');
    parts.push(base.subarray(from, from + length), difference.subarray(position, position + inserted));
    position += inserted;
  }
  return success(Buffer.concat(parts));
}

/** Finds parts of the base in the target. */
class BlockSearch {
  readonly #base: Buffer;
  readonly #target: Buffer;
  /** Positions of the base's blocks by their hash; of equal ones the first. */
  readonly #blocks = new Map<number, number>();
  #searched = 0;

  constructor(base: Buffer, target: Buffer) {
    this.#base = base;
    this.#target = target;
    for (let from = 0; from + BLOCK_BYTES <= base.byteLength; from += BLOCK_BYTES) {
      const hash = hashAt(base, from);
      if (!this.#blocks.has(hash)) this.#blocks.set(hash, from);
    }
  }

  /** More of the target is new than is worth a difference. */
  get isExhausted(): boolean {
    return this.#searched > MAX_SEARCHED_BYTES;
  }

  /** The next match in the target after `copied`; undefined if there is none, or the search is exhausted. */
  after(copied: Match): Match | undefined {
    const target = this.#target;
    const end = copied.at + copied.length;
    const last = target.byteLength - BLOCK_BYTES;
    if (end > last) return undefined;
    const shift = copied.from - copied.at;
    let hash = hashAt(target, end);
    for (let at = end; ; at++) {
      // A replaced part of equal length leaves the rest where it was.
      const match = this.#matchAt(at + shift, at, end) ?? this.#matchAt(this.#blocks.get(hash), at, end);
      if (match !== undefined) return match;
      if (at === last || ++this.#searched > MAX_SEARCHED_BYTES) return undefined;
      hash = rolled(hash, target[at], target[at + BLOCK_BYTES]);
    }
  }

  /** @param earliest - position of the target from which the match may begin, if it extends backwards */
  #matchAt(from: number | undefined, at: number, earliest: number): Match | undefined {
    const base = this.#base;
    const target = this.#target;
    if (from === undefined || from < 0 || from + BLOCK_BYTES > base.byteLength) return undefined;
    if (base[from] !== target[at]) return undefined;
    if (target.compare(base, from, from + BLOCK_BYTES, at, at + BLOCK_BYTES) !== 0) return undefined;
    let before = 0;
    while (at - before > earliest && from - before > 0 && base[from - before - 1] === target[at - before - 1])
      before++;
    const length = before + commonLength(base, from, target, at);
    return { from: from - before, at: at - before, length };
  }
}

/** Number of equal bytes from two positions on. */
function commonLength(base: Buffer, from: number, target: Buffer, at: number): number {
  const longest = Math.min(base.byteLength - from, target.byteLength - at);
  let length = 0;
  for (let chunk = 4_096; length < longest; ) {
    const end = Math.min(longest, length + chunk);
    if (target.compare(base, from + length, from + end, at + length, at + end) === 0) length = end;
    else if (end - length === 1) return length;
    else chunk = Math.max(1, (end - length) >> 1);
  }
  return length;
}

function stepOf({ from, length }: Match, inserted: Buffer): Buffer {
  const header = Buffer.alloc(STEP_HEADER_BYTES);
  header.writeUInt32BE(from, 0);
  header.writeUInt32BE(length, 4);
  header.writeUInt32BE(inserted.byteLength, 8);
  return Buffer.concat([header, inserted]);
}

function hashAt(bytes: Buffer, from: number): number {
  let hash = 0;
  for (let index = from; index < from + BLOCK_BYTES; index++)
    hash = (Math.imul(hash, HASH_FACTOR) + bytes[index]) | 0;
  return hash;
}

function rolled(hash: number, leaving: number, entering: number): number {
  return (Math.imul(hash, HASH_FACTOR) + entering - Math.imul(leaving, LEAVING_FACTOR)) | 0;
}

function powerOf(factor: number, exponent: number): number {
  let power = 1;
  for (let count = 0; count < exponent; count++) power = Math.imul(power, factor);
  return power;
}

function malformed(reason: string): Result<never, DifferenceError> {
  return failure({ type: 'malformedDifference', reason });
}
