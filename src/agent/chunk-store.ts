/**
 * The chunks in an agent's memory, by digest and within a budget. Chunks of pinned versions are kept; others are evicted
 * if their memory is needed, least recently unpinned first.
 */
import type { Digest, Manifest } from '../model/manifest.js';

/** A bounded, content-addressed store. */
export class ChunkStore {
  readonly #budgetBytes: number;
  readonly #chunks = new Map<Digest, Buffer>();
  readonly #pins = new Map<Digest, number>();
  #usedBytes = 0;
  #pinnedBytes = 0;

  constructor(budgetBytes: number) {
    this.#budgetBytes = budgetBytes;
  }

  get usedBytes(): number {
    return this.#usedBytes;
  }

  get(digest: Digest): Buffer | undefined {
    return this.#chunks.get(digest);
  }

  /** Pins all chunks of a version, also those not yet stored. Returns false if they do not fit the budget. */
  pin(manifest: Manifest): boolean {
    const fresh = uniqueChunks(manifest).filter(([digest]) => !this.#pins.has(digest));
    const needed = fresh.reduce((sum, [, bytes]) => sum + bytes, 0);
    if (this.#pinnedBytes + needed > this.#budgetBytes) return false;
    this.#pinnedBytes += needed;
    for (const [digest] of uniqueChunks(manifest)) this.#pins.set(digest, (this.#pins.get(digest) ?? 0) + 1);
    this.#evict();
    return true;
  }

  /** Removes a pin. The chunks are kept until their memory is needed. */
  unpin(manifest: Manifest): void {
    for (const [digest, bytes] of uniqueChunks(manifest)) {
      const pins = (this.#pins.get(digest) ?? 0) - 1;
      if (pins > 0) {
        this.#pins.set(digest, pins);
        continue;
      }
      this.#pins.delete(digest);
      this.#pinnedBytes -= bytes;
      this.#moveToEnd(digest);
    }
  }

  /** Stores a verified chunk of a pinned version. */
  put(digest: Digest, data: Buffer): void {
    if (this.#chunks.has(digest)) return;
    this.#chunks.set(digest, data);
    this.#usedBytes += data.byteLength;
    this.#evict();
  }

  #moveToEnd(digest: Digest): void {
    const data = this.#chunks.get(digest);
    if (data === undefined) return;
    this.#chunks.delete(digest);
    this.#chunks.set(digest, data);
  }

  /** Evicts unpinned chunks until all pinned chunks fit, also those not yet stored. */
  #evict(): void {
    let unpinnedBytes = this.#usedBytes - this.#pinnedBytesHeld();
    const room = this.#budgetBytes - this.#pinnedBytes;
    for (const [digest, data] of this.#chunks) {
      if (unpinnedBytes <= room) return;
      if (this.#pins.has(digest)) continue;
      this.#chunks.delete(digest);
      this.#usedBytes -= data.byteLength;
      unpinnedBytes -= data.byteLength;
    }
  }

  #pinnedBytesHeld(): number {
    let bytes = 0;
    for (const digest of this.#pins.keys()) bytes += this.#chunks.get(digest)?.byteLength ?? 0;
    return bytes;
  }
}

function uniqueChunks(manifest: Manifest): Array<[Digest, number]> {
  return [...new Map(manifest.chunks.map((chunk) => [chunk.digest, chunk.bytes]))];
}
