/** The sources of pieces: other processes of the system, the object store and the origin. */
import { z } from 'zod';
import { callHttp } from '../clients/http.js';
import type { ObjectStore } from '../clients/object-store.js';
import type { ChunkSet } from '../model/chunk-set.js';
import { failure, type Result, success } from '../model/result.js';
import type { PieceManifest, WeightsVersion } from './held-weights.js';
import { versionKey } from './held-weights.js';
import { BUSY_STATUS, manifestPath, piecesPath } from './piece-server.js';
import type { PieceOrigin, PieceSource, PieceSourceError, Pieces } from './piece-source.js';

/** Largest manifest that is read, in bytes: 64 for each of 60,000 pieces. */
const MAX_MANIFEST_BYTES = 4_194_304;
/** Number of objects into which the pieces of a version are combined. */
const PARTS_PER_VERSION = 8;

/** A source that fetches pieces from another process of the system. */
export function peerSource(options: {
  name: string;
  /** `host:port` at which it serves pieces. */
  address: string;
  manifest: PieceManifest;
  /** Whether it is known to hold a piece. */
  has: (index: number) => boolean;
  patience: number;
  concurrency: number;
  /** Pieces per batch. */
  batchSize: number;
  batchTimeout: number;
  /** Rotates the order of the pieces, so that several receivers start at different ones. */
  offset?: number;
}): PieceSource {
  const {
    name,
    address,
    manifest,
    has,
    patience,
    concurrency,
    batchSize,
    batchTimeout,
    offset = 0,
  } = options;
  return {
    name,
    patience,
    concurrency,
    batchTimeout,
    isOrigin: false,
    isDivisible: true,
    nextBatch: (wanted) => rotate(wanted.filter(has), offset).slice(0, batchSize),
    async fetch(batch, signal) {
      const url = `http://${address}${piecesPath(manifest.model, manifest.version, batch)}`;
      const maxBytes = batch.length * manifest.pieceBytes;
      const answer = await callHttp({ service: 'pieces', method: 'GET', url, maxBytes, signal });
      if (!answer.ok) return failed('reason' in answer.error ? answer.error.reason : answer.error.type);
      if (answer.value.status === BUSY_STATUS) return failed('busy');
      if (answer.value.status !== 200) return failed(`status ${answer.value.status}`);
      return success(split(answer.value.body, batch, manifest.pieceBytes));
    },
  };
}

/** Fetches the manifest of a version from another process. */
export async function fetchManifest(
  address: string,
  version: WeightsVersion,
  signal: AbortSignal,
): Promise<Result<PieceManifest, PieceSourceError>> {
  const url = `http://${address}${manifestPath(version.model, version.version)}`;
  const answer = await callHttp({
    service: 'manifest',
    method: 'GET',
    url,
    maxBytes: MAX_MANIFEST_BYTES,
    signal,
  });
  if (!answer.ok || answer.value.status !== 200) return failed('manifest not available');
  const manifest = parseManifest(answer.value.body, version);
  return manifest === undefined ? failed('malformed manifest') : success(manifest);
}

/** Reads the manifest of a version from the object store; undefined if it cannot be read or is invalid. */
export async function fetchStoredManifest(
  objects: ObjectStore,
  version: WeightsVersion,
  signal: AbortSignal,
): Promise<PieceManifest | undefined> {
  const stored = await objects.get(storedManifestKey(version), signal);
  return stored.ok ? parseManifest(stored.value, version) : undefined;
}

/**
 * Manifests come from other processes, so they are validated: a version without digests would count as
 * complete at once.
 */
const manifestSchema = z.object({
  model: z.string(),
  version: z.int(),
  pieceBytes: z.int().min(1),
  digests: z.array(z.string()).min(1),
});

/** The manifest in `bytes`; undefined if it is malformed or that of another version. */
function parseManifest(bytes: Buffer, { model, version }: WeightsVersion): PieceManifest | undefined {
  try {
    const read = manifestSchema.safeParse(JSON.parse(bytes.toString('utf8')));
    if (!read.success) return undefined;
    return read.data.model === model && read.data.version === version ? read.data : undefined;
  } catch {
    return undefined;
  }
}

/** Consecutive pieces of a version that are stored in one object. */
export interface StoredPart {
  index: number;
  key: string;
  pieces: number[];
}

/** The parts of a version, each stored as one object. */
export function partsOf(manifest: PieceManifest): StoredPart[] {
  const count = manifest.digests.length;
  const size = Math.ceil(count / PARTS_PER_VERSION);
  const parts: StoredPart[] = [];
  for (let first = 0; first < count; first += size) {
    const pieces = Array.from({ length: Math.min(size, count - first) }, (_, offset) => first + offset);
    parts.push({ index: parts.length, key: partKey(manifest, parts.length), pieces });
  }
  return parts;
}

