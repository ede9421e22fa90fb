/** When callers of requests that have not run are told to come back, in seconds. */
import type { Random } from '../model/random.js';
import { MAX_RETRY_DELAY } from '../systems/capacity-wait.js';
import type { BackEndSelector } from './back-end-selector.js';

/**
 * A request that is refused comes back after this, in milliseconds times 1 to 2, or once a back end is to serve. Told to stay
 * away for as long as an overload had lasted, callers of a switch under load were served no more often, and after 2.4 s in place of
 * 1.3 s in the worst hundredth (the same day with both).
 */
const RETRY_AFTER = 400;
/** Time after which another process can have a request that this one has no time for, in milliseconds, times 1 to 2. */
const RETRY_ELSEWHERE = 50;
const MILLISECONDS = 1_000;

/** For a request that another process can take now. */
export function retryElsewhere(random: Random): number {
  return (RETRY_ELSEWHERE * (1 + random.fraction())) / MILLISECONDS;
}

/** For a request that no back end of `service` can take now. */
export function retryOnceServed(service: string, selector: BackEndSelector, random: Random): number {
  const capacity = selector.expectedCapacity(service) ?? 0;
  const soon = RETRY_AFTER * (1 + random.fraction());
  const delay = Math.max(soon + capacity, selector.requestInterval(service));
  return Math.min(MAX_RETRY_DELAY, delay) / MILLISECONDS;
}
