/** Tests when requests that arrive while no back end serves wait, and when their callers are told to retry. */
import { describe, expect, it } from 'vitest';
import {
  type CallerTime,
  latestStart,
  returnsInTime,
  shouldWaitForCapacity,
} from '../../src/systems/capacity-wait.js';

const ARRIVED = 50_000;
const PATIENCE = 2_400;
const first: CallerTime = {
  arrivedAt: ARRIVED,
  endsAt: ARRIVED + 6_000,
  patience: PATIENCE,
};
/** A caller that has less time left, for whatever reason. */
const short: CallerTime = { ...first, endsAt: ARRIVED + 4_000 };

describe('a request while no back end serves', () => {
  it('may start until its caller would leave or could no longer receive the whole answer', () => {
    expect(latestStart(ARRIVED, ARRIVED + 6_000, PATIENCE)).toBe(ARRIVED + 1_700);
    expect(latestStart(ARRIVED, ARRIVED + 2_500, PATIENCE)).toBe(ARRIVED + 1_300);
  });

  it.each([300, 500, 1_600])(
    'waits for capacity in %i ms, whatever time its caller has left',
    (capacityIn) => {
      expect(shouldWaitForCapacity(first, ARRIVED, ARRIVED + capacityIn)).toBe(true);
      expect(shouldWaitForCapacity(short, ARRIVED, ARRIVED + capacityIn)).toBe(true);
    },
  );

  it('is told to retry as soon as its caller then comes after the capacity is there', () => {
    const capacityAt = ARRIVED + 2_100;
    const refusedAt = [...Array(1_700).keys()].find(
      (held) => !shouldWaitForCapacity(first, ARRIVED + held, capacityAt),
    );
    const backAt = refusedAt! + (6_000 - refusedAt!) / 3;
    expect(backAt).toBeGreaterThanOrEqual(2_100 + 800);
    expect(backAt).toBeLessThan(2_100 + 805);
  });

  it('may come back for capacity that a caller reaches by the delay that it honours', () => {
    expect(returnsInTime(first, ARRIVED, ARRIVED + 1_200)).toBe(true);
    expect(returnsInTime(first, ARRIVED, ARRIVED + 1_300)).toBe(false);
    expect(returnsInTime(short, ARRIVED, ARRIVED + 1_200)).toBe(false);
  });

  it.each([3_900, 4_700])('waits first if only that reaches capacity in %i ms', (capacityIn) => {
    const capacityAt = ARRIVED + capacityIn;
    expect(shouldWaitForCapacity(first, ARRIVED, capacityAt)).toBe(true);
    const heldUntil = latestStart(ARRIVED, first.endsAt, PATIENCE);
    expect(shouldWaitForCapacity(first, heldUntil, capacityAt)).toBe(false);
  });

  it.each([5_500, Number.POSITIVE_INFINITY])(
    'is refused immediately if it cannot reach capacity in %f ms either way',
    (capacityIn) => {
      expect(shouldWaitForCapacity(first, ARRIVED, ARRIVED + capacityIn)).toBe(false);
    },
  );

  it('waits for capacity that it can reach, and no longer than its caller', () => {
    expect(shouldWaitForCapacity(short, ARRIVED, ARRIVED + 3_200)).toBe(false);
    expect(shouldWaitForCapacity(short, ARRIVED + 1_700, ARRIVED + 1_800)).toBe(false);
  });

  it('waits for capacity expected slightly too late, as it may be available earlier', () => {
    expect(shouldWaitForCapacity({ ...short, endsAt: ARRIVED + 1_600 }, ARRIVED, ARRIVED + 600)).toBe(true);
    expect(shouldWaitForCapacity(short, ARRIVED, ARRIVED + 1_900)).toBe(true);
  });
});
