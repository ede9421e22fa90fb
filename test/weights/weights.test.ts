/** Pieces of weights: how they are held, fetched, written to an engine's stage and loaded on schedule. */
import { describe, expect, it } from 'vitest';
import { MemoryStore } from '../../emulator/store/memory-store.js';
import { ChunkSet } from '../../src/model/chunk-set.js';
import { digestOf } from '../../src/model/manifest.js';
import { seededRandom } from '../../src/model/random.js';
import { failure, success } from '../../src/model/result.js';
import { silentLog } from '../../src/observability/log.js';
import type { EngineReport, WeightsPlan } from '../../src/protocol/reports.js';
import { drawDelay } from '../../src/systems/origin-draw.js';
import { EngineLoader } from '../../src/weights/engine-loader.js';
import { HeldWeights, type PieceManifest, WeightsLibrary } from '../../src/weights/held-weights.js';
import { PieceFetcher } from '../../src/weights/piece-fetcher.js';
import type { PieceOrigin, PieceSource } from '../../src/weights/piece-source.js';
import { objectSource, originSource, partsOf, storedManifestKey } from '../../src/weights/piece-sources.js';
import type { EngineState, StagedEngine, StartOrder } from '../../src/weights/staged-engine.js';
import {
  drainsAhead,
  SWITCH_WAVES,
  shouldSkip,
  switchTime,
  waveOf,
} from '../../src/weights/switch-schedule.js';
import { until } from '../support.js';

const PIECES = 12;
const pieceOf = (version: number, index: number) =>
  Buffer.from(`piece ${index} of version ${version}`.padEnd(32));

function manifestOf(version: number): PieceManifest {
  const digests = Array.from({ length: PIECES }, (_, index) => digestOf(pieceOf(version, index)));
  return { model: 'm', version, pieceBytes: 32, digests };
}

function source(name: string, changes: Partial<PieceSource>): PieceSource {
  return {
    name,
    patience: 0,
    concurrency: 1,
    batchTimeout: 1_000,
    isOrigin: false,
    isDivisible: true,
    nextBatch: (wanted) => wanted.slice(0, 2),
    fetch: async (batch) => success(batch.map((index) => [index, pieceOf(1, index)])),
    ...changes,
  };
}

async function fetchAll(sources: PieceSource[]): Promise<HeldWeights> {
  const library = new WeightsLibrary();
  const held = library.open(manifestOf(1));
  const options = {
    held,
    library,
    sources: () => sources,
    mayFetch: () => true,
    overdueAfter: 1_500,
    random: seededRandom(3),
    log: silentLog,
  };
  await new PieceFetcher(options).run(AbortSignal.timeout(15_000));
  return held;
}

describe('fetches from the origin', () => {
  it('pass to the next three entries soon if no piece arrives, and to the others later', () => {
    expect([0, 1, 2, 3].map(drawDelay)).toEqual([0, 300, 600, 900]);
    expect(drawDelay(4) - drawDelay(3)).toBeGreaterThan(1_000);
  });
});

describe('held weights', () => {
  it('keep a piece only if it has the digest in the manifest', () => {
    const held = new HeldWeights(manifestOf(1));
    expect(held.add(0, pieceOf(1, 0))).toBe(true);
    expect(held.add(1, pieceOf(2, 1))).toBe(false);
    expect(held.missing()).toHaveLength(PIECES - 1);
  });

  it('evict the oldest of many versions', () => {
    const library = new WeightsLibrary();
    for (const version of [1, 2, 3, 4]) library.open(manifestOf(version));
    expect(library.all().map(({ manifest }) => manifest.version)).toEqual([2, 3, 4]);
  });
});

