/**
 * Replays prompts whose sizes spread widely, in bursts and a start that find most slots free, at engines that are slow now and
 * then. An engine must not be granted more than it reads in time while others have room.
 */
import { describe, expect, it } from 'vitest';
import type { PlacementSiteName } from '../../bench/simulation/placement-loads.js';
import { type PlacementReport, simulatePlacement } from '../../bench/simulation/placement-simulation.js';

const SEEDS = [1, 2, 3];
const SIMULATION_TIMEOUT = 120_000;
/** Least share served of the largest tenth of a kind, divided by that of the kind. */
const LARGEST_SHARE = 0.7;

function playBursts(site: PlacementSiteName, load: number, seed: number, isLimitedByWork = true) {
  return simulatePlacement({ policy: 'slots', site, shape: 'unevenBursts', load, seed, isLimitedByWork });
}

function expectLargestServed({ kinds }: PlacementReport): void {
  for (const { largestTenth } of kinds) expect(largestTenth).toBeGreaterThanOrEqual(LARGEST_SHARE);
}

describe.each(SEEDS)('uneven load, seed %i', { timeout: SIMULATION_TIMEOUT }, (seed) => {
  it('is in time at most engines and of all sizes in bursts that the engines have room for', () => {
    const report = playBursts('uneven', 1.5, seed);
    expect(report.inTime).toBeGreaterThan(0.905);
    expect(report.worstTenthInTime).toBeGreaterThan(0.85);
    expect(report.worstEngineInTime).toBeGreaterThan(0.68);
    expectLargestServed(report);
  });

  it('is in time as far as it can be in larger bursts', () => {
    const report = playBursts('threeRanks', 2.5, seed);
    expect(report.credit).toBeGreaterThan(0.86);
    expect(report.worstTenthInTime).toBeGreaterThan(0.74);
    expectLargestServed(report);
  });

  it('is served of all sizes as a load begins where all slots are free', () => {
    const report = simulatePlacement({
      policy: 'slots',
      site: 'uneven',
      shape: 'unevenStart',
      load: 1,
      seed,
    });
    expect(report.credit).toBeGreaterThan(0.7);
    expectLargestServed(report);
  });

  it('is late more often where agents count requests only', () => {
    expect(playBursts('uneven', 1.5, seed, false).inTime).toBeLessThan(0.89);
    expect(playBursts('threeRanks', 2.5, seed, false).credit).toBeLessThan(0.855);
  });
});
