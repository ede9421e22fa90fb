/** Values of `Retry-After` for requests that have not run, in seconds. */
import type { Random } from '../model/random.js';
import { MAX_RETRY_DELAY } from '../systems/capacity-wait.js';
import type { Requirements } from './back-end-eligibility.js';
import type { BackEndSelector } from './back-end-selector.js';

/**
 * Delay after which a caller retries a refused request, in milliseconds, times 1 to 2; longer if no back end is expected to
 * serve until then. With a delay as long as the overload has already lasted, no more callers are served during a version
 * switch under load, and they wait 2.4 s instead of 1.3 s (99th percentile).
 */
const RETRY_DELAY = 400;
/** Delay before a caller sends a request to another process as this one is stopping, in milliseconds, times 1 to 2. */
const OTHER_PROCESS_DELAY = 50;
const MILLISECONDS = 1_000;

/** `Retry-After` for a request that another process can take now. */
export function retryAfterForOtherProcess(random: Random): number {
  return (OTHER_PROCESS_DELAY * (1 + random.fraction())) / MILLISECONDS;
}

/** `Retry-After` for a request that no back end can take now. */
export function retryAfterForCapacity(
  { service, regions }: Pick<Requirements, 'service' | 'regions'>,
  selector: BackEndSelector,
  random: Random,
): number {
  const capacity = selector.timeToCapacity(service, regions);
  const minDelay = RETRY_DELAY * (1 + random.fraction());
  const delay = Math.max(minDelay + (capacity?.wait ?? 0), selector.requestInterval(service, regions));
  // The end of a back-off is known, however far ahead it is. Estimates are not reliable that far ahead.
  const maxDelay = capacity?.isBackoff === true ? Number.POSITIVE_INFINITY : MAX_RETRY_DELAY;
  return Math.min(maxDelay, delay) / MILLISECONDS;
}
