/**
 * Distribution tree of a version over the entries of a zone while one of them fetches it. All other entries want each piece
 * as soon as it arrives. If all fetched it from the first entry, that entry's link would carry one copy for each: 19
 * copies of 2.4 MB over 40 Mbit/s take 9 s, but a version must serve within 8 s. Instead, each entry fetches pieces from
 * an entry before it in the zone's order and forwards them to a few others. Only as many entries hold a copy as the
 * engines of the zone need.
 */

/**
 * Entries that fetch pieces from the same one. Three copies of 2.4 MB over 40 Mbit/s take 1.4 s, and a tree of 20 entries
 * is 3 levels deep.
 */
const FAN_OUT = 3;
/** Engines served by one entry's copy. By the users' specifications, an entry's link has four times an agent's bandwidth. */
const ENGINES_PER_COPY = 3;
/** Additional entries that hold a copy, so that some may be lost. */
const SPARE_COPIES = 2;

/** Position of the entry from which the entry at position `place` of the zone's order fetches; undefined for the first. */
export function parentOf(place: number): number | undefined {
  return place <= 0 ? undefined : Math.floor((place - 1) / FAN_OUT);
}

/** Whether the entry at position `place` of the zone's order (from 0) holds a copy, given the engines of the zone. */
export function holdsCopy(place: number, engines: number): boolean {
  return place < Math.ceil(engines / ENGINES_PER_COPY) + SPARE_COPIES;
}
