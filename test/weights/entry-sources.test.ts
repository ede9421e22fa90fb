/** From which sources an entry fetches pieces, by its position in the order of entries. */
import { describe, expect, it } from 'vitest';
import { MemoryStore } from '../../emulator/store/memory-store.js';
import { ChunkSet } from '../../src/model/chunk-set.js';
import type { EntryReport } from '../../src/protocol/reports.js';
import {
  type EntryHolding,
  type EntryRank,
  type EntrySourceOptions,
  entrySources,
} from '../../src/weights/entry-sources.js';
import type { PieceManifest } from '../../src/weights/held-weights.js';
import type { PieceSource } from '../../src/weights/piece-source.js';

const PIECES = 12;
const manifest: PieceManifest = {
  model: 'm',
  version: 2,
  pieceBytes: 32,
  digests: Array.from({ length: PIECES }, (_, index) => `digest ${index}`),
};

function holder(id: string, zone: string): EntryHolding {
  const peer = { id, zone, address: `${id}:1` } as EntryReport;
  return { peer, have: ChunkSet.fromBytes(PIECES, new Uint8Array([0xff, 0x0f])), drawing: [] };
}

/** The sources of an entry that knows a holder in its own zone and one in another. */
function sourcesOf(changes: Partial<EntrySourceOptions>): PieceSource[] {
  return entrySources({
    self: { id: 'self', zone: 'zone-a' },
    place: { inZone: 0, overall: 0, parent: undefined },
    manifest,
    holders: [holder('near', 'zone-a'), holder('far', 'zone-b')],
    agents: [],
    isOnlyEntryOfZone: false,
    objects: new MemoryStore(),
    stored: new Set(),
    origin: undefined,
    isServed: false,
    sinceLastPiece: 0,
    ...changes,
  });
}

/** The patience of each source, by its name. */
function patienceAt(place: EntryRank, isServed = false): Record<string, number> {
  const sources = sourcesOf({ place, isServed });
  return Object.fromEntries(sources.map(({ name, patience }) => [name, patience]));
}

describe('an entry that fetches a version', () => {
  it('uses entries of other zones at once if it is the first of its own', () => {
    expect(patienceAt({ inZone: 0, overall: 4, parent: undefined })['entry far:1']).toBe(0);
  });

  it('uses entries of its zone first if engines already serve the version, as after its own restart', () => {
    const patience = patienceAt({ inZone: 0, overall: 0, parent: undefined }, true);
    expect(patience['entry near:1']).toBe(0);
    expect(patience['entry far:1']).toBeGreaterThan(0);
  });

  it('uses entries of its zone first otherwise, its parent at once', () => {
    const patience = patienceAt({ inZone: 1, overall: 6, parent: 'near' });
    expect(patience['entry near:1']).toBe(0);
    expect(patience['entry far:1']).toBeGreaterThan(1_000);
    expect(patienceAt({ inZone: 5, overall: 6, parent: 'other' })['entry near:1']).toBeGreaterThan(0);
  });
});

/** Guards against batches of pieces that delay all other traffic on the links between regions. */
describe('the batches requested from one entry', () => {
  /** The most bytes in flight from each holder. */
  function bytesInFlight(pieceBytes: number): Record<string, number> {
    const sources = sourcesOf({ manifest: { ...manifest, pieceBytes } });
    const wanted = Array.from({ length: PIECES }, (_, index) => index);
    const bytesOf = ({ nextBatch, concurrency }: PieceSource) =>
      nextBatch(wanted).length * concurrency * pieceBytes;
    return Object.fromEntries(sources.map((source) => [source.name, bytesOf(source)]));
  }

  it('occupy a link of 30 Mbit/s between regions for less than a tenth of a second', () => {
    const most = (30_000_000 / 8) * 0.1;
    expect(bytesInFlight(49_152)['entry far:1']).toBeLessThan(most);
    expect(bytesInFlight(32)['entry far:1']).toBe(PIECES * 32);
  });

  it('hold one piece if pieces are larger, and more inside a zone', () => {
    expect(bytesInFlight(1_000_000)['entry far:1']).toBe(1_000_000);
    expect(bytesInFlight(49_152)['entry near:1']).toBe(2 * PIECES * 49_152);
  });
});

describe('a piece that another entry is fetching from the origin', () => {
  const origin = { manifest: async () => never(), piece: async () => never() };
  const never = () => ({ ok: false, error: { type: 'sourceFailed', reason: 'none' } }) as const;

  /** The first piece that would be fetched from the origin. */
  function firstDrawn(drawing: number[], sinceLastPiece: number): number[] {
    const other = { ...holder('far', 'zone-b'), have: new ChunkSet(PIECES), drawing };
    const sources = entrySources({
      self: { id: 'self', zone: 'zone-a' },
      place: { inZone: 0, overall: 0, parent: undefined },
      manifest,
      holders: [other],
      agents: [],
      isOnlyEntryOfZone: false,
      objects: new MemoryStore(),
      stored: new Set(),
      origin,
      isServed: false,
      sinceLastPiece,
    });
    const wanted = Array.from({ length: PIECES }, (_, index) => index);
    return sources.find(({ isOrigin }) => isOrigin)!.nextBatch(wanted);
  }

  it('is left to that entry while pieces arrive', () => {
    expect(firstDrawn([], 0)).toEqual([0]);
    expect(firstDrawn([0, 1, 2], 0)).toEqual([3]);
  });

  it('is fetched as well once no pieces arrive any more and no piece is left that nobody fetches', () => {
    const all = Array.from({ length: PIECES }, (_, index) => index);
    expect(firstDrawn(all, 0)).toEqual([]);
    expect(firstDrawn(all, 1_000)).toEqual([0]);
    expect(firstDrawn([0, 1, 2], 1_000)).toEqual([3]);
  });
});
