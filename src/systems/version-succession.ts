/**
 * Decides which of several versions named in close succession goes first. A version that is named while its predecessor is
 * incomplete must not take the origin's link from it: engines would serve neither once the version they hold expires. With two
 * versions named 3 s apart and the origin unavailable from 2.5 to 9 s, drawing both together completed the first one 0.7 s later,
 * which is most of what is left until the engines' version expires. Pure; times are in milliseconds.
 */

/** A predecessor that expires sooner than this is not worth completing: an engine has hardly loaded it by then. */
const MIN_USEFUL_TIME = 1_000;
/**
 * A version waits this long for a predecessor of which no piece arrives. Entries take over a fetch from the origin after 0.9 s at
 * most, and the origin may refuse the predecessor for good.
 */
const PREDECESSOR_PATIENCE = 1_000;

/** A version and the state of the incomplete version that was named before it. */
export interface Precedence {
  /** Number of the predecessor's pieces that no process holds or draws. */
  undrawn: number;
  /** Time until the predecessor expires; negative once it has. */
  expiresIn: number;
  /** Time since the last piece of the predecessor arrived here. */
  sincePredecessorPiece: number;
  /** Time since the manifest of the version was found here. */
  sinceStart: number;
}

/** Whether a version leaves the origin to its predecessor for now. */
export function waitsForPredecessor(precedence: Precedence): boolean {
  const { undrawn, expiresIn, sincePredecessorPiece, sinceStart } = precedence;
  if (undrawn === 0 || expiresIn < MIN_USEFUL_TIME) return false;
  return Math.min(sincePredecessorPiece, sinceStart) < PREDECESSOR_PATIENCE;
}

/** When an older version and the newest one are available to an engine. */
export interface Alternatives {
  /** Time until the older version is complete here; 0 if it is. */
  completesIn: number;
  /** Time until requests may no longer start on it. */
  expiresIn: number;
  /** Time until the newest version is complete here; infinite if its fetch is stalled or has not begun. */
  newestCompletesIn: number;
}

/**
 * Whether an engine that may start no request on what it holds loads an older version before the newest one: it serves long
 * enough until that is complete.
 */
export function servesInBetween({ completesIn, expiresIn, newestCompletesIn }: Alternatives): boolean {
  return Math.min(expiresIn, newestCompletesIn) - completesIn >= MIN_USEFUL_TIME;
}
