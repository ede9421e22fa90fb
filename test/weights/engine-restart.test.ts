/**
 * An engine that restarts next to its agent under the same id: it holds nothing and has accepted no orders.
 */
import { afterEach, describe, expect, it } from 'vitest';
import { MemoryStore } from '../../emulator/store/memory-store.js';
import { digestOf } from '../../src/model/manifest.js';
import { seededRandom } from '../../src/model/random.js';
import { failure, success } from '../../src/model/result.js';
import { type Log, silentLog } from '../../src/observability/log.js';
import type { EngineReport, WeightsPlan } from '../../src/protocol/reports.js';
import { LayerProofs } from '../../src/systems/layer-proofs.js';
import type { ObservedEngine } from '../../src/systems/slot-table.js';
import { EngineLoader } from '../../src/weights/engine-loader.js';
import { EngineStage } from '../../src/weights/engine-stage.js';
import { EngineStarts } from '../../src/weights/engine-starts.js';
import { EngineSwitch } from '../../src/weights/engine-switch.js';
import { HeldWeights, type PieceManifest, WeightsLibrary } from '../../src/weights/held-weights.js';
import type { PieceOrigin } from '../../src/weights/piece-source.js';
import { partsOf, storedManifestKey } from '../../src/weights/piece-sources.js';
import type { EngineState, StagedEngine, StartOrder } from '../../src/weights/staged-engine.js';
import { until } from '../support.js';

const PIECES = 6;
const LAYERS = 4;
const pieceOf = (version: number, index: number) => Buffer.from(`piece ${index} of ${version}`.padEnd(32));

function manifestOf(version: number): PieceManifest {
  const digests = Array.from({ length: PIECES }, (_, index) => digestOf(pieceOf(version, index)));
  return { model: 'm', version, pieceBytes: 32, digests };
}

function completeWeights(version: number): HeldWeights {
  const held = new HeldWeights(manifestOf(version));
  for (let index = 0; index < PIECES; index++) held.add(index, pieceOf(version, index));
  return held;
}

/** An engine that loses everything when it restarts. */
class RestartingEngine implements StagedEngine {
  currentStart = 100;
  layers: EngineState['layers'];
  load = 0;
  sequence = 0;
  stagePuts = 0;
  readonly stagedPieces = new Map<number, Buffer>();
  /** Each order, with the start that accepted or refused it. */
  readonly orders: Array<{ start: number; version: number; isComplete: boolean }> = [];

  restart(): void {
    this.currentStart += 100;
    this.layers = undefined;
    this.load = 0;
    this.sequence = 0;
    this.stagedPieces.clear();
  }

  async state() {
    const { currentStart: start, layers, load, sequence } = this;
    return success({ start, model: 'm', layers, isBusy: false, load, sequence });
  }

  async stage(_model: string, index: number, bytes: Buffer) {
    this.stagePuts++;
    this.stagedPieces.set(index, bytes);
    return success(undefined);
  }

  async staged(_model: string, index: number) {
    return success(this.stagedPieces.get(index));
  }

  async start({ version, expectedSequence }: StartOrder) {
    const pieces = Array.from({ length: PIECES }, (_, index) => index);
    const isComplete = pieces.every((index) => this.stagedPieces.get(index)?.equals(pieceOf(version, index)));
    this.orders.push({ start: this.currentStart, version, isComplete });
    if (expectedSequence !== this.sequence)
      return success({ type: 'refused', status: 409, isFinal: false } as const);
    this.sequence++;
    this.layers = { from: 0, end: LAYERS, version };
    return success({ type: 'taken' } as const);
  }
}

const signal = () => AbortSignal.timeout(10_000);

describe('the stage', () => {
  it('is filled again after the engine has restarted, also while it was being filled', async () => {
    const engine = new RestartingEngine();
    const stage = new EngineStage(engine, silentLog);
    const held = completeWeights(1);
    await stage.fill(held, signal());
    await stage.fill(held, signal());
    expect(engine.stagePuts).toBe(PIECES);
    stage.invalidate();
    await stage.fill(held, signal());
    expect(engine.stagePuts).toBe(2 * PIECES);
    stage.invalidate();
    const laying = stage.fill(held, signal());
    stage.invalidate();
    await laying;
    await stage.fill(held, signal());
    expect(engine.stagePuts).toBe(4 * PIECES);
  });
});

const switchOf = (engine: StagedEngine, stage: EngineStage) =>
  new EngineSwitch({
    engine,
    stage,
    onState: () => {},
    onEnding: () => {},
    onChange: () => {},
    log: silentLog,
  });

describe('an order', () => {
  it('is not sent to an engine that has restarted since its stage was read, even if the count of orders matches', async () => {
    const engine = new RestartingEngine();
    const stage = new EngineStage(engine, silentLog);
    const engineSwitch = switchOf(engine, stage);
    const { value: state } = await engine.state();
    const held = completeWeights(1);
    await stage.fill(held, signal());
    engine.restart();
    const ending = await engineSwitch.run(
      { held, state, served: 0, proofs: new LayerProofs(LAYERS), isWanted: () => true },
      signal(),
    );
    expect(ending).toBe('restarted');
    expect(engine.orders).toEqual([]);
    expect(engineSwitch.isRunning).toBe(false);
  });

  it('is no longer awaited once the engine that accepted it has restarted', async () => {
    const engine = new RestartingEngine();
    const stage = new EngineStage(engine, silentLog);
    const engineSwitch = switchOf(engine, stage);
    const { value: state } = await engine.state();
    const held = completeWeights(1);
    await stage.fill(held, signal());
    let isBusy = false;
    engine.state = async () => {
      const { value } = await RestartingEngine.prototype.state.call(engine);
      return success({ ...value, isBusy });
    };
    engine.start = async () => {
      isBusy = true;
      return success({ type: 'taken' } as const);
    };
    const order = { held, state, served: 0, proofs: new LayerProofs(LAYERS), isWanted: () => true };
    const running = engineSwitch.run(order, new AbortController().signal);
    await until(() => isBusy, 'the order');
    // The next start is busy too, with an order from another process.
    engine.restart();
    await running;
    expect(engineSwitch.isRunning).toBe(false);
  });
});

