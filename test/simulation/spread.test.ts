/** The load of a version that has come to the first entry of a zone, and that all others want from there. */
import { describe, expect, it } from 'vitest';
import { type SpreadInit, simulateSpread } from '../../bench/simulation/spread-simulation.js';

/** Ten entries with the narrowest links that the users have, 28 Mbit/s. */
const ZONE: Omit<SpreadInit, 'policy' | 'seed'> = {
  entries: 10,
  pieces: 48,
  pieceBytes: 49_152,
  batch: 12,
  linkRate: 3_500,
  ends: 15_000,
};
const SEEDS = [1, 2, 3];

describe('a version that spreads over the entries of a zone', () => {
  it.each(SEEDS)('is with all of them in less than four copies over one link: seed %i', (seed) => {
    const { wholeAt, givenUp } = simulateSpread({ ...ZONE, policy: 'limited', seed });
    const copyTime = (ZONE.pieces * ZONE.pieceBytes) / ZONE.linkRate;
    expect(wholeAt).toBeLessThan(4 * copyTime);
    expect(givenUp).toBe(0);
  });

  it.each(SEEDS)('comes to a standstill where the first serves whoever asks: seed %i', (seed) => {
    const { wholeAt, givenUp } = simulateSpread({ ...ZONE, policy: 'unlimited', seed });
    expect(wholeAt).toBeUndefined();
    expect(givenUp).toBeGreaterThan(50);
  });

  it.each([4, 7, 14])('is with all %i of them soon, however many they are', (entries) => {
    const { wholeAt } = simulateSpread({ ...ZONE, entries, policy: 'limited', seed: 1 });
    expect(wholeAt).toBeLessThan(2_600);
  });
});
