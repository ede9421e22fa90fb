/** Tests that all entries together keep to a rate limit: entries that do not share it, or lose it, overload the back end. */
import { afterEach, beforeEach, describe, expect, it, vi } from 'vitest';
import { seededRandom } from '../../src/model/random.js';
import { RateLimiter } from '../../src/systems/rate-limiter.js';
import { allowedInWindow, mostInWindow } from '../forwarding/rate-limit-audit.js';
import { type FleetFault, type FleetInit, RateLimitFleet } from './rate-limit-fleet.js';

/** Time after a limit is first named from which it must be kept, in milliseconds. */
const GRACE_PERIOD = 3_000;
const END = 40_000;
const LIFTED_AT = 12_000;
const NAMED_AGAIN_AT = 24_000;
/** All entries must know that the limit is lifted for this long before it is named again. */
const LIFTED_PERIOD = 4_000;
const RATE = 3;
/** Requests per second from callers to all entries together. */
const REQUEST_RATE = 60;
const MILLISECONDS = 1_000;
const FAULTS = ['restart', 'partition', 'freeze', 'restartAll', 'agentRestart', 'storeOutage'] as const;

async function simulate(
  init: Partial<FleetInit>,
  prepare: (fleet: RateLimitFleet) => void = () => {},
): Promise<RateLimitFleet> {
  const fleet = new RateLimitFleet({
    entries: 7,
    rate: RATE,
    hasAgent: true,
    requestRate: REQUEST_RATE,
    messageLoss: 0,
    seed: 1,
    ...init,
  });
  prepare(fleet);
  await vi.advanceTimersByTimeAsync(END);
  return fleet;
}

const limitedArrivals = (fleet: RateLimitFleet) => fleet.arrivals.filter((at) => at > GRACE_PERIOD);

beforeEach(() => {
  vi.useFakeTimers({ toFake: ['setTimeout', 'clearTimeout', 'setInterval', 'clearInterval', 'performance'] });
});

afterEach(() => {
  vi.clearAllTimers();
  vi.useRealTimers();
});

describe.each([1, 7, 400])('%i entries', (entries) => {
  describe.each([true, false])('with an agent: %s', (hasAgent) => {
    it.each([0, RATE, 20])(
      'keep to a limit of %f requests per second together, and use at least 40% of it',
      async (rate) => {
        const fleet = await simulate({ entries, hasAgent, rate });
        expect(mostInWindow(limitedArrivals(fleet))).toBeLessThanOrEqual(allowedInWindow(rate));
        expect(limitedArrivals(fleet).length).toBeGreaterThan(
          (0.4 * rate * (END - GRACE_PERIOD)) / MILLISECONDS,
        );
      },
    );

    it.each([1, 2, 3])(
      'keep to it during restarts, partitions, freezes, outages and message loss, seed %i',
      async (seed) => {
        const random = seededRandom(seed * 7_919);
        const fleet = await simulate({ entries, hasAgent, seed, messageLoss: 0.1 }, (target) => {
          for (let at = 2_000; at < END; at += 1_000 + random.below(2_500)) {
            const type = FAULTS[random.below(FAULTS.length)];
            const duration = 200 + random.below(4_000);
            setTimeout(
              () => target.inject({ type, duration, entry: random.below(entries) } as FleetFault),
              at,
            );
          }
        });
        expect(mostInWindow(limitedArrivals(fleet))).toBeLessThanOrEqual(allowedInWindow(RATE));
      },
    );

    it('send at least 80% of requests after the limit is lifted, and keep to it when it is named again', async () => {
      const fleet = await simulate({ entries, hasAgent }, (target) => {
        setTimeout(() => target.setRateLimit(undefined), LIFTED_AT);
        setTimeout(() => target.setRateLimit(RATE), NAMED_AGAIN_AT);
      });
      const between = (from: number, end: number) => fleet.arrivals.filter((at) => at > from && at <= end);
      expect(mostInWindow(between(GRACE_PERIOD, LIFTED_AT))).toBeLessThanOrEqual(allowedInWindow(RATE));
      const settled = between(NAMED_AGAIN_AT - LIFTED_PERIOD, NAMED_AGAIN_AT);
      expect(settled.length).toBeGreaterThan((0.8 * REQUEST_RATE * LIFTED_PERIOD) / MILLISECONDS);
      expect(mostInWindow(between(NAMED_AGAIN_AT + GRACE_PERIOD, END))).toBeLessThanOrEqual(
        allowedInWindow(RATE),
      );
    });
  });
});

it('a separate limiter in each entry exceeds the limit', () => {
  const limiters = Array.from({ length: 7 }, () => new RateLimiter(RATE, 0));
  const sent: number[] = [];
  for (let now = 0; now < END; now += 10)
    for (const limiter of limiters) if (limiter.tryAcquire(now)) sent.push(now);
  expect(mostInWindow(sent)).toBeGreaterThan(3 * allowedInWindow(RATE));
});