/** Key of the manifest of a version in the object store. */
export function storedManifestKey(version: WeightsVersion): string {
  return objectName(`${versionKey(version)}/manifest`);
}

/** Common prefix of the keys of a version. */
export function storedPrefix(version: WeightsVersion): string {
  return objectName(`${versionKey(version)}/`);
}

/** A source that reads parts from the object store. */
export function objectSource(options: {
  objects: ObjectStore;
  manifest: PieceManifest;
  /** Indexes of the parts in the object store. */
  stored: ReadonlySet<number>;
  patience: number;
  /** Parts read concurrently. */
  concurrency: number;
  batchTimeout: number;
  /**
   * Rotates the order of the parts, so that receivers that do not know of one another start at different
   * ones.
   */
  offset: number;
}): PieceSource {
  const { objects, manifest, stored, patience, concurrency, batchTimeout, offset } = options;
  const parts = rotate(partsOf(manifest), offset);
  return {
    name: 'objects',
    patience,
    batchTimeout,
    concurrency,
    isOrigin: false,
    isDivisible: false,
    nextBatch(wanted) {
      const missing = new Set(wanted);
      const part = parts.find(
        ({ index, pieces }) => stored.has(index) && pieces.every((piece) => missing.has(piece)),
      );
      if (part !== undefined) return part.pieces;
      const some = parts.find(
        ({ index, pieces }) => stored.has(index) && pieces.some((piece) => missing.has(piece)),
      );
      return some === undefined ? [] : some.pieces.filter((piece) => missing.has(piece));
    },
    async fetch(batch, signal) {
      const part = parts.find(({ pieces }) => pieces.includes(batch[0]))!;
      const answer = await objects.get(part.key, signal);
      if (!answer.ok) return failed('reason' in answer.error ? answer.error.reason : answer.error.type);
      const all = split(answer.value, part.pieces, manifest.pieceBytes);
      return success(all.filter(([index]) => batch.includes(index)));
    },
  };
}

/** A source that fetches pieces from the origin. */
export function originSource(options: {
  origin: PieceOrigin;
  version: WeightsVersion;
  patience: number;
  concurrency: number;
  batchTimeout: number;
  /** Longest time without an attempt after a failure, in milliseconds. */
  longestBackOff?: number;
  /** Whether a piece may be fetched from the origin; false if another process has it. */
  mayDraw: (index: number) => boolean;
  /** Whether another process is known to hold or draw a piece; such a piece is fetched after all others. */
  isElsewhere?: (index: number) => boolean;
  /**
   * Position of the first piece to fetch among `count` that may be fetched, so that several processes that draw at the same time
   * fetch different pieces, even if few are left.
   */
  firstOf: (count: number) => number;
}): PieceSource {
  const { origin, version, patience, concurrency, batchTimeout, mayDraw, isElsewhere, firstOf } = options;
  return {
    name: 'origin',
    patience,
    longestBackOff: options.longestBackOff,
    concurrency,
    batchTimeout,
    isOrigin: true,
    isDivisible: true,
    nextBatch(wanted) {
      const drawable = wanted.filter(mayDraw);
      const unclaimed = drawable.filter((piece) => isElsewhere?.(piece) !== true);
      const candidates = unclaimed.length > 0 ? unclaimed : drawable;
      return candidates.length === 0 ? [] : [candidates[firstOf(candidates.length)]];
    },
    async fetch([index], signal) {
      const piece = await origin.piece(version, index, signal);
      return piece.ok ? success<Pieces>([[index, piece.value]]) : piece;
    },
  };
}

/** A predicate for the pieces that another process has announced. */
export function holds(have: ChunkSet | undefined): (index: number) => boolean {
  return (index) => have?.has(index) ?? false;
}

function partKey(manifest: PieceManifest, index: number): string {
  return objectName(`${versionKey(manifest)}/${index}`);
}

/** Object keys must be a single path segment. */
function objectName(path: string): string {
  return `weights.${path.replaceAll('/', '.')}`;
}

function split(bytes: Buffer, indexes: readonly number[], pieceBytes: number): Pieces {
  return indexes.map((index, position) => [
    index,
    bytes.subarray(position * pieceBytes, (position + 1) * pieceBytes),
  ]);
}

function rotate<T>(items: T[], offset: number): T[] {
  if (items.length === 0) return items;
  const start = offset % items.length;
  return [...items.slice(start), ...items.slice(0, start)];
}

function failed(reason: string): { ok: false; error: PieceSourceError } {
  return failure({ type: 'sourceFailed', reason });
}
