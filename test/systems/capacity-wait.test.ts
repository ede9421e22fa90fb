/** Tests when requests that arrive while no back end serves wait, and when their callers are told to retry. */
import { describe, expect, it } from 'vitest';
import { type CallerTime, latestStart, shouldWaitForCapacity } from '../../src/systems/capacity-wait.js';

const ARRIVED = 50_000;
const PATIENCE = 2_400;
const first: CallerTime = {
  arrivedAt: ARRIVED,
  endsAt: ARRIVED + 6_000,
  patience: PATIENCE,
  isRetry: false,
};
const again: CallerTime = { ...first, endsAt: ARRIVED + 4_000, isRetry: true };

describe('a request while no back end serves', () => {
  it('may start until its caller would leave or could no longer receive the whole answer', () => {
    expect(latestStart(ARRIVED, ARRIVED + 6_000, PATIENCE)).toBe(ARRIVED + 1_700);
    expect(latestStart(ARRIVED, ARRIVED + 2_500, PATIENCE)).toBe(ARRIVED + 1_300);
  });

  it.each([500, 1_900, 3_600])('is told to retry if that reaches capacity in %i ms', (capacityIn) => {
    expect(shouldWaitForCapacity(first, ARRIVED, ARRIVED + capacityIn)).toBe(false);
  });

  it.each([3_900, 4_700])('waits first if only that reaches capacity in %i ms', (capacityIn) => {
    const capacityAt = ARRIVED + capacityIn;
    expect(shouldWaitForCapacity(first, ARRIVED, capacityAt)).toBe(true);
    const heldUntil = latestStart(ARRIVED, first.endsAt, PATIENCE);
    expect(shouldWaitForCapacity(first, heldUntil, capacityAt)).toBe(false);
  });

  it('is told to retry as soon as that reaches capacity', () => {
    const capacityAt = ARRIVED + 4_200;
    const refusedAt = [...Array(1_700).keys()].find(
      (held) => !shouldWaitForCapacity(first, ARRIVED + held, capacityAt),
    );
    // The caller retries after a third of the remaining time, and the retry is held for 1.7 s.
    const backAt = refusedAt! + (6_000 - refusedAt!) / 3;
    expect(backAt + 1_700).toBeGreaterThanOrEqual(4_200);
    expect(backAt + 1_700).toBeLessThan(4_205);
  });

  it.each([5_500, Number.POSITIVE_INFINITY])(
    'is refused immediately if it cannot reach capacity in %f ms either way',
    (capacityIn) => {
      expect(shouldWaitForCapacity(first, ARRIVED, ARRIVED + capacityIn)).toBe(false);
    },
  );

  it('that is a retry waits for capacity that it can reach, and no longer', () => {
    expect(shouldWaitForCapacity(again, ARRIVED, ARRIVED + 1_600)).toBe(true);
    expect(shouldWaitForCapacity(again, ARRIVED, ARRIVED + 2_100)).toBe(false);
    expect(shouldWaitForCapacity(again, ARRIVED + 1_700, ARRIVED + 1_800)).toBe(false);
  });

  it('that is a retry waits for capacity expected slightly too late, as it may be available earlier', () => {
    expect(shouldWaitForCapacity(again, ARRIVED, ARRIVED + 1_900)).toBe(true);
  });
});
