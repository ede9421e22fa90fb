/** Chooses the error of a request that no back end can take and that has not run. */
import type { Random } from '../model/random.js';
import type { Requirements } from './back-end-eligibility.js';
import type { BackEndSelector } from './back-end-selector.js';
import type { ForwardingError } from './forwarding-errors.js';
import { retryAfterForCapacity } from './retry-after.js';

/** @param reason - why the search for a back end was given up */
export function refusalOf(
  requirements: Requirements,
  reason: string,
  selector: BackEndSelector,
  random: Random,
): ForwardingError {
  if (!selector.isServedInRegions(requirements)) return { type: 'regionNotServed', reason };
  return {
    type: 'unavailable',
    reason,
    retryAfter: retryAfterForCapacity(requirements, selector, random),
  };
}
