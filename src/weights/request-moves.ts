/**
 * Whether the requests of an engine can go on at others while it takes another version. An engine that waits for them
 * is out of service until the longest has ended (1.2 to 2.4 s measured); one that drops them for 0.3 s.
 */
import type { Route } from '../fleet/configuration.js';

/** Share of the room of the others that moved requests may take: new requests need some too. Chosen. */
const USABLE_SHARE = 0.5;
/** Room of an engine beside its slots, as a share of them: moved requests may wait there for a short while. Chosen. */
const QUEUE_SHARE = 0.25;
/** A moved request needs this long, in milliseconds, or it would be cut when the next engine drops it as well. Streams
 * took 0.75 to 1.2 s in the median, and are about half over when they move. */
const LEAST_STAY = 700;

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
  const remaining = others.filter(
    (other) => other.version === version && !other.isSwitching && other.switchesIn >= LEAST_STAY,
  );
  const room = remaining.reduce((sum, other) => sum + roomOf(other), 0);
  return remaining.length > 0 && load <= room * USABLE_SHARE;
}

function roomOf({ slots, load }: ServingEngine): number {
  return Math.max(0, slots * (1 + QUEUE_SHARE) - load);
}
