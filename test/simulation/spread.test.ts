/** Simulates a version that the first entry of a zone has received and that all other entries request from it. */
import { describe, expect, it } from 'vitest';
import { type SpreadInit, simulateSpread } from '../../bench/simulation/spread-simulation.js';

/** Ten entries with the lowest link bandwidth in the users' deployments, 28 Mbit/s. */
const ZONE: Omit<SpreadInit, 'policy' | 'seed'> = {
  entries: 10,
  pieces: 48,
  pieceBytes: 49_152,
  batch: 12,
  linkRate: 3_500,
  ends: 15_000,
};
const SEEDS = [1, 2, 3];

describe('the distribution of a version over the entries of a zone', () => {
  it.each(SEEDS)('completes in less than the time of four copies over one link: seed %i', (seed) => {
    const { wholeAt, givenUp } = simulateSpread({ ...ZONE, policy: 'limited', seed });
    const copyTime = (ZONE.pieces * ZONE.pieceBytes) / ZONE.linkRate;
    expect(wholeAt).toBeLessThan(4 * copyTime);
    expect(givenUp).toBe(0);
  });

  it.each(SEEDS)('does not complete if the first entry serves every request: seed %i', (seed) => {
    const { wholeAt, givenUp } = simulateSpread({ ...ZONE, policy: 'unlimited', seed });
    expect(wholeAt).toBeUndefined();
    expect(givenUp).toBeGreaterThan(50);
  });

  it.each([4, 7, 14])('completes quickly for %i entries', (entries) => {
    const { wholeAt } = simulateSpread({ ...ZONE, entries, policy: 'limited', seed: 1 });
    expect(wholeAt).toBeLessThan(2_600);
  });
});
