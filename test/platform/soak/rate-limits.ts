/** Rate limits of workers in a soak. */
import { drawBetween, type Fault, noCleanup, pick } from './fault.js';

/** Rate limits that workers announce, in requests a second, and the range of their durations, in milliseconds. */
const LIMIT_RATES = [0.5, 1, 2] as const;
const MIN_LIMIT_DURATION = 4_500;
const MAX_LIMIT_DURATION = 8_000;

/** Workers announce a rate limit in their responses for a limited period. */
export const LIMITS: Fault[] = [
  {
    name: 'worker announces a rate limit',
    begin(world, random) {
      const { worker } = pick(world.workers, random);
      const rate = pick(LIMIT_RATES, random);
      const duration = drawBetween(random, MIN_LIMIT_DURATION, MAX_LIMIT_DURATION);
      if (worker.rateLimit !== undefined)
        return { duration: 0, end: noCleanup, detail: `${worker.id} already` };
      worker.rateLimit = rate;
      const from = performance.now();
      world.log.limits.push({ worker: worker.id, rate, from, to: from + duration });
      const end = () => {
        worker.rateLimit = undefined;
      };
      return { duration, end, detail: `${worker.id} to ${rate} a second` };
    },
  },
];
