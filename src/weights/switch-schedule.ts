/**
 * When an engine may go over to another version. An engine that does takes nothing new until its requests have ended,
 * so the engines of a zone go in waves inside the bound in which a version must serve.
 */

/** Waves in which the engines of a zone go. */
export const SWITCH_WAVES = 6;
/**
 * Shares of the bound: between two waves, so that streams of one have moved or ended before the next, and after which no
 * engine waits any more.
 */
const WAVE_INTERVAL_SHARE = 0.1;
const LATEST_SWITCH_SHARE = 0.875;
/** An engine whose version may not serve any more within this time has nothing to lose, in milliseconds. */
const EXPIRY_MARGIN = 1_000;

/** Of this many engines one leaves out a version that another follows. */
const SKIP_EVERY = 3;
/** Share of the bound up to which two versions follow each other closely. */
const CLOSE_NAMING_SHARE = 0.3;
/** A version that is left out must be replaced this long before it would be missed, in milliseconds. */
const SKIP_MARGIN = 300;

/** What the time depends on. Times are in milliseconds of the steady clock. */
export interface SwitchTiming {
  /** The engine's version; 0 where it holds none. */
  version: number;
  /** Until when requests may start on that version; infinite where no newer one is named. */
  expiresAt: number;
  /** When the new version was named, and when all its pieces were here. */
  namedAt: number;
  completeAt: number;
  /** Time in which it must serve everywhere. */
  bound: number;
  /** The engine's number among those of its zone. */
  position: number;
}

/** The wave of the engine at `position`, from 0. */
export function waveOf(position: number): number {
  return position % SWITCH_WAVES;
}

/** The earliest time for the switch: an engine that serves nothing waits for nothing. */
export function switchTime(timing: SwitchTiming): number {
  const { version, expiresAt, namedAt, completeAt, bound, position } = timing;
  if (version === 0) return Number.NEGATIVE_INFINITY;
  const waveTime = completeAt + waveOf(position) * WAVE_INTERVAL_SHARE * bound;
  return Math.min(waveTime, namedAt + LATEST_SWITCH_SHARE * bound, expiresAt - EXPIRY_MARGIN);
}

/** What it depends on whether a version is taken although a newer one is named. Times as above. */
export interface SkipTiming {
  /** When the version, and the newest one, were named. */
  namedAt: number;
  newestNamedAt: number;
  /** When all pieces of the newest will be here, as far as can be told. */
  newestCompleteAt: number;
  /** Until when requests may start on the engine's version. */
  expiresAt: number;
  bound: number;
  position: number;
}

/**
 * Whether the engine should leave a version out, as a newer one will be here before its own expires. Of versions that
 * follow closely only the newest is taken: each switch costs service. Of others a third leave the older one out, so that
 * some engines serve while the rest go over.
 */
export function shouldSkip(timing: SkipTiming): boolean {
  const { namedAt, newestNamedAt, newestCompleteAt, expiresAt, bound, position } = timing;
  if (newestCompleteAt > expiresAt - SKIP_MARGIN) return false;
  return newestNamedAt - namedAt < CLOSE_NAMING_SHARE * bound || position % SKIP_EVERY === SKIP_EVERY - 1;
}
