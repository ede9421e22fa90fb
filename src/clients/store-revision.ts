/**
 * A place in the history of a platform's store: its era, and the version within it. A store that comes back from an older copy
 * of itself begins a new era; its versions go back and are given out again, so that versions alone do not order what was read.
 *
 * Both are kept in one number, by which places are compared, kept and sent like the versions of a store that never goes back:
 * whatever is of a later era is later. Which eras there are is the affair of the store's client.
 */

/** Versions within an era: 2^42, a thousand a second for 139 years. */
const VERSIONS_PER_ERA = 2 ** 42;
/** Eras that fit into a whole number with them. */
const MAX_ERAS = 2 ** 11;

/** A place in the store's history; 0 is before its beginning. */
export type StoreRevision = number;

/** The place of `version` in `era`; undefined where they are no whole numbers of the range. */
export function storeRevision(era: number, version: number): StoreRevision | undefined {
  const isInRange = isIntegerBelow(era, MAX_ERAS) && isIntegerBelow(version, VERSIONS_PER_ERA);
  return isInRange ? era * VERSIONS_PER_ERA + version : undefined;
}

/** The era of a place. */
export function eraOf(revision: StoreRevision): number {
  return Math.floor(revision / VERSIONS_PER_ERA);
}

/** The version of a place within its era. */
export function versionOf(revision: StoreRevision): number {
  return revision % VERSIONS_PER_ERA;
}

function isIntegerBelow(number: number, bound: number): boolean {
  return Number.isInteger(number) && number >= 0 && number < bound;
}
