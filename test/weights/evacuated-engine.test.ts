/** The agent of an evacuated zone grants no slots of its engine, and goes on loading versions. */
import { afterEach, beforeEach, describe, expect, it } from 'vitest';
import { MemoryStore } from '../../emulator/store/memory-store.js';
import { seededRandom } from '../../src/model/random.js';
import { silentLog } from '../../src/observability/log.js';
import type { EngineReport, WeightsPlan, ZoneEvacuation } from '../../src/protocol/reports.js';
import type { ObservedEngine } from '../../src/systems/slot-table.js';
import { EngineLoader } from '../../src/weights/engine-loader.js';
import { WeightsLibrary } from '../../src/weights/held-weights.js';
import { StorePlanReader } from '../../src/weights/store-plan-reader.js';
import { textRecordDecoder as decoder } from '../fleet/text-records.js';
import { until } from '../support.js';
import { FakeEngine, LAYERS, objectsWith, unavailableOrigin } from './fake-engine.js';

const ZONE = 'zone-a';

let engine: FakeEngine;
let loader: EngineLoader;
let observed: ObservedEngine | undefined;
let lastReport: EngineReport | undefined;

const isServing = () => observed?.isServing === true;
const changeAt = (revision: number, isEvacuated: boolean): ZoneEvacuation => ({
  zone: ZONE,
  revision,
  isEvacuated,
});

function planOf(evacuation: ZoneEvacuation | undefined, version = 1): WeightsPlan {
  return {
    // Engines switch some seconds after the naming.
    versions: [{ model: 'm', version, notBefore: performance.now() - 7_500 }],
    storeTime: performance.now(),
    bound: 8_000,
    origin: '',
    layers: LAYERS,
    position: 0,
    canMoveRequests: false,
    holders: [],
    entries: [],
    hasNearEntry: false,
    ...(evacuation === undefined ? {} : { evacuation }),
  };
}

beforeEach(async () => {
  observed = undefined;
  lastReport = undefined;
  engine = new FakeEngine();
  loader = new EngineLoader({
    engine,
    engineAddress: 'engine',
    address: 'agent',
    slotAddress: 'slots',
    zone: ZONE,
    onEngineState: (state) => {
      observed = state;
    },
    library: new WeightsLibrary(),
    objects: await objectsWith(2),
    originAt: () => unavailableOrigin,
    sendReport: (report) => {
      lastReport = report;
    },
    random: seededRandom(5),
    log: silentLog,
  });
  await loader.start();
});

afterEach(() => loader.stop());

describe('an agent', () => {
  it('grants slots until a plan evacuates its zone, and again once a later one takes it back', async () => {
    loader.applyPlan(planOf(undefined));
    await until(isServing, 'the engine to serve');
    loader.applyPlan(planOf(changeAt(5, true)));
    expect(isServing()).toBe(false);
    loader.applyPlan(planOf(undefined));
    loader.applyPlan(planOf(changeAt(4, false)));
    expect(isServing()).toBe(false);
    loader.applyPlan(planOf(changeAt(6, false)));
    expect(isServing()).toBe(true);
  });

  it('is not concerned by the evacuation of another zone', async () => {
    loader.applyPlan(planOf({ ...changeAt(5, true), zone: 'zone-b' }));
    await until(isServing, 'the engine to serve');
  });

  it('loads a version while its zone is evacuated, and grants nothing after', async () => {
    loader.applyPlan(planOf(changeAt(5, true), 2));
    await until(() => lastReport?.version === 2 && !lastReport.isSwitching, 'the version');
    expect(isServing()).toBe(false);
    loader.applyPlan(planOf(changeAt(6, false), 2));
    await until(isServing, 'the engine to serve');
  });

  it('without an entry, reads from the store that its zone is evacuated', async () => {
    const tables = new MemoryStore();
    tables.write('operator', 'configuration', '1');
    tables.write('operator', 'm', '1');
    tables.write('operator', `evacuate/${ZONE}`, '{}');
    const reader = new StorePlanReader({
      tables,
      decoder,
      zone: ZONE,
      versionBound: 8_000,
      loader,
      log: silentLog,
    });
    await reader.start();
    await until(() => observed?.isServing !== undefined, 'the plan');
    expect(isServing()).toBe(false);
    // An entry that has started since knows only that the table does not list the zone.
    loader.applyPlan({ ...planOf(changeAt(tables.revision + 1, false)), layers: 0 });
    await until(isServing, 'the engine to serve');
    await reader.stop();
  });
});
