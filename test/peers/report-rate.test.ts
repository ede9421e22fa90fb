/** What entries tell one another stays in bounds however many there are. */
import { describe, expect, it } from 'vitest';
import { reportInterval, reportLife, signRarity } from '../../src/peers/report-rate.js';

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
      expect(reportLife(isNear, entryCount - 1)).toBeGreaterThanOrEqual(
        3 * reportInterval(isNear, entryCount - 1),
      );
  });

  it.each([
    [8, 1],
    [42, 1],
    [100, 1.98],
    [400, 2],
  ])('of %i have signs of life that are rarer by %f', (entryCount, rarity) => {
    expect(signRarity(entryCount - 1)).toBeCloseTo(rarity);
  });
});
