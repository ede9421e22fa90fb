/**
 * How often entries report to one another. What one entry sends and reads a second must not grow with their number, or
 * all of them together would spend its square.
 */

/** Time between two reports inside a zone, and to other zones, in milliseconds. */
const SAME_ZONE_INTERVAL = 150;
const OTHER_ZONE_INTERVAL = 450;
/** With more other entries than this reports become rarer. */
const FULL_RATE_PEERS = 10;
/** An entry is taken to live for this long after its latest report, in milliseconds, and for so many intervals. */
const MIN_LIFETIME = 1_500;
const LIFETIME_INTERVALS = 3;

/** Time between two reports to one of `peerCount` other entries, in milliseconds. */
export function reportInterval(isNear: boolean, peerCount: number): number {
  const slowdown = Math.max(1, peerCount / FULL_RATE_PEERS);
  return (isNear ? SAME_ZONE_INTERVAL : OTHER_ZONE_INTERVAL) * slowdown;
}

/** Time for which one of `peerCount` other entries is taken to live after its latest report, in milliseconds. */
export function reportLifetime(isNear: boolean, peerCount: number): number {
  return Math.max(MIN_LIFETIME, LIFETIME_INTERVALS * reportInterval(isNear, peerCount));
}

/** Time between two looks at which reports are due, in milliseconds. */
export const REPORT_TICK = SAME_ZONE_INTERVAL;

/** A sign of life is asked for after this long without a message, in milliseconds: timers may be early by some milliseconds. */
const MIN_PING_DELAY = 900;
/** The same in intervals of reports, which are signs of life themselves: none is asked for while they come. */
const PING_INTERVALS = 1.2;
/**
 * A connection on which nothing came for this long is replaced, in milliseconds: two signs of life are missing. With the next
 * look and a new connection it stays below the 3 s after which a process counts as in touch again, and to others of the zone, who
 * pass on what the store says, below the 5 s that the users give where there are a hundred entries.
 */
const MIN_SILENCE_LIMIT = 2_300;
/** The same in intervals of reports. */
const SILENCE_INTERVALS = 2.2;

/**
 * Time without a message after which one of `peerCount` other entries is asked for a sign of life, in milliseconds. Asked every
 * 2 s whatever the reports were, 100 entries sent 9,900 such messages a second, three times as many as reports (reckoned from
 * the intervals).
 */
export function pingDelay(isNear: boolean, peerCount: number): number {
  return Math.max(MIN_PING_DELAY, PING_INTERVALS * reportInterval(isNear, peerCount));
}

/** Time without a message after which the connection to one of `peerCount` other entries is replaced, in milliseconds. */
export function silenceLimit(isNear: boolean, peerCount: number): number {
  return Math.max(MIN_SILENCE_LIMIT, SILENCE_INTERVALS * reportInterval(isNear, peerCount));
}
