/**
 * Tests that all entries together send a cold back end no more requests than it bears: one that returns from an outage takes the
 * load of many others at once, and fails if it gets it.
 */
import { afterEach, beforeEach, describe, expect, it, vi } from 'vitest';
import { mostInWindow } from '../forwarding/rate-limit-audit.js';
import { type FleetFault, type FleetInit, RateLimitFleet } from './rate-limit-fleet.js';

const RATE = 15;
const COLD_TIME = 6_000;
const SECOND = 1_000;
/** More than these requests in one second make the back end fail. */
const MOST_A_SECOND = 1.5 * RATE + 5;
/** Requests per second from callers to all entries together. */
const REQUEST_RATE = 200;
const ENTRIES = 33;

async function simulate(init: Partial<FleetInit>, awareEntries: number, faults: FleetFault[] = []) {
  const fleet = new RateLimitFleet({
    entries: ENTRIES,
    rate: undefined,
    hasAgent: true,
    requestRate: REQUEST_RATE,
    messageLoss: 0,
    seed: 1,
    cold: { rate: RATE, until: performance.now() + COLD_TIME, awareEntries },
    ...init,
  });
  faults.forEach((fault, index) => void setTimeout(() => fleet.inject(fault), (index + 1) * SECOND));
  const begun = performance.now();
  await vi.advanceTimersByTimeAsync(2 * COLD_TIME);
  const whileCold = fleet.arrivals.filter((at) => at < begun + COLD_TIME);
  return { whileCold, afterwards: fleet.arrivals.length - whileCold.length };
}

beforeEach(() => {
  vi.useFakeTimers({ toFake: ['setTimeout', 'clearTimeout', 'setInterval', 'clearInterval', 'performance'] });
});

afterEach(() => {
  vi.clearAllTimers();
  vi.useRealTimers();
});

describe('a cold back end gets no more than it bears, and all requests once it is warm,', () => {
  it.each([
    ['with an agent', true, ENTRIES, []],
    ['without an agent', false, ENTRIES, []],
    ['with an agent that knows it, if one entry does', true, 1, []],
    ['if the agent restarts twice', true, ENTRIES, ['agentRestart', 'agentRestart']],
    ['if the store is away as the agent restarts', true, ENTRIES, ['storeOutage', 'agentRestart']],
    ['if all entries restart', true, ENTRIES, ['restartAll', 'restartAll']],
    ['if the store is away without an agent', false, ENTRIES, ['storeOutage', 'restartAll']],
  ] as const)('%s', async (_name, hasAgent, awareEntries, types) => {
    const faults = types.map((type): FleetFault => ({ type, duration: 1_500 }));
    for (const seed of [1, 2, 3]) {
      const { whileCold, afterwards } = await simulate({ hasAgent, seed }, awareEntries, faults);
      expect(mostInWindow(whileCold, SECOND)).toBeLessThanOrEqual(MOST_A_SECOND);
      expect(whileCold.length).toBeGreaterThan(0);
      expect(afterwards).toBeGreaterThan((REQUEST_RATE * COLD_TIME) / SECOND / 4);
    }
  });
});
