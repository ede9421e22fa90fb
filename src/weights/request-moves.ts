/**
 * Whether the requests of an engine can go on at others while it takes another version. An engine that waits for them
 * is out of service until the longest has ended (1.4 to 2.6 s measured); one that drops them for 0.4 s.
 */
import type { Route } from '../fleet/configuration.js';

/** Share of a service's serving engines that must stay on the version: less would not have the slots for more requests. */
const LEAST_REMAINING = 1 / 3;

/** An engine that may serve. */
export interface ServingEngine {
  /** Version of which it holds all layers; 0 for none. */
  version: number;
  isSwitching: boolean;
}

/**
 * @param routes - those that lead to the engine's service
 * @param version - the engine's
 * @param others - the other engines of the service
 */
export function canMoveRequests(
  routes: readonly Route[],
  version: number,
  others: readonly ServingEngine[],
): boolean {
  const mayRunAgain = routes.every(
    ({ repeatability, maxAttempts }) => repeatability !== 'never' && maxAttempts > 1,
  );
  if (!mayRunAgain || version === 0) return false;
  const serving = others.filter((other) => other.version > 0);
  const remaining = serving.filter((other) => other.version === version && !other.isSwitching);
  return remaining.length > 0 && remaining.length >= serving.length * LEAST_REMAINING;
}
