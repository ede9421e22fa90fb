/**
 * Decides whether the running requests of an engine can continue on other engines while it switches to
 * another version. Unless that is certain, they must be left to finish.
 */
import type { Route } from '../fleet/configuration.js';

/**
 * Share of the other engines' spare capacity that moved requests may use: new requests need some of it too.
 */
const USABLE_CAPACITY_SHARE = 0.5;
/** Queue capacity of an engine as a share of its slots: moved requests may wait there briefly. */
const QUEUE_CAPACITY_SHARE = 0.25;
/**
 * Least time until the next switch of an engine that takes moved requests, in milliseconds; it would cut them
 * again otherwise. Streams take 0.75 to 1.2 s in the median, and are about half over when they move.
 */
const MIN_TIME_BEFORE_SWITCH = 700;

/** The state of an engine on which the decision depends. */
export interface ServingEngine {
  /** Version of which it holds all layers; 0 if none. */
  version: number;
  isSwitching: boolean;
  /** Time until it is ordered to switch to another version, in milliseconds; infinite if no switch is due. */
  switchesIn: number;
  /** Requests that it can run concurrently, and requests that run or wait there. */
  slots: number;
  load: number;
  /** Requests there that must not be repeated elsewhere; undefined if unknown. */
  unmovable?: number;
}

/**
 * @param routes - those that lead to the service of `engine`
 * @param others - the other engines of the service
 */
export function canMoveRequests(
  routes: readonly Route[],
  { version, load, unmovable }: ServingEngine,
  others: readonly ServingEngine[],
): boolean {
  const mayRunAgain = routes.every(
    ({ repeatability, maxAttempts }) => repeatability !== 'never' && maxAttempts > 1,
  );
  if (!mayRunAgain || unmovable !== 0 || version === 0) return false;
  const remaining = others.filter(
    (other) => other.version === version && !other.isSwitching && other.switchesIn >= MIN_TIME_BEFORE_SWITCH,
  );
  const spare = remaining.reduce((sum, other) => sum + spareCapacityOf(other), 0);
  // The requests of engines that switch at the same time need the same capacity.
  const switching = others.filter((other) => other.version === version && other.isSwitching);
  const movingLoad = switching.reduce((sum, other) => sum + other.load, load);
  return remaining.length > 0 && movingLoad <= spare * USABLE_CAPACITY_SHARE;
}

function spareCapacityOf({ slots, load }: ServingEngine): number {
  return Math.max(0, slots * (1 + QUEUE_CAPACITY_SHARE) - load);
}
