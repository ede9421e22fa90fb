/** What entries tell one another stays in bounds however many there are. */
import { describe, expect, it } from 'vitest';
import { pingDelay, reportInterval, reportLifetime, silenceLimit } from '../../src/peers/report-rate.js';

const SECOND = 1_000;

/** Reports that one entry sends a second where a third of the others are in its zone. */
function reportsASecond(peerCount: number): number {
  const near = Math.floor(peerCount / 3);
  const far = peerCount - near;
  return (
    (near * SECOND) / reportInterval(true, peerCount) + (far * SECOND) / reportInterval(false, peerCount)
  );
}

describe('reports among entries', () => {
  it.each([6, 34, 100, 400])('of %i stay under 45 a second for each of them', (entryCount) => {
    expect(reportsASecond(entryCount - 1)).toBeLessThan(45);
  });

  it('are as frequent as ever where there are few', () => {
    expect(reportInterval(true, 5)).toBe(150);
    expect(reportInterval(false, 5)).toBe(450);
  });

  it.each([6, 34, 400])('of %i may be missed twice before an entry is taken for dead', (entryCount) => {
    for (const isNear of [true, false])
      expect(reportLifetime(isNear, entryCount - 1)).toBeGreaterThanOrEqual(
        3 * reportInterval(isNear, entryCount - 1),
      );
  });

  it.each([6, 34, 42, 100, 400])('of %i are signs of life: none is asked for between them', (entryCount) => {
    for (const isNear of [true, false])
      expect(pingDelay(isNear, entryCount - 1)).toBeGreaterThan(1.1 * reportInterval(isNear, entryCount - 1));
  });

  it.each([
    [8, 2_300],
    [42, 2_300],
    [100, 3_300],
  ])('of %i in one zone are missed after %i ms of silence at the latest', (entryCount, limit) => {
    expect(silenceLimit(true, entryCount - 1)).toBeLessThanOrEqual(limit);
  });

  it.each([8, 42, 100, 400])(
    'of %i are missed once a sign of life was asked for and not given',
    (entryCount) => {
      // Who is to be asked is looked at once a second.
      for (const isNear of [true, false])
        expect(silenceLimit(isNear, entryCount - 1)).toBeGreaterThan(
          pingDelay(isNear, entryCount - 1) + 1_300,
        );
    },
  );
});
