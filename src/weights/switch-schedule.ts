/**
 * Schedules when an engine may switch to another version. An engine that switches accepts no new requests
 * until its running requests have ended, so the engines of a zone switch in waves within the bound in which a
 * version must be serving everywhere.
 */

/** Number of waves in which the engines of a zone switch. */
export const SWITCH_WAVES = 6;
/**
 * Shares of the bound: the interval between two waves, which lets the streams of one wave move or end before
 * the next, and the time after which no engine waits any longer.
 */
const WAVE_INTERVAL_SHARE = 0.1;
const LATEST_SWITCH_SHARE = 0.875;
/**
 * An engine switches at the latest this long before its version expires, in milliseconds: entries send it
 * hardly any new requests in that time.
 */
const EXPIRY_MARGIN = 700;
/** Time in which the requests that run at an engine end, in milliseconds; a few of the longest take more. */
const DRAIN_TIME = 1_500;
/**
 * Maximum number of waves whose engines stop accepting requests before the new version is complete, if little time is left, and
 * the share of a zone's engines that they may be. Where both engines of each zone drained, none served for 0.4 to 0.8 s longer than
 * if none had drained.
 */
const AHEAD_WAVES = 2;
const AHEAD_SHARE = 0.5;
/**
 * Engines that drained ahead serve again this long before the others get no more requests, in milliseconds: the time of a load.
 */
const AHEAD_LEAD = 300;

/** One engine in this many skips a version that a newer one follows. */
const SKIP_EVERY = 3;
/** Two versions count as close if they are named within this share of the bound. */
const CLOSE_NAMING_SHARE = 0.3;
/**
 * A version is skipped only if the newer one is complete this long before the engine's version expires, in
 * milliseconds.
 */
const SKIP_MARGIN = 300;

/** Inputs of {@link switchTime}. Times are in milliseconds of the monotonic clock. */
export interface SwitchTiming {
  /** The engine's version; 0 if it holds none. */
  version: number;
  /** Until when requests may start on that version; infinite if no newer one is named. */
  expiresAt: number;
  /** When the new version was named, and when all its pieces had been fetched. */
  namedAt: number;
  completeAt: number;
  /** Time after the naming within which it must be serving everywhere. */
  bound: number;
  /** Index of the engine among those of its zone. */
  position: number;
}

/** The wave of the engine at `position`, from 0. */
export function waveOf(position: number): number {
  return position % SWITCH_WAVES;
}

/** The earliest time for the switch. An engine that serves nothing need not wait. */
export function switchTime(timing: SwitchTiming): number {
  const { version, expiresAt, namedAt, completeAt, bound, position } = timing;
  if (version === 0) return Number.NEGATIVE_INFINITY;
  const waveTime = completeAt + waveOf(position) * WAVE_INTERVAL_SHARE * bound;
  return Math.min(waveTime, namedAt + LATEST_SWITCH_SHARE * bound, expiresAt - EXPIRY_MARGIN);
}

/** Inputs of {@link drainsAhead}. Times are in milliseconds of the monotonic clock. */
export interface AheadTiming {
  /** The engine's version; 0 if it holds none. */
  version: number;
  /** Until when requests may start on that version. */
  expiresAt: number;
  /** When all pieces of the new version are expected to have been fetched; infinite if its fetch is stalled. */
  completeAt: number;
  /** Index of the engine among those of its zone. */
  position: number;
  /** Number of engines of its zone; 0 if it is not known. */
  engines: number;
  now: number;
}

/**
 * Whether an engine accepts no more requests although the new version is not complete yet. A version that completes shortly
 * before its predecessor expires would find every engine with running requests, and none would serve until the longest of them
 * has ended. So the first waves let theirs end before, while the others serve, and load the version as soon as it is complete.
 */
export function drainsAhead(timing: AheadTiming): boolean {
  const { version, expiresAt, completeAt, position, engines, now } = timing;
  const waves = Math.min(AHEAD_WAVES, Math.floor(engines * AHEAD_SHARE));
  if (version === 0 || waveOf(position) >= waves || !Number.isFinite(completeAt)) return false;
  const loadAt = Math.max(completeAt, expiresAt - EXPIRY_MARGIN - AHEAD_LEAD);
  return now >= loadAt - DRAIN_TIME;
}

/** Inputs of {@link shouldSkip}. Times are in milliseconds of the monotonic clock. */
export interface SkipTiming {
  /** When the version and the newest version were named. */
  namedAt: number;
  newestNamedAt: number;
  /** When all pieces of the newest version are expected to have been fetched. */
  newestCompleteAt: number;
  /** Until when requests may start on the engine's version. */
  expiresAt: number;
  bound: number;
  position: number;
}

/**
 * Whether the engine should skip a version because a newer one will be complete before the engine's own
 * expires. Of versions named in close succession only the newest is loaded, since each switch interrupts
 * service. Otherwise a third of the engines skip the older one, so that some engines serve while the rest
 * switch.
 */
export function shouldSkip(timing: SkipTiming): boolean {
  const { namedAt, newestNamedAt, newestCompleteAt, expiresAt, bound, position } = timing;
  if (newestCompleteAt > expiresAt - SKIP_MARGIN) return false;
  return newestNamedAt - namedAt < CLOSE_NAMING_SHARE * bound || position % SKIP_EVERY === SKIP_EVERY - 1;
}
