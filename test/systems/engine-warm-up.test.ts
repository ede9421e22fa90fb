/** Tests for how long an agent takes its engine to be cold. */
import { describe, expect, it } from 'vitest';
import { EngineWarmUp } from '../../src/systems/engine-warm-up.js';

const DECLARED = { rate: 15, time: 3_000 };

function warmUpOf(start: number | undefined, now: number): EngineWarmUp {
  const warmUp = new EngineWarmUp();
  warmUp.observe({ start }, now);
  return warmUp;
}

describe('the engine of an agent', () => {
  it('is cold for the declared time after the agent first sees it, even if the declaration comes later', () => {
    const warmUp = warmUpOf(1, 0);
    expect(warmUp.cold(100)).toBeUndefined();
    warmUp.declare(DECLARED);
    expect(warmUp.cold(100)).toEqual({ rate: 15, until: 3_000 });
    expect([2_999, 3_000].map((now) => warmUp.coldLeft(now))).toEqual([1, 0]);
  });

  it('is cold again after each start that it names, but not after a time without answers', () => {
    const warmUp = warmUpOf(1, 0);
    warmUp.declare(DECLARED);
    warmUp.observe(undefined, 4_000);
    warmUp.observe({ start: 1 }, 5_000);
    expect(warmUp.coldLeft(5_000)).toBe(0);
    warmUp.observe({ start: 2 }, 6_000);
    expect(warmUp.coldLeft(6_000)).toBe(3_000);
  });

  it('is cold again after a time without answers if it names no start', () => {
    const warmUp = warmUpOf(undefined, 0);
    warmUp.declare(DECLARED);
    warmUp.observe({ start: undefined }, 4_000);
    expect(warmUp.coldLeft(4_000)).toBe(0);
    warmUp.observe(undefined, 5_000);
    warmUp.observe({ start: undefined }, 6_000);
    expect(warmUp.coldLeft(6_000)).toBe(3_000);
  });

  it('is never cold if its service declares nothing, and stays cold if a sender knows no configuration', () => {
    const warmUp = warmUpOf(1, 0);
    warmUp.declare(DECLARED);
    warmUp.declare(undefined);
    expect(warmUp.coldLeft(100)).toBe(2_900);
    warmUp.declare({ rate: 0, time: 0 });
    expect(warmUp.cold(100)).toBeUndefined();
  });
});
