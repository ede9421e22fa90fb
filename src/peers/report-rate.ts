/**
 * How often entries report to one another. The traffic that one entry sends and receives per second must not
 * grow with the number of entries, or their total would grow with its square.
 */

/** Interval of reports inside a zone and to other zones, in milliseconds. */
const SAME_ZONE_INTERVAL = 150;
const OTHER_ZONE_INTERVAL = 450;
/** With more other entries than this, reports become less frequent. */
const FULL_RATE_PEERS = 10;
/**
 * An entry counts as live for at least this long after its latest report, in milliseconds, and for this many
 * report intervals.
 */
const MIN_LIFETIME = 1_500;
const LIFETIME_INTERVALS = 3;

/** Interval of reports to one of `peerCount` other entries, in milliseconds. */
export function reportInterval(isNear: boolean, peerCount: number): number {
  const slowdown = Math.max(1, peerCount / FULL_RATE_PEERS);
  return (isNear ? SAME_ZONE_INTERVAL : OTHER_ZONE_INTERVAL) * slowdown;
}

/**
 * Time for which one of `peerCount` other entries counts as live after its latest report, in milliseconds.
 */
export function reportLifetime(isNear: boolean, peerCount: number): number {
  return Math.max(MIN_LIFETIME, LIFETIME_INTERVALS * reportInterval(isNear, peerCount));
}

/** Interval at which due reports are sent, in milliseconds. */
export const REPORT_TICK = SAME_ZONE_INTERVAL;

/**
 * A ping is sent after at least this long without a message, in milliseconds: timers may fire some
 * milliseconds early.
 */
const MIN_PING_DELAY = 900;
/** The same in report intervals: while reports arrive, no ping is sent. */
const PING_INTERVALS = 1.2;
/**
 * A connection without messages for this long is replaced, in milliseconds: two answers to pings are missing.
 * Including the next tick and a new connection, this stays below the 3 s after which a process counts as in
 * contact with the others again. For the other entries of the zone, which forward store changes, it stays
 * below the 5 s allowed with a hundred entries.
 */
const MIN_SILENCE_LIMIT = 2_300;
/** The same in report intervals. */
const SILENCE_INTERVALS = 2.2;

/**
 * Time without a message after which one of `peerCount` other entries is sent a ping, in milliseconds. With
 * pings every 2 s whatever the report interval, 100 entries sent 9,900 of them per second, three times as
 * many as reports.
 */
export function pingDelay(isNear: boolean, peerCount: number): number {
  return Math.max(MIN_PING_DELAY, PING_INTERVALS * reportInterval(isNear, peerCount));
}

/**
 * Time without a message after which the connection to one of `peerCount` other entries is replaced, in
 * milliseconds.
 */
export function silenceLimit(isNear: boolean, peerCount: number): number {
  return Math.max(MIN_SILENCE_LIMIT, SILENCE_INTERVALS * reportInterval(isNear, peerCount));
}