describe('a fetcher', () => {
  it('fetches corrupt pieces from another source', async () => {
    const corrupt = source('corrupt', {
      fetch: async (batch) => success(batch.map((index) => [index, pieceOf(9, index)])),
    });
    const held = await fetchAll([corrupt, source('good', {})]);
    expect(held.complete).toBe(true);
  });

  it('falls back to an expensive source if the others deliver nothing, and stays with it', async () => {
    let asked = 0;
    const failing = source('failing', {
      fetch: async () => failure({ type: 'sourceFailed', reason: 'down' }),
    });
    const expensive = source('expensive', {
      patience: 200,
      nextBatch: (wanted) => wanted.slice(0, 1),
      fetch: async (batch) => {
        asked++;
        return success(batch.map((index) => [index, pieceOf(1, index)]));
      },
    });
    const startedAt = performance.now();
    const held = await fetchAll([failing, expensive]);
    expect(held.complete).toBe(true);
    expect(asked).toBe(PIECES);
    // Waiting for its patience to elapse before each piece would take twelve times as long.
    expect(performance.now() - startedAt).toBeLessThan(200 * PIECES);
  });

  it('fetches from the origin only what no other source has', async () => {
    const drawn: number[] = [];
    const origin: PieceOrigin = {
      manifest: async () => success(manifestOf(1)),
      piece: async (_version, index) => {
        drawn.push(index);
        return success(pieceOf(1, index));
      },
    };
    const peer = source('peer', {
      nextBatch: (wanted) => wanted.filter((index) => index < 6).slice(0, 2),
    });
    const fromOrigin = originSource({
      origin,
      version: manifestOf(1),
      patience: 0,
      concurrency: 3,
      batchTimeout: 1_000,
      mayDraw: (index) => index >= 6,
      firstOf: (count) => Math.floor(count / 2),
    });
    const held = await fetchAll([peer, fromOrigin]);
    expect(held.complete).toBe(true);
    expect(drawn[0]).toBe(9);
    expect(drawn.sort((a, b) => a - b)).toEqual([6, 7, 8, 9, 10, 11]);
  });

  it('asks a source that has failed for one batch at a time until it delivers', async () => {
    const failures = 7;
    let open = 0;
    const openAtCall: number[] = [];
    const returning = source('returning', {
      concurrency: 4,
      nextBatch: (wanted) => wanted.slice(0, 1),
      fetch: async (batch) => {
        const call = openAtCall.push(++open);
        await new Promise((resolve) => setTimeout(resolve, 20));
        open--;
        if (call <= failures) return failure({ type: 'sourceFailed', reason: 'away' });
        return success(batch.map((index) => [index, pieceOf(1, index)]));
      },
    });
    const held = await fetchAll([returning]);
    expect(held.complete).toBe(true);
    expect(openAtCall.slice(0, failures)).toEqual([1, 2, 3, 4, 1, 1, 1]);
    expect(Math.max(...openAtCall.slice(failures))).toBe(4);
  });

  it('reads whole objects from the object store', async () => {
    const objects = new MemoryStore();
    const manifest = manifestOf(1);
    const parts = partsOf(manifest);
    for (const { key, pieces } of parts) {
      await objects.put(
        key,
        Buffer.concat(pieces.map((index) => pieceOf(1, index))),
        AbortSignal.timeout(1_000),
      );
    }
    const stored = new Set(parts.map(({ index }) => index));
    const held = await fetchAll([
      objectSource({
        objects,
        manifest,
        stored,
        patience: 0,
        concurrency: 2,
        batchTimeout: 1_000,
        offset: 2,
      }),
    ]);
    expect(held.complete).toBe(true);
    expect(objects.calls.get).toBe(parts.length);
  });
});

