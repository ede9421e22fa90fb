/**
 * Decides which entry draws (fetches) which piece of a version from the origin, and when. The entries have an order for
 * each version. Each learns which pieces others hold or are drawing with a delay of some tens of milliseconds.
 *
 * It handles an origin that becomes unavailable before the first copy is complete. The origin's link carries one copy in
 * about three seconds. All entries that take over would fetch then, and again when the origin returns. In one such outage
 * with 12 entries, 101 pieces were fetched after the return although 23 were missing, and 11 more were abandoned in flight,
 * 2.9 copies in all. Therefore a piece in flight to any entry is left to that entry, and only the
 * first entry in the order fetches several pieces at a time. Pure; times are in milliseconds.
 */
import { rendezvousOrder } from '../model/random.js';

/** The next entry in the order takes over when no piece has arrived for this long; applies to the first three takeovers. */
const TAKEOVER_DELAY = 300;
export const QUICK_TAKEOVERS = 3;
/** Each further entry waits this much longer. */
const LATE_TAKEOVER_DELAY = 1_200;
/** Extra delay if another entry holds or draws pieces: they come from there, and a second fetch would halve both rates. */
const DRAWN_ELSEWHERE_DELAY = 300;
/** Extra delay if engines already hold the version. */
const SERVED_DELAY = 10_000;
/** Concurrent pieces of the first entry in the order: a piece in flight hides the latency of the next request. */
const FIRST_PARALLEL = 5;
/** Concurrent pieces of each other entry: even if all of them fetch, a piece arrives within its timeout of 1.5 s. */
const TAKEOVER_PARALLEL = 1;
/**
 * Time without a piece after which the first entry in the order also fetches pieces that others are reported to hold or
 * draw; each next entry does so one step later. A holder that was disconnected is still reported for seconds, although its
 * pieces are not available. The value is above the transfer time of a batch over a shared link.
 */
const REDUNDANT_DRAW_DELAY = 700;
/** Number of entries that do so: with more, a slow link would cause one extra copy for each. */
const MAX_REDUNDANT_DRAWERS = 4;
/**
 * Longest time between two attempts of the first entries in the order while the origin is unavailable: everything waits for
 * its return. One entry more than the first, which may be the one that is cut off.
 */
const PROBE_INTERVAL = 200;
const PROBING_ENTRIES = 2;
/** The same for all others. */
const LATE_PROBE_INTERVAL = 500;
/** Offset between the first pieces of consecutive entries, as a share of the pieces left (golden ratio, for any number). */
const DRAW_STRIDE = 0.618;

/** An entry that may fetch from the origin. */
export interface Drawer {
  id: string;
  /** Bandwidth of its link in Mbit/s; 0 if unknown. */
  linkRate: number;
}

/**
 * The order in which entries fetch the version `key`: by bandwidth, in classes of a factor of two, and by rendezvous hash
 * within a class. The first entry of a zone forwards pieces to the others there; in a random order it had 28 Mbit/s while
 * another had 140. On three small sites, the first engine had the version 0.05 to 0.5 s sooner in one
 * comparison each, which is within the variation between starts.
 */
export function drawOrder(key: string, entries: readonly Drawer[]): string[] {
  const classOf = new Map(
    entries.map(({ id, linkRate }) => [id, Math.floor(Math.log2(Math.max(1, linkRate)))]),
  );
  const byHash = rendezvousOrder(key, [...classOf.keys()]);
  return byHash.sort((one, other) => classOf.get(other)! - classOf.get(one)!);
}

/** Situation of an entry among those that may fetch a version. */
export interface DrawSituation {
  /** Its position in the order of all entries, from 0. */
  place: number;
  /** True if engines serve the version, so that a nearer source exists. */
  isServed: boolean;
  /** True if another entry holds or draws some of its pieces. */
  isDrawnElsewhere: boolean;
}

/** Time without a piece after which the entry at position `place` takes over. */
export function drawDelay(place: number): number {
  const quick = Math.min(place, QUICK_TAKEOVERS) * TAKEOVER_DELAY;
  return quick + Math.max(0, place - QUICK_TAKEOVERS) * LATE_TAKEOVER_DELAY;
}

/** How an entry fetches from the origin. */
export interface DrawPlan {
  /** The entry fetches only if no piece has arrived from any source for this long. */
  patience: number;
  /** Maximum number of concurrent pieces. */
  parallel: number;
  /** Longest time between two attempts while the origin is unavailable. */
  retryInterval: number;
  /** Position of the first piece to fetch among `pieces` that are left. */
  firstOf(pieces: number): number;
}

/** The plan of an entry in this situation. */
export function drawPlan({ place, isServed, isDrawnElsewhere }: DrawSituation): DrawPlan {
  const served = isServed ? SERVED_DELAY : 0;
  const drawn = place > 0 && isDrawnElsewhere ? DRAWN_ELSEWHERE_DELAY : 0;
  return {
    patience: served + drawn + drawDelay(place),
    parallel: place === 0 ? FIRST_PARALLEL : TAKEOVER_PARALLEL,
    retryInterval: place < PROBING_ENTRIES ? PROBE_INTERVAL : LATE_PROBE_INTERVAL,
    firstOf: (pieces) => Math.floor(((place * DRAW_STRIDE) % 1) * pieces),
  };
}

/**
 * Whether a piece is fetched from the origin.
 * @param isElsewhere - whether another process is known to hold or draw it
 * @param quietFor - time since the latest piece arrived
 * @param place - position of this entry in the order of all entries that draw, from 0
 */
export function isDrawn(isElsewhere: boolean, quietFor: number, place: number): boolean {
  if (!isElsewhere) return true;
  return place < MAX_REDUNDANT_DRAWERS && quietFor >= REDUNDANT_DRAW_DELAY * (1 + place);
}
