/** Tests whether the estimated end of an outage is considered reliable. */
import { describe, expect, it } from 'vitest';
import { CapacityForecast } from '../../src/systems/capacity-forecast.js';

describe('the estimated end of an outage', () => {
  it('is reliable while it stays within a few tenths of a second', () => {
    const forecast = new CapacityForecast();
    const estimates = [4_000, 4_700, 4_400, 4_600, 4_300];
    expect(estimates.map((expectedAt, index) => forecast.note(expectedAt, index * 200))).toEqual(
      estimates.map(() => true),
    );
  });

  it('is unreliable once it has been postponed, until the outage is over', () => {
    const forecast = new CapacityForecast();
    const isReliable = (now: number) => forecast.note(now + 1_500, now);
    expect([0, 300, 600, 900].map(isReliable)).toEqual([true, true, true, true]);
    expect([1_200, 1_500, 1_800].map(isReliable)).toEqual([false, false, false]);
    expect(isReliable(9_000)).toBe(true);
  });

  it('is reliable if no end could be estimated before', () => {
    const forecast = new CapacityForecast();
    expect(forecast.note(Number.POSITIVE_INFINITY, 0)).toBe(false);
    expect(forecast.note(3_000, 200)).toBe(true);
  });
});
