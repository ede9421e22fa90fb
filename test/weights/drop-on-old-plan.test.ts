/**
 * Guards against an engine being ordered to drop its running requests because of a plan that is no longer
 * current: the spare capacity that it was based on may be gone.
 */
import { expect, it } from 'vitest';
import { seededRandom } from '../../src/model/random.js';
import { silentLog } from '../../src/observability/log.js';
import type { WeightsPlan } from '../../src/protocol/reports.js';
import { EngineLoader } from '../../src/weights/engine-loader.js';
import { WeightsLibrary } from '../../src/weights/held-weights.js';
import { until } from '../support.js';
import { FakeEngine, LAYERS, objectsWith, unavailableOrigin } from './fake-engine.js';

/** Every engine switches at the latest this long after the naming, in milliseconds. */
const LATEST_SWITCH = 6_400;
/**
 * Age of the plan when the order is due, in milliseconds. Entries send plans every 0.7 s: one this old says
 * nothing about the spare capacity of other engines.
 */
const PLAN_AGE = 2_500;

it('running requests are not dropped on the basis of a plan that is several seconds old', async () => {
  const engine = new FakeEngine();
  const loader = new EngineLoader({
    engine,
    engineAddress: 'engine',
    address: 'agent',
    slotAddress: 'slots',
    zone: 'zone-a',
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