describe('the switch schedule of an engine', () => {
  const situation = { version: 1, expiresAt: 9_000, namedAt: 1_000, completeAt: 4_000, bound: 8_000 };

  it('switches at once if the engine serves nothing', () => {
    expect(switchTime({ ...situation, version: 0, position: 2 })).toBe(Number.NEGATIVE_INFINITY);
  });

  it('switches in waves, and before the version expires', () => {
    const times = [0, 1, 2].map((position) => switchTime({ ...situation, position }));
    expect(times[0]).toBe(4_000);
    expect(times[1]).toBeGreaterThan(times[0]);
    expect(times[2]).toBeGreaterThan(times[1]);
    expect(times[2]).toBeLessThan(situation.expiresAt);
    expect(waveOf(SWITCH_WAVES)).toBe(0);
  });

  it('lets the first engines run out of requests before a version that completes shortly before the expiry', () => {
    const late = { version: 1, expiresAt: 9_000, completeAt: 8_600, position: 0, engines: 6, now: 7_200 };
    expect(drainsAhead(late)).toBe(true);
    expect(drainsAhead({ ...late, now: 6_000 })).toBe(false);
    const draining = [0, 1, 2, 3, 4, 5].filter((position) => drainsAhead({ ...late, position }));
    expect(draining.length).toBe(2);
    const drainingOf = (engines: number) =>
      [0, 1, 2, 3].filter((position) => position < engines && drainsAhead({ ...late, position, engines }));
    expect([1, 2, 3, 4].map((engines) => drainingOf(engines).length)).toEqual([0, 1, 1, 2]);
    // There is time for the usual waves.
    expect(drainsAhead({ ...late, completeAt: 4_000, now: 3_900 })).toBe(false);
  });

  it('lets no engine run out of requests for a version whose fetch is stalled, or while none expires', () => {
    const late = { version: 1, expiresAt: 9_000, completeAt: 8_600, position: 0, engines: 6, now: 8_500 };
    expect(drainsAhead({ ...late, completeAt: Number.POSITIVE_INFINITY })).toBe(false);
    expect(drainsAhead({ ...late, expiresAt: Number.POSITIVE_INFINITY })).toBe(false);
    expect(drainsAhead({ ...late, version: 0 })).toBe(false);
  });

  it('skips a version closely followed by another, if that will be complete in time', () => {
    const closely = { namedAt: 1_000, newestNamedAt: 3_000, expiresAt: 9_000, bound: 8_000, position: 0 };
    expect(shouldSkip({ ...closely, newestCompleteAt: 7_000 })).toBe(true);
    expect(shouldSkip({ ...closely, newestCompleteAt: Number.POSITIVE_INFINITY })).toBe(false);
    const later = { ...closely, newestNamedAt: 5_000, newestCompleteAt: 8_500 };
    expect([0, 1, 2].map((position) => shouldSkip({ ...later, position }))).toEqual([false, false, true]);
  });
});

/** An engine whose staged pieces can become corrupt. */
class FakeEngine implements StagedEngine {
  readonly stagedPieces = new Map<number, Buffer>();
  readonly orders: number[] = [];
  /** How each order treats running requests. */
  readonly running: StartOrder['running'][] = [];
  /** Number of polls for which an order keeps the engine busy. */
  busyPolls = 0;
  layers: EngineState['layers'];
  corruptedOnce = new Set<number>();

  async state() {
    const isBusy = this.busyPolls > 0;
    if (isBusy) this.busyPolls--;
    const layers = isBusy ? { from: 0, end: 0, version: 0 } : this.layers;
    return success({ model: 'm', layers, isBusy, load: 0, sequence: this.orders.length });
  }

  async stage(_model: string, index: number, bytes: Buffer) {
    this.stagedPieces.set(index, this.corruptedOnce.delete(index) ? Buffer.from('rotten') : bytes);
    return success(undefined);
  }

  async staged(_model: string, index: number) {
    return success(this.stagedPieces.get(index));
  }

  async start({ version, running }: StartOrder) {
    this.running.push(running);
    const isComplete = Array.from({ length: PIECES }, (_, index) => index).every((index) =>
      this.stagedPieces.get(index)?.equals(pieceOf(version, index)),
    );
    if (!isComplete) throw new Error('ordered to load corrupt pieces');
    this.orders.push(version);
    this.layers = { from: 0, end: 16, version };
    return success({ type: 'taken' } as const);
  }
}

function planOf(versions: Array<[version: number, age: number]>): WeightsPlan {
  return {
    versions: versions.map(([version, age]) => ({ model: 'm', version, notBefore: performance.now() - age })),
    storeTime: performance.now(),
    bound: 8_000,
    origin: 'origin',
    layers: 16,
    position: 0,
    canMoveRequests: false,
    holders: [],
    entries: [],
    hasNearEntry: false,
  };
}

