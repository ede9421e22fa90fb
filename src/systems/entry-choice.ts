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
 *
 * Requests whose regions are named must not go through other regions. Where there may be such requests, a caller whose region
 * has one entry gets that one alone, and one whose region has none gets those of the regions that most of the lists allow.
 * @param ready - the entries that accept requests
 * @param allowed - the lists of regions of the caller's possible routes and tenants, without those that allow any
 */
export function entriesFor<Entry extends Location>(
  caller: Location,
  ready: readonly Entry[],
  allowed: ReadonlyArray<ReadonlySet<string>> = [],
): Entry[] {
  const ofRegion = ready.filter(({ region }) => region === caller.region);
  const ofZone = ofRegion.filter(({ zone }) => zone === caller.zone);
  const enough = [ofZone, ofRegion].find(({ length }) => length >= ENOUGH_ENTRIES);
  const others = allowed.length > 0 && ofRegion.length > 0 ? ofRegion : mostAllowed(ready, allowed);
  return (enough ?? others).slice(0, MAX_ENTRIES);
}

/** The entries of the regions that the greatest number of lists contains. */
function mostAllowed<Entry extends Location>(
  ready: readonly Entry[],
  allowed: ReadonlyArray<ReadonlySet<string>>,
): readonly Entry[] {
  const listsWith = ({ region }: Entry) => allowed.filter((regions) => regions.has(region)).length;
  const most = Math.max(...ready.map(listsWith));
  return ready.filter((entry) => listsWith(entry) === most);
}
