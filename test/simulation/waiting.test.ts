/**
 * Replays loads beyond what the engines do, through the modules by which entries let requests wait, refuse them and tell
 * callers when to come back. Requests that can be in time must not wait behind others, and urgent ones must be served.
 */
import { describe, expect, it } from 'vitest';
import type { LoadShapeName, PlacementSiteName } from '../../bench/simulation/placement-loads.js';
import { type PlacementReport, simulatePlacement } from '../../bench/simulation/placement-simulation.js';

const SEEDS = [1, 2];
const SIMULATION_TIMEOUT = 120_000;

function play(site: PlacementSiteName, shape: LoadShapeName, load: number, seed: number): PlacementReport {
  return simulatePlacement({ policy: 'slots', site, shape, load, seed });
}

describe.each(SEEDS)('callers, seed %i', { timeout: SIMULATION_TIMEOUT }, (seed) => {
  it('of the most urgent kind are in time under a load of 1.3 that lasts', () => {
    const report = play('threeRanks', 'step', 1.3, seed);
    expect(report.kinds[0].inTime).toBeGreaterThan(0.95);
    expect(report.credit).toBeGreaterThan(0.65);
    expect(report.inTimeOfServed).toBeGreaterThanOrEqual(0.9);
  });

  it('of the most urgent kind are in time in a burst of 1.7 for 3 s', () => {
    const report = play('threeRanks', 'burst', 1.7, seed);
    expect(report.kinds[0].inTime).toBeGreaterThan(0.95);
    expect(report.credit).toBeGreaterThan(0.65);
  });

  it('are mostly served if all callers of 3 s come at once, the urgent ones first', () => {
    const { kinds, credit } = play('threeRanks', 'herd', 7.5, seed);
    const { inTime, inTimeOnReturn, late } = kinds[0];
    expect(inTime + inTimeOnReturn + late).toBeGreaterThan(0.9);
    expect(credit).toBeGreaterThan(0.48);
  });

  it('of the most urgent kind are in time while engines are 2.5 times slower', () => {
    const report = play('uneven', 'slowEngines', 1, seed);
    expect(report.kinds[0].inTime).toBeGreaterThan(0.9);
    expect(report.credit).toBeGreaterThan(0.57);
  });
});
