/** The rate of reports and pings among entries, which stays bounded for any number of entries. */
import { describe, expect, it } from 'vitest';
import { pingDelay, reportInterval, reportLifetime, silenceLimit } from '../../src/peers/report-rate.js';

const SECOND = 1_000;

/** Reports that one entry sends per second if a third of the others are in its zone. */
function reportsASecond(peerCount: number): number {
  const near = Math.floor(peerCount / 3);
  const far = peerCount - near;
  return (
    (near * SECOND) / reportInterval(true, peerCount) + (far * SECOND) / reportInterval(false, peerCount)
  );
}

describe('reports', () => {
  it.each([6, 34, 100, 400])('of %i entries stay below 45 per second and entry', (entryCount) => {
    expect(reportsASecond(entryCount - 1)).toBeLessThan(45);
  });

  it('have the shortest interval among few entries', () => {
    expect(reportInterval(true, 5)).toBe(150);
    expect(reportInterval(false, 5)).toBe(450);
  });

  it.each([6, 34, 400])('of %i entries may be missed twice before an entry counts as lost', (entryCount) => {
    for (const isNear of [true, false])
      expect(reportLifetime(isNear, entryCount - 1)).toBeGreaterThanOrEqual(
        3 * reportInterval(isNear, entryCount - 1),
      );
  });

  it.each([6, 34, 42, 100, 400])('of %i entries make pings between them unnecessary', (entryCount) => {
    for (const isNear of [true, false])
      expect(pingDelay(isNear, entryCount - 1)).toBeGreaterThan(1.1 * reportInterval(isNear, entryCount - 1));
  });

  it.each([
    [8, 2_300],
    [42, 2_300],
    [100, 3_300],
  ])('of %i entries in one zone: a silent entry is detected after at most %i ms', (entryCount, limit) => {
    expect(silenceLimit(true, entryCount - 1)).toBeLessThanOrEqual(limit);
  });

  it.each([8, 42, 100, 400])(
    'of %i entries: an entry counts as silent only after a ping could have been answered',
    (entryCount) => {
      // Whether a ping is due is checked once per second.
      for (const isNear of [true, false])
        expect(silenceLimit(isNear, entryCount - 1)).toBeGreaterThan(
          pingDelay(isNear, entryCount - 1) + 1_300,
        );
    },
  );
});
