/** Chooses the entries of which the directory tells a caller. */

/** Maximum number of entries in one answer to a caller. */
const MAX_ENTRIES = 64;
/** Number of entries of a zone or region that are enough to name no others, so that the loss of one leaves another. */
const ENOUGH_ENTRIES = 2;

/** Where a caller or an entry is. */
export interface Location {
  zone: string;
  region: string;
}

/**
 * The entries for a caller: those of its zone, or else of its region, if there are at least two; otherwise all.
 * @param ready - the entries that accept requests
 */
export function entriesFor<Entry extends Location>(caller: Location, ready: readonly Entry[]): Entry[] {
  const ofRegion = ready.filter(({ region }) => region === caller.region);
  const ofZone = ofRegion.filter(({ zone }) => zone === caller.zone);
  const chosen = [ofZone, ofRegion].find(({ length }) => length >= ENOUGH_ENTRIES) ?? ready;
  return chosen.slice(0, MAX_ENTRIES);
}
