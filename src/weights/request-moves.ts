/**
 * Whether the requests of an engine are known to be able to go on at others while it takes another version. Requests of
 * which that is not known must be left to end.
 */
import type { Route } from '../fleet/configuration.js';

/** Share of the room of the others that moved requests may take: new requests need some too. */
const USABLE_CAPACITY_SHARE = 0.5;
/** Room of an engine beside its slots, as a share of them: moved requests may wait there for a short while. */
const QUEUE_CAPACITY_SHARE = 0.25;
/** A moved request needs this long, in milliseconds, or it would be cut when the next engine drops it as well. Streams
 * took 0.75 to 1.2 s in the median, and are about half over when they move. */
const MIN_TIME_BEFORE_SWITCH = 700;

/** An engine that may serve. */
export interface ServingEngine {
  /** Version of which it holds all layers; 0 for none. */
  version: number;
  isSwitching: boolean;
  /** Time until it is to be ordered to take another version, in milliseconds; infinite where that is not due. */
  switchesIn: number;
  /** Requests that it can run at the same time, and those that are there. */
  slots: number;
  load: number;
  /** Requests there that may not run again elsewhere; undefined where that is not known. */
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
  // Engines that switch at the same time need the same room.
  const switching = others.filter((other) => other.version === version && other.isSwitching);
  const movingLoad = switching.reduce((sum, other) => sum + other.load, load);
  return remaining.length > 0 && movingLoad <= spare * USABLE_CAPACITY_SHARE;
}

function spareCapacityOf({ slots, load }: ServingEngine): number {
  return Math.max(0, slots * (1 + QUEUE_CAPACITY_SHARE) - load);
}
