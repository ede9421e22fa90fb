/** Tests of what an agent decides about the versions of its plan. */
import { describe, expect, it } from 'vitest';
import { NamedVersions } from '../../src/fleet/named-versions.js';
import { StoreClock } from '../../src/fleet/store-clock.js';
import { digestOf } from '../../src/model/manifest.js';
import type { WeightsPlan } from '../../src/protocol/reports.js';
import { HeldWeights, versionKey, type WeightsVersion } from '../../src/weights/held-weights.js';
import type { PieceFetcher } from '../../src/weights/piece-fetcher.js';
import { type VersionFetch, VersionOrder } from '../../src/weights/version-order.js';

const BOUND = 8_000;
const PIECE = Buffer.from('piece');

/** The fetch of a version whose pieces have all arrived. */
function completeFetch({ model, version }: WeightsVersion): VersionFetch {
  const held = new HeldWeights({ model, version, pieceBytes: PIECE.length, digests: [digestOf(PIECE)] });
  held.have.add(0);
  const now = performance.now();
  const fetcher = { lastPieceAt: now, imminentEnd: now, expectedEnd: now, isIdle: true };
  return {
    startedAt: now,
    stopped: new AbortController(),
    held,
    fetcher: fetcher as unknown as PieceFetcher,
  };
}

/** The decisions about an engine that serves version 1 of `m`, once `fetched` is complete and the bound of its naming is over. */
function orderAfter(fetched: WeightsVersion): VersionOrder {
  const clock = new StoreClock();
  const now = performance.now();
  clock.addSample(now, now);
  const versions = new NamedVersions(clock);
  versions.add({ model: 'm', version: 1, notBefore: Number.NEGATIVE_INFINITY });
  versions.add({ ...fetched, notBefore: now - BOUND });
  return new VersionOrder({
    versions,
    fetches: new Map([[versionKey(fetched), completeFetch(fetched)]]),
    plan: () => ({ bound: BOUND, position: 0, engines: 6 }) as WeightsPlan,
    model: () => 'm',
    loadedVersion: () => 1,
  });
}

describe('an engine', () => {
  it('stops accepting requests before it loads a version that is late', () => {
    expect(orderAfter({ model: 'm', version: 2 }).drainsAhead()).toBe(true);
  });

  it('goes on serving while the plan names a version of another model, which it never loads', () => {
    expect(orderAfter({ model: 'other', version: 7 }).drainsAhead()).toBe(false);
  });
});
