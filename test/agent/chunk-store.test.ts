import fc from 'fast-check';
import { describe, expect, it } from 'vitest';
import { ChunkStore } from '../../src/agent/chunk-store.js';
import { buildManifest, digestOf, type Manifest } from '../../src/model/manifest.js';

const CHUNK_BYTES = 10;

function createVersion(...seeds: number[]): { manifest: Manifest; chunks: Buffer[] } {
  const chunks = seeds.map((seed) => Buffer.alloc(CHUNK_BYTES, seed));
  return { manifest: buildManifest(Buffer.concat(chunks), CHUNK_BYTES), chunks };
}

function fill(store: ChunkStore, chunks: Buffer[]): void {
  for (const chunk of chunks) store.put(digestOf(chunk), chunk);
}

describe('a chunk store', () => {
  it('refuses to pin a version that does not fit its budget, and keeps the chunks that it has', () => {
    const store = new ChunkStore(3 * CHUNK_BYTES);
    const first = createVersion(1, 2);
    expect(store.pin(first.manifest)).toBe(true);
    fill(store, first.chunks);
    expect(store.pin(createVersion(3, 4).manifest)).toBe(false);
    expect(store.usedBytes).toBe(2 * CHUNK_BYTES);
  });

  it('counts chunks that two versions share once', () => {
    const store = new ChunkStore(3 * CHUNK_BYTES);
    expect(store.pin(createVersion(1, 2).manifest)).toBe(true);
    expect(store.pin(createVersion(2, 3).manifest)).toBe(true);
  });

  it('keeps chunks of an unpinned version until their memory is needed', () => {
    const store = new ChunkStore(3 * CHUNK_BYTES);
    const old = createVersion(1, 2);
    store.pin(old.manifest);
    fill(store, old.chunks);
    store.unpin(old.manifest);
    expect(store.get(digestOf(old.chunks[0]))).toBeDefined();
    store.pin(createVersion(2, 3, 4).manifest);
    expect(store.get(digestOf(old.chunks[0]))).toBeUndefined();
    expect(store.get(digestOf(old.chunks[1]))).toBeDefined();
  });

  it('never exceeds its budget or evicts a pinned chunk', () => {
    const step = fc.record({
      pin: fc.boolean(),
      seeds: fc.uniqueArray(fc.integer({ min: 0, max: 9 }), { maxLength: 5 }),
    });
    const property = fc.property(fc.array(step, { maxLength: 30 }), (steps) => {
      const budget = 6 * CHUNK_BYTES;
      const store = new ChunkStore(budget);
      const pinned: Array<ReturnType<typeof createVersion>> = [];
      for (const { pin, seeds } of steps) {
        const version = createVersion(...seeds);
        if (pin && store.pin(version.manifest)) {
          pinned.push(version);
          fill(store, version.chunks);
        } else if (!pin && pinned.length > 0) store.unpin(pinned.shift()!.manifest);
        expect(store.usedBytes).toBeLessThanOrEqual(budget);
        for (const held of pinned.flatMap((entry) => entry.chunks))
          expect(store.get(digestOf(held))).toBeDefined();
      }
    });
    fc.assert(property, { seed: 1, numRuns: 300 });
  });
});
