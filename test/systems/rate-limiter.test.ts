/** Tests that the rate limiter never issues more permits than its rate allows. */
import fc from 'fast-check';
import { describe, expect, it } from 'vitest';
import { RateLimiter } from '../../src/systems/rate-limiter.js';

/** Permits that any time span may have beyond those that its length allows. */
const MAX_EXTRA_PERMITS = 2;
const MILLISECONDS = 1_000;

function acquireTimes(limiter: RateLimiter, from: number, end: number, step: number): number[] {
  const acquired: number[] = [];
  for (let now = from; now <= end; now += step) if (limiter.tryAcquire(now)) acquired.push(now);
  return acquired;
}

describe('the permits of a rate limiter', () => {
  it('are one interval apart, the first one interval after the start', () => {
    expect(acquireTimes(new RateLimiter(2, 1_000), 1_000, 3_000, 100)).toEqual([1_500, 2_000, 2_500, 3_000]);
  });

  it('are saved up for at most one interval of idle time', () => {
    const limiter = new RateLimiter(2, 0);
    expect(acquireTimes(limiter, 60_000, 60_400, 100)).toEqual([60_000, 60_100]);
  });

  it('can be acquired again after they were returned', () => {
    const limiter = new RateLimiter(2, 0);
    expect([limiter.tryAcquire(500), limiter.tryAcquire(600)]).toEqual([true, false]);
    limiter.returnPermit();
    expect([limiter.tryAcquire(600), limiter.tryAcquire(700)]).toEqual([true, false]);
  });

  it('are due within one interval of the new rate when it rises, and later when it falls', () => {
    const limiter = new RateLimiter(0.2, 0);
    limiter.setRate(10, 1_000);
    expect(limiter.dueAt()).toBe(1_100);
    limiter.setRate(2, 1_050);
    expect(limiter.dueAt()).toBe(1_500);
  });

  it('are issued at the minimum rate when the rate is zero', () => {
    expect(acquireTimes(new RateLimiter(0, 0), 0, 30_000, 100)).toHaveLength(6);
  });

  it('never exceed the highest rate that was set, in any time span', () => {
    const step = fc.record({
      pause: fc.integer({ min: 0, max: 4_000 }),
      wanted: fc.integer({ min: 0, max: 20 }),
      returned: fc.integer({ min: 0, max: 3 }),
      rate: fc.constantFrom(undefined, 0.5, 2, 3, 20),
    });
    fc.assert(
      fc.property(fc.array(step, { minLength: 1, maxLength: 60 }), (steps) => {
        const limiter = new RateLimiter(2, 0);
        let now = 0;
        let highest = 2;
        const sent: number[] = [];
        for (const { pause, wanted, returned, rate } of steps) {
          now += pause;
          if (rate !== undefined) limiter.setRate(rate, now);
          highest = Math.max(highest, rate ?? 0);
          let acquired = 0;
          while (acquired < wanted && limiter.tryAcquire(now)) acquired++;
          const unused = Math.min(acquired, returned);
          for (let index = 0; index < unused; index++) limiter.returnPermit();
          for (let index = unused; index < acquired; index++) sent.push(now);
        }
        for (const [first, from] of sent.entries())
          for (let last = first; last < sent.length; last++) {
            const allowed = (highest * (sent[last] - from)) / MILLISECONDS + MAX_EXTRA_PERMITS;
            expect(last - first + 1).toBeLessThanOrEqual(allowed + 1e-9);
          }
      }),
      { seed: 20_261_203, numRuns: 200 },
    );
  });
});
