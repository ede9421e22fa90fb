/**
 * The weights in this process's memory, in pieces. A piece is kept only if its digest matches the version's
 * manifest.
 */
import { ChunkSet } from '../model/chunk-set.js';
import { type Digest, digestOf } from '../model/manifest.js';

/** A version of a model. */
export interface WeightsVersion {
  model: string;
  version: number;
}

/** The pieces of a version, by their digests in order. */
export interface PieceManifest extends WeightsVersion {
  pieceBytes: number;
  digests: Digest[];
}

/** The pieces held of one version. */
export class HeldWeights {
  readonly manifest: PieceManifest;
  readonly have: ChunkSet;
  readonly #pieces: Array<Buffer | undefined>;

  constructor(manifest: PieceManifest) {
    this.manifest = manifest;
    this.have = new ChunkSet(manifest.digests.length);
    this.#pieces = new Array(manifest.digests.length).fill(undefined);
  }

  get complete(): boolean {
    return this.have.complete;
  }

  piece(index: number): Buffer | undefined {
    return this.#pieces[index];
  }

  /** Indexes of the pieces that are not held. */
  missing(): number[] {
    return this.#pieces.flatMap((piece, index) => (piece === undefined ? [index] : []));
  }

  /** Keeps a piece; returns false if its digest does not match the manifest. */
  add(index: number, bytes: Buffer): boolean {
    if (digestOf(bytes) !== this.manifest.digests[index]) return false;
    // Copied, because the buffer may be a slice of a larger one, which it would keep in memory.
    if (this.have.add(index)) this.#pieces[index] = Buffer.from(bytes);
    return true;
  }
}

/** Versions held at the same time per model. */
const MAX_VERSIONS_PER_MODEL = 3;

/** All versions of which this process holds pieces. */
export class WeightsLibrary {
  readonly #held = new Map<string, HeldWeights>();
  onPiece: (held: HeldWeights, index: number) => void = () => {};

  /** The weights held of a version; undefined until its manifest is known. */
  of(version: WeightsVersion): HeldWeights | undefined {
    return this.#held.get(versionKey(version));
  }

  all(): HeldWeights[] {
    return [...this.#held.values()];
  }

  /**
   * Adds a version; the oldest of its model is evicted if there are more than {@link MAX_VERSIONS_PER_MODEL}.
   */
  open(manifest: PieceManifest): HeldWeights {
    const known = this.of(manifest);
    if (known !== undefined) return known;
    const held = new HeldWeights(manifest);
    this.#held.set(versionKey(manifest), held);
    const versions = this.all().filter((other) => other.manifest.model === manifest.model);
    versions.sort((a, b) => b.manifest.version - a.manifest.version);
    for (const old of versions.slice(MAX_VERSIONS_PER_MODEL)) this.#held.delete(versionKey(old.manifest));
    return held;
  }

  /**
   * Keeps a piece of a version and calls {@link onPiece} if it is new; returns false if the piece is corrupt.
   */
  add(held: HeldWeights, index: number, bytes: Buffer): boolean {
    const isNew = !held.have.has(index);
    if (!held.add(index, bytes)) return false;
    if (isNew) this.onPiece(held, index);
    return true;
  }
}

/** The name of a version in map keys, object keys and draw orders. */
export function versionKey({ model, version }: WeightsVersion): string {
  return `${model}/${version}`;
}
