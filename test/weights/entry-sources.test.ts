/** Where an entry fetches pieces from, by its place in the order of those responsible. */
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

/** Patience with each holder, by the zone that it is in. */
function patienceAt(place: EntryRank, isServed = false): Record<string, number> {
  const sources = sourcesOf({ place, isServed });
  return Object.fromEntries(sources.map(({ name, patience }) => [name, patience]));
}

describe('an entry that fetches a version', () => {
  it('asks entries of other zones at once if it is the first of its own', () => {
    expect(patienceAt({ inZone: 0, overall: 4, parent: undefined })['entry far:1']).toBe(0);
  });

  it('asks those of its zone first where engines serve the version already: it has just started again', () => {
    const patience = patienceAt({ inZone: 0, overall: 0, parent: undefined }, true);
    expect(patience['entry near:1']).toBe(0);
    expect(patience['entry far:1']).toBeGreaterThan(0);
  });

  it('asks those of its zone first otherwise, the one before it at once', () => {
    const patience = patienceAt({ inZone: 1, overall: 6, parent: 'near' });
    expect(patience['entry near:1']).toBe(0);
    expect(patience['entry far:1']).toBeGreaterThan(1_000);
    expect(patienceAt({ inZone: 5, overall: 6, parent: 'other' })['entry near:1']).toBeGreaterThan(0);
  });
});

/** Guards against links between regions on which everything else waits behind pieces of weights. */
describe('what is asked of one entry at a time', () => {
  /** Bytes that are on their way from each holder at the most. */
  function bytesInFlight(pieceBytes: number): Record<string, number> {
    const sources = sourcesOf({ manifest: { ...manifest, pieceBytes } });
    const wanted = Array.from({ length: PIECES }, (_, index) => index);
    const bytesOf = ({ nextBatch, concurrency }: PieceSource) =>
      nextBatch(wanted).length * concurrency * pieceBytes;
    return Object.fromEntries(sources.map((source) => [source.name, bytesOf(source)]));
  }

  it('takes a link between regions of 30 Mbit/s for less than a tenth of a second', () => {
    const most = (30_000_000 / 8) * 0.1;
    expect(bytesInFlight(49_152)['entry far:1']).toBeLessThan(most);
    expect(bytesInFlight(32)['entry far:1']).toBe(PIECES * 32);
  });

  it('is one piece where a piece is larger, and more inside a zone', () => {
    expect(bytesInFlight(1_000_000)['entry far:1']).toBe(1_000_000);
    expect(bytesInFlight(49_152)['entry near:1']).toBe(2 * PIECES * 49_152);
  });
});

describe('a piece that another entry draws', () => {
  const origin = { manifest: async () => never(), piece: async () => never() };
  const never = () => ({ ok: false, error: { type: 'sourceFailed', reason: 'none' } }) as const;

  /** The first piece that the origin would be asked for. */
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

  it('is left to it while anything comes', () => {
    expect(firstDrawn([], 0)).toEqual([0]);
    expect(firstDrawn([0, 1, 2], 0)).toEqual([3]);
  });

  it('is drawn beside it where nothing comes any more', () => {
    expect(firstDrawn([0, 1, 2], 1_000)).toEqual([0]);
  });
});
