/** Value of `Retry-After` for requests that another process can take, in seconds. */
import type { Random } from '../model/random.js';

/** Delay before a caller sends a request to another process as this one is stopping, in milliseconds, times 1 to 2. */
const OTHER_PROCESS_DELAY = 50;
const MILLISECONDS = 1_000;

/** `Retry-After` for a request that another process can take now. */
export function retryAfterForOtherProcess(random: Random): number {
  return (OTHER_PROCESS_DELAY * (1 + random.fraction())) / MILLISECONDS;
}
