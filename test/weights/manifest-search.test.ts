/** Who is asked for a manifest: an origin that accepts few connections is not asked by all at once. */
import { afterEach, describe, expect, it } from 'vitest';
import { MemoryStore } from '../../emulator/store/memory-store.js';
import { failure, success } from '../../src/model/result.js';
import { type PieceManifest, WeightsLibrary } from '../../src/weights/held-weights.js';
import { findManifest, type ManifestHolders } from '../../src/weights/manifest-search.js';
import type { PieceOrigin } from '../../src/weights/piece-source.js';

const VERSION = { model: 'm', version: 2 };
const MANIFEST: PieceManifest = { ...VERSION, pieceBytes: 4, digests: ['a', 'b'] };

let asked = 0;

const origin: PieceOrigin = {
  manifest: async () => {
    asked++;
    return success(MANIFEST);
  },
  piece: async () => failure({ type: 'sourceFailed', reason: 'none' }),
};

function search(changes: Partial<ManifestHolders>): Promise<PieceManifest | undefined> {
  const holders: ManifestHolders = {
    library: new WeightsLibrary(),
    processes: () => [],
    origin: () => undefined,
    objects: () => undefined,
    ...changes,
  };
  return findManifest(VERSION, holders, AbortSignal.timeout(10_000));
}

afterEach(() => {
  asked = 0;
});

describe('the search for a manifest', () => {
  it('asks the origin only once it is the turn of this process', async () => {
    let isTurn = false;
    const found = search({ origin: () => (isTurn ? origin : undefined) });
    await new Promise((resolve) => setTimeout(resolve, 300));
    expect(asked).toBe(0);
    isTurn = true;
    expect(await found).toEqual(MANIFEST);
    expect(asked).toBe(1);
  });

  it('asks the object store only once it is the turn of this process', async () => {
    const store = new MemoryStore();
    let isTurn = false;
    const found = search({
      objects: () => (isTurn ? store : undefined),
      origin: () => (isTurn ? origin : undefined),
    });
    await new Promise((resolve) => setTimeout(resolve, 300));
    expect(store.calls).toEqual({});
    isTurn = true;
    await found;
  });
});
