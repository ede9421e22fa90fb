/**
 * Replays loads that last longer than callers wait, at engines that do less than is asked, in virtual time: kinds of three
 * ranks, 24 tenants of very different size, prompts and answers of very different length.
 */
import { describe, expect, it } from 'vitest';
import type { LoadShapeName, PlacementSiteName } from '../../bench/simulation/placement-loads.js';
import {
  type PlacementPolicy,
  type PlacementReport,
  simulatePlacement,
} from '../../bench/simulation/placement-simulation.js';

/** Timeout of two simulations, in milliseconds. It is far above what they need, as they depend on processor time only. */
const SIMULATION_TIMEOUT = 120_000;
/** Credit that may be lost against one queue that knows everything, under the same floors. */
const CREDIT_LOSS = 0.03;
/** Service of a kind or a tenant, as a share of the service that all get. */
const FLOOR = 0.25;
/** Service of the largest tenth of a kind, and of the fifth below it, as a share of the service of their kind. */
const SIZE_FLOOR = 0.5;
/** Share of the served requests that are in time. */
const IN_TIME = 0.9;
/** A quarter of the shortest objective, in milliseconds: what is refused, is refused within this time. */
const EARLY = 100;

type Load = [site: PlacementSiteName, shape: LoadShapeName, load: number];
/** Loads that last for 15 s. */
const STEPS: Load[] = [
  ['threeRanks', 'step', 1],
  ['threeRanks', 'step', 1.3],
  ['threeRanks', 'step', 1.7],
  ['uneven', 'step', 1],
  ['uneven', 'step', 1.3],
  ['uneven', 'step', 1.7],
];
/** A burst of 3 s, a tenant with half of the requests, and engines that are slow for 6 s. */
const OTHERS: Load[] = [
  ['threeRanks', 'burst', 1.7],
  ['uneven', 'largeTenant', 1.3],
  ['uneven', 'slowEngines', 1],
];

/** Reports of simulations that several tests look at. */
const reports = new Map<string, PlacementReport>();

function reportOf(
  policy: PlacementPolicy,
  site: PlacementSiteName,
  shape: LoadShapeName,
  load: number,
): PlacementReport {
  const name = `${policy} ${site} ${shape} ${load}`;
  const report = reports.get(name) ?? simulatePlacement({ policy, site, shape, load, seed: 1 });
  reports.set(name, report);
  return report;
}

describe.each(STEPS)('a load that lasts: %s, %s of %f', { timeout: SIMULATION_TIMEOUT }, (...load) => {
  it('is worth nearly as much as with one queue that knows everything', () => {
    const bound = reportOf('central', ...load).credit;
    expect(reportOf('slots', ...load).credit).toBeGreaterThan(bound - CREDIT_LOSS);
  });
});

describe.each([...STEPS, ...OTHERS])('%s, %s of %f', { timeout: SIMULATION_TIMEOUT }, (...load) => {
  it('starves no kind and no tenant', () => {
    const { kinds, worstTenant } = reportOf('slots', ...load);
    expect(Math.min(...kinds.map(({ ofAll }) => ofAll))).toBeGreaterThanOrEqual(FLOOR);
    expect(worstTenant).toBeGreaterThanOrEqual(FLOOR);
  });

  it('starves no size', () => {
    const { kinds } = reportOf('slots', ...load);
    const ofSizes = kinds.flatMap(({ largestTenth, fifthBelow }) => [largestTenth, fifthBelow]);
    expect(Math.min(...ofSizes)).toBeGreaterThanOrEqual(SIZE_FLOOR);
  });

  it('refuses early what it refuses', () => {
    expect(reportOf('slots', ...load).refusedAfterP50).toBeLessThan(EARLY);
  });
});

describe.each<PlacementSiteName>(['threeRanks', 'uneven'])('a lasting load of 1.3, %s', (site) => {
  it('is served in time as far as it is served', { timeout: SIMULATION_TIMEOUT }, () => {
    expect(reportOf('slots', site, 'step', 1.3).inTimeOfServed).toBeGreaterThanOrEqual(IN_TIME);
  });
});