describe('the loader next to an engine', () => {
  const origin: PieceOrigin = {
    manifest: async ({ version }) => success(manifestOf(version)),
    piece: async ({ version }, index) => success(pieceOf(version, index)),
  };

  async function objectsWith(...versions: number[]): Promise<MemoryStore> {
    const objects = new MemoryStore();
    for (const version of versions) {
      for (const { key, pieces } of partsOf(manifestOf(version))) {
        await objects.put(
          key,
          Buffer.concat(pieces.map((index) => pieceOf(version, index))),
          AbortSignal.timeout(1_000),
        );
      }
    }
    return objects;
  }

  async function run(
    engine: FakeEngine,
    plan: WeightsPlan,
    done: (reports: EngineReport[]) => boolean,
    later?: WeightsPlan,
    originUsed = origin,
  ): Promise<EngineReport[]> {
    const reports: EngineReport[] = [];
    const loader = new EngineLoader({
      engine,
      engineAddress: 'engine',
      address: 'agent',
      slotAddress: 'slots',
      zone: 'zone-a',
      onEngineState: () => {},
      library: new WeightsLibrary(),
      objects: await objectsWith(1, 2),
      originAt: () => originUsed,
      sendReport: (report) => reports.push(report),
      random: seededRandom(5),
      log: silentLog,
    });
    await loader.start();
    loader.applyPlan(plan);
    if (later !== undefined) loader.applyPlan(later);
    await until(() => done(reports), 'the engine');
    await loader.stop();
    return reports;
  }

  it('loads an empty engine without any entry, and reports the pieces it holds', async () => {
    const engine = new FakeEngine();
    const reports = await run(engine, planOf([[2, 1_000_000_000]]), (sent) => sent.at(-1)?.version === 2);
    expect(engine.orders).toEqual([2]);
    const { held } = reports.at(-1)!;
    expect(ChunkSet.fromBytes(held[0].count, held[0].have).complete).toBe(true);
  });

  it('does not report an imminent switch while pieces are missing, even if plans drop and restore a version', async () => {
    const reports: EngineReport[] = [];
    const loader = new EngineLoader({
      engine: new FakeEngine(),
      engineAddress: 'engine',
      address: 'agent',
      slotAddress: 'slots',
      zone: 'zone-a',
      onEngineState: () => {},
      library: new WeightsLibrary(),
      objects: new MemoryStore(),
      originAt: () => ({ ...origin, piece: async () => failure({ type: 'sourceFailed', reason: 'away' }) }),
      sendReport: (report) => reports.push(report),
      random: seededRandom(5),
      log: silentLog,
    });
    await loader.start();
    for (const version of [3, 2, 3]) {
      loader.applyPlan(planOf([[version, 1_000_000_000]]));
      await until(() => reports.at(-1)?.held.some((held) => held.version === version) === true, 'a manifest');
    }
    const reportCount = reports.length;
    await until(() => reports.length > reportCount + 1, 'more reports');
    await loader.stop();
    for (const { switchesIn } of reports) expect(switchesIn ?? Number.POSITIVE_INFINITY).toBeGreaterThan(500);
  });

  it('continues its fetch when an entry that has just started sends a plan without versions', async () => {
    const engine = new FakeEngine();
    const reports = await run(
      engine,
      planOf([[2, 1_000_000_000]]),
      (sent) => sent.at(-1)?.version === 2,
      planOf([]),
    );
    expect(engine.orders).toEqual([2]);
    expect(reports.at(-1)?.version).toBe(2);
  });

  it('loads a complete version into an empty engine while a newer one is nowhere to be found', async () => {
    const engine = new FakeEngine();
    const isAway = ({ version }: { version: number }) => version === 3;
    const away = failure({ type: 'sourceFailed', reason: 'away' } as const);
    const returning: PieceOrigin = {
      manifest: async (version, signal) => (isAway(version) ? away : origin.manifest(version, signal)),
      piece: async (version, index, signal) =>
        isAway(version) ? away : origin.piece(version, index, signal),
    };
    const named = planOf([
      [2, 2_000],
      [3, 1_500],
    ]);
    // Without entries the agent asks the origin for the manifest after some seconds.
    const plan = { ...named, bound: 20_000 };
    await run(engine, plan, (sent) => sent.at(-1)?.version === 2, undefined, returning);
    expect(engine.orders).toEqual([2]);
  });

  it('replaces pieces that became corrupt in the stage before it sends the order', async () => {
    const engine = new FakeEngine();
    engine.corruptedOnce = new Set([3, 7]);
    await run(engine, planOf([[1, 1_000_000_000]]), () => engine.orders.length > 0);
    expect(engine.orders).toEqual([1]);
  });

  it('never orders the engine to drop running requests, whatever the plan says', async () => {
    for (const canMoveRequests of [false, true]) {
      const engine = new FakeEngine();
      engine.layers = { from: 0, end: 16, version: 1 };
      await run(engine, { ...planOf([[2, 7_500]]), canMoveRequests }, (sent) => sent.at(-1)?.version === 2);
      expect(engine.running).toEqual(['finish']);
    }
  });

  it('waits for a switch to a version no longer wanted, and never reports the engine as lost or empty', async () => {
    const engine = new FakeEngine();
    engine.layers = { from: 0, end: 16, version: 1 };
    engine.start = async (order) => {
      engine.busyPolls = 8;
      // The next plan no longer contains the version that was ordered.
      later!();
      return FakeEngine.prototype.start.call(engine, order);
    };
    const reports: EngineReport[] = [];
    const loader = new EngineLoader({
      engine,
      engineAddress: 'engine',
      address: 'agent',
      slotAddress: 'slots',
      zone: 'zone-a',
      onEngineState: () => {},
      library: new WeightsLibrary(),
      objects: await objectsWith(2),
      originAt: () => ({ ...origin, piece: async () => failure({ type: 'sourceFailed', reason: 'away' }) }),
      sendReport: (report) => reports.push(report),
      random: seededRandom(5),
      log: silentLog,
    });
    const later = () => loader.applyPlan(planOf([[3, 0]]));
    await loader.start();
    loader.applyPlan(planOf([[2, 7_500]]));
    await until(() => reports.at(-1)?.version === 2, 'the version that was ordered');
    await loader.stop();
    const reached = reports.filter(({ isReached }) => isReached);
    // An entry that hears that an engine holds nothing and is not switching sends it no requests until its
    // next report.
    expect(reached.filter(({ version, isSwitching }) => version === 0 && !isSwitching)).toEqual([]);
    const first = reports.findIndex(({ isReached }) => isReached);
    expect(reports.slice(first).every(({ isReached }) => isReached)).toBe(true);
    // From the notice until it holds the version, the engine accepts nothing, whatever plans arrive
    // meanwhile.
    const firstSwitching = reports.findIndex(({ isSwitching }) => isSwitching);
    const held = reports.findIndex(({ version }) => version === 2);
    expect(reports.slice(firstSwitching, held).every(({ isSwitching }) => isSwitching)).toBe(true);
  });

  it('switches in time even if the manifest of the current version cannot be found', async () => {
    const engine = new FakeEngine();
    engine.layers = { from: 0, end: 16, version: 1 };
    const objects = await objectsWith(2);
    const manifest = Buffer.from(JSON.stringify(manifestOf(2)));
    await objects.put(storedManifestKey(manifestOf(2)), manifest, AbortSignal.timeout(1_000));
    const reports: EngineReport[] = [];
    const loader = new EngineLoader({
      engine,
      engineAddress: 'engine',
      address: 'agent',
      slotAddress: 'slots',
      zone: 'zone-a',
      onEngineState: () => {},
      library: new WeightsLibrary(),
      objects,
      originAt: () => ({
        ...origin,
        manifest: async ({ version }) =>
          version === 2 ? success(manifestOf(2)) : failure({ type: 'sourceFailed', reason: 'gone' }),
      }),
      sendReport: (report) => reports.push(report),
      random: seededRandom(5),
      log: silentLog,
    });
    await loader.start();
    // Its pieces are complete before its switch is due, 6.4 s after the naming at the latest.
    loader.applyPlan({ ...planOf([[2, 2_500]]), position: 3 });
    await until(() => reports.at(-1)?.version === 2, 'the next version');
    await loader.stop();
    expect(engine.orders).toEqual([2]);
  });

  it('reports an imminent switch before it sends the order', async () => {
    const engine = new FakeEngine();
    engine.layers = { from: 0, end: 16, version: 1 };
    const reports = await run(engine, planOf([[2, 7_500]]), (sent) => sent.at(-1)?.version === 2);
    const switching = reports.findIndex(({ isSwitching }) => isSwitching);
    expect(switching).toBeGreaterThanOrEqual(0);
    expect(reports[switching].version).toBe(1);
  });
});
