/**
 * Whether the requests of an engine can go on at others while it takes another version. An engine that waits for them
 * is out of service until the longest has ended (1.2 to 1.9 s measured); one that drops them for 0.3 s.
 */
import type { Route } from '../fleet/configuration.js';

/** Share of the free slots of the others that moved requests may take: new requests need some too. */
const USABLE_SHARE = 0.5;

/** An engine that may serve. */
export interface ServingEngine {
  /** Version of which it holds all layers; 0 for none. */
  version: number;
  isSwitching: boolean;
  /** Requests that it can run at the same time, and those that are there. */
  slots: number;
  load: number;
}

/**
 * @param routes - those that lead to the service of `engine`
 * @param others - the other engines of the service
 */
export function canMoveRequests(
  routes: readonly Route[],
  { version, load }: ServingEngine,
  others: readonly ServingEngine[],
): boolean {
  const mayRunAgain = routes.every(
    ({ repeatability, maxAttempts }) => repeatability !== 'never' && maxAttempts > 1,
  );
  if (!mayRunAgain || version === 0) return false;
  const remaining = others.filter((other) => other.version === version && !other.isSwitching);
  const free = remaining.reduce((sum, other) => sum + Math.max(0, other.slots - other.load), 0);
  return remaining.length > 0 && load <= free * USABLE_SHARE;
}