describe('the start of the engine that answers', () => {
  it('is that of the call that began last, or the later start if calls overlap', () => {
    const starts = new EngineStarts();
    expect(starts.noteAnswer(100, 0, 10)).toBe('same');
    // Requested before the answer above arrived.
    expect(starts.noteAnswer(50, 5, 20)).toBe('older');
    expect(starts.noteAnswer(200, 15, 30)).toBe('newer');
    expect(starts.noteAnswer(100, 25, 40)).toBe('older');
    expect(starts.current).toBe(200);
    // The clock stepped back: requested after the answer of the previous start.
    expect(starts.noteAnswer(150, 50, 60)).toBe('newer');
    expect(starts.noteAnswer(200, 55, 70)).toBe('older');
    expect(starts.noteAnswer(undefined, 80, 90)).toBe('same');
    expect(starts.current).toBe(150);
    expect(starts.previous).toBe(200);
  });
});

async function storedWeights(version: number): Promise<MemoryStore> {
  const objects = new MemoryStore();
  const manifest = Buffer.from(JSON.stringify(manifestOf(version)));
  await objects.put(storedManifestKey(manifestOf(version)), manifest, signal());
  for (const { key, pieces } of partsOf(manifestOf(version))) {
    const bytes = Buffer.concat(pieces.map((index) => pieceOf(version, index)));
    await objects.put(key, bytes, signal());
  }
  return objects;
}

describe('the loader next to an engine that restarts', () => {
  const origin: PieceOrigin = {
    manifest: async ({ version }) => success(manifestOf(version)),
    piece: async ({ version }, index) => success(pieceOf(version, index)),
  };
  let loader: EngineLoader | undefined;

  afterEach(async () => {
    await loader?.stop();
  });

  function plan(version: number): WeightsPlan {
    return {
      versions: [{ model: 'm', version, notBefore: performance.now() - 1_000_000 }],
      storeTime: performance.now(),
      bound: 8_000,
      origin: 'origin',
      layers: LAYERS,
      position: 0,
      canMoveRequests: false,
      holders: [],
      entries: [],
      hasNearEntry: false,
    };
  }

  async function load(
    engine: StagedEngine,
    reports: EngineReport[],
    observed: ObservedEngine[] = [],
    log: Log = silentLog,
  ) {
    loader = new EngineLoader({
      engine,
      engineAddress: 'engine',
      address: 'agent',
      slotAddress: 'slots',
      zone: 'zone-a',
      onEngineState: (state) => {
        if (state !== undefined) observed.push(state);
      },
      library: new WeightsLibrary(),
      objects: await storedWeights(1),
      originAt: () => origin,
      sendReport: (report) => reports.push(report),
      random: seededRandom(5),
      log,
    });
    await loader.start();
    loader.applyPlan(plan(1));
  }

  it('reports the new start at once, fills the stage again and repeats the order', async () => {
    const engine = new RestartingEngine();
    const reports: EngineReport[] = [];
    const observed: ObservedEngine[] = [];
    const logged: string[] = [];
    await load(engine, reports, observed, { ...silentLog, info: (message) => void logged.push(message) });
    await until(() => reports.at(-1)?.version === 1, 'the version');
    expect(reports.at(-1)?.start).toBe(100);
    engine.restart();
    await until(() => reports.at(-1)?.start === 200, 'the new start');
    const first = reports.find(({ start }) => start === 200)!;
    expect(first).toMatchObject({ version: 0, load: 0, follows: 100 });
    await until(() => reports.at(-1)?.version === 1, 'the version at the new start');
    expect(engine.orders).toEqual([
      { start: 100, version: 1, isComplete: true },
      { start: 200, version: 1, isComplete: true },
    ]);
    expect(engine.stagePuts).toBe(2 * PIECES);
    // The stage was filled as an empty one, rather than found corrupt piece by piece.
    expect(logged).not.toContain('staged piece was bad');
    expect(observed.some(({ start, isServing }) => start === 200 && isServing)).toBe(true);
  });

  it('tells that the engine is cold for the declared time from each start', async () => {
    const engine = new RestartingEngine();
    const reports: EngineReport[] = [];
    const observed: ObservedEngine[] = [];
    const warmUp = { rate: 15, time: 700 };
    await load(engine, reports, observed);
    loader!.applyPlan({ ...plan(1), warmUp });
    const isCold = () => observed.at(-1)?.cold?.rate === warmUp.rate && reports.at(-1)!.coldLeft! > 0;
    await until(isCold, 'the first start');
    await until(() => !isCold() && observed.at(-1)?.cold === undefined, 'the end of its time');
    // An entry that knows no configuration yet does not take back what another one has declared.
    loader!.applyPlan({ ...plan(1), warmUp: undefined });
    engine.restart();
    await until(isCold, 'the next start');
    expect(observed.at(-1)?.start).toBe(200);
  });

  it('treats an engine that does not answer as unreachable, not as restarted', async () => {
    const engine = new RestartingEngine();
    const reports: EngineReport[] = [];
    await load(engine, reports);
    await until(() => reports.at(-1)?.version === 1, 'the version');
    engine.state = async () => failure({ type: 'engineUnreachable', reason: 'away' }) as never;
    await until(() => reports.at(-1)?.isReached === false, 'the loss');
    expect(reports.at(-1)?.start).toBe(100);
  });
});
