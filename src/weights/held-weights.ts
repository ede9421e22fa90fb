/**
 * Weights of versions in this process's memory, piece by piece. A piece is kept only if it has the digest that the
 * version's manifest gives for it.
 */
import { ChunkSet } from '../model/chunk-set.js';
import { type Digest, digestOf } from '../model/manifest.js';

/** A version of a model. */
export interface WeightsVersion {
  model: string;
  version: number;
}

/** The pieces of a version: their digests in order. */
export interface PieceManifest extends WeightsVersion {
  pieceBytes: number;
  digests: Digest[];
}

/** What is held of one version. */
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

  /** Indexes of the pieces that are not there. */
  missing(): number[] {
    return this.#pieces.flatMap((piece, index) => (piece === undefined ? [index] : []));
  }

  /** Keeps a piece; false where its bytes are not those of the manifest. */
  add(index: number, bytes: Buffer): boolean {
    if (digestOf(bytes) !== this.manifest.digests[index]) return false;
    // A copy of its own: the buffer may be a part of a larger one, which would be kept whole.
    if (this.have.add(index)) this.#pieces[index] = Buffer.from(bytes);
    return true;
  }
}

/** Versions of a model that are held at the same time. */
const MAX_VERSIONS_PER_MODEL = 3;

/** All versions that this process holds something of. */
export class WeightsLibrary {
  readonly #held = new Map<string, HeldWeights>();
  onPiece: (held: HeldWeights, index: number) => void = () => {};

  /** What is held of a version; undefined before its manifest is known. */
  of(version: WeightsVersion): HeldWeights | undefined {
    return this.#held.get(versionKey(version));
  }

  all(): HeldWeights[] {
    return [...this.#held.values()];
  }

  /** Starts to hold a version; the oldest of its model goes where there are too many. */
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

  /** Keeps a piece of a version and tells; false where it is corrupt. */
  add(held: HeldWeights, index: number, bytes: Buffer): boolean {
    const isNew = !held.have.has(index);
    if (!held.add(index, bytes)) return false;
    if (isNew) this.onPiece(held, index);
    return true;
  }
}

/** The name of a version in paths and keys. */
export function versionKey({ model, version }: WeightsVersion): string {
  return `${model}/${version}`;
}
