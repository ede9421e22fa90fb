/**
 * Guards against an engine being ordered to drop its running requests because of a plan that is no longer
 * current: the spare capacity that it was based on may be gone.
 */
import { expect, it } from 'vitest';
import { MemoryStore } from '../../emulator/store/memory-store.js';
import { digestOf } from '../../src/model/manifest.js';
import { seededRandom } from '../../src/model/random.js';
import { failure, success } from '../../src/model/result.js';
import { silentLog } from '../../src/observability/log.js';
import type { WeightsPlan } from '../../src/protocol/reports.js';
import { EngineLoader } from '../../src/weights/engine-loader.js';
import { type PieceManifest, WeightsLibrary } from '../../src/weights/held-weights.js';
import type { PieceOrigin } from '../../src/weights/piece-source.js';
import { partsOf, storedManifestKey } from '../../src/weights/piece-sources.js';
import type { EngineState, StagedEngine, StartOrder } from '../../src/weights/staged-engine.js';
import { until } from '../support.js';

const LAYERS = 16;
const PIECES = 4;
/** Every engine switches at the latest this long after the naming, in milliseconds. */
const LATEST_SWITCH = 6_400;
/**
 * Age of the plan when the order is due, in milliseconds. Entries send plans every 0.7 s: one this old says
 * nothing about the spare capacity of other engines.
 */
const PLAN_AGE = 2_500;

const pieceOf = (version: number, index: number) =>
  Buffer.from(`piece ${index} of version ${version}`.padEnd(32));

function manifestOf(version: number): PieceManifest {
  const digests = Array.from({ length: PIECES }, (_, index) => digestOf(pieceOf(version, index)));
  return { model: 'm', version, pieceBytes: 32, digests };
}

const unavailableOrigin: PieceOrigin = {
  manifest: async () => failure({ type: 'sourceFailed', reason: 'away' }),
  piece: async () => failure({ type: 'sourceFailed', reason: 'away' }),
};

/** An object store that holds a complete version. */
async function objectsWith(version: number): Promise<MemoryStore> {
  const objects = new MemoryStore();
  const manifest = manifestOf(version);
  const objectOf = (key: string, bytes: Buffer) => objects.put(key, bytes, AbortSignal.timeout(1_000));
  for (const { key, pieces } of partsOf(manifest))
    await objectOf(key, Buffer.concat(pieces.map((index) => pieceOf(version, index))));
  await objectOf(storedManifestKey(manifest), Buffer.from(JSON.stringify(manifest)));
  return objects;
}

class FakeEngine implements StagedEngine {
  readonly running: StartOrder['running'][] = [];
  readonly #stage = new Map<number, Buffer>();
  #layers: EngineState['layers'] = { from: 0, end: LAYERS, version: 1 };

  async state() {
    const sequence = this.running.length;
    return success({ model: 'm', layers: this.#layers, isBusy: false, load: 6, sequence });
  }

  async stage(_model: string, index: number, bytes: Buffer) {
    this.#stage.set(index, bytes);
    return success(undefined);
  }

  async staged(_model: string, index: number) {
    return success(this.#stage.get(index));
  }

  async start({ version, running }: StartOrder) {
    this.running.push(running);
    this.#layers = { from: 0, end: LAYERS, version };
    return success({ type: 'taken' } as const);
  }
}

it('running requests are not dropped on the basis of a plan that is several seconds old', async () => {
  const engine = new FakeEngine();
  const loader = new EngineLoader({
    engine,
    engineAddress: 'engine',
    address: 'agent',
    slotAddress: 'slots',
    onEngineState: () => {},
    library: new WeightsLibrary(),
    objects: await objectsWith(2),
    originAt: () => unavailableOrigin,
    sendReport: () => {},
    random: seededRandom(5),
    log: silentLog,
  });
  const plan: WeightsPlan = {
    versions: [{ model: 'm', version: 2, notBefore: performance.now() - (LATEST_SWITCH - PLAN_AGE) }],
    storeTime: performance.now(),
    bound: 8_000,
    origin: 'origin',
    layers: LAYERS,
    position: 5,
    canMoveRequests: true,
    holders: [],
    entries: [],
    hasNearEntry: false,
  };
  await loader.start();
  const planAppliedAt = performance.now();
  loader.applyPlan(plan);
  await until(() => engine.running.length === 1, 'the order');
  const age = performance.now() - planAppliedAt;
  await loader.stop();
  expect(age).toBeGreaterThan(PLAN_AGE - 500);
  expect(engine.running).toEqual(['finish']);
});
