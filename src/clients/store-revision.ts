/**
 * A position in the history of the platform's store: an era and a version within it. A store that is restored from an older
 * copy begins a new era; its versions go back and are assigned again, so versions alone do not order what was read.
 *
 * Era and version are combined into one number, so that revisions are compared, stored and sent like the versions of a store
 * that never goes back; a revision of a later era is greater. The store's client determines the era.
 */

/** Number of versions in an era: 2^42, which is 1,000 per second for 139 years. */
const VERSIONS_PER_ERA = 2 ** 42;
/** Number of eras that fit into a safe integer together with the versions. */
const MAX_ERAS = 2 ** 11;

/** A position in the store's history; 0 is before its beginning. */
export type StoreRevision = number;

/** Combines `era` and `version`; undefined if one of them is not an integer in its range. */
export function storeRevision(era: number, version: number): StoreRevision | undefined {
  const isInRange = isIntegerBelow(era, MAX_ERAS) && isIntegerBelow(version, VERSIONS_PER_ERA);
  return isInRange ? era * VERSIONS_PER_ERA + version : undefined;
}

/** The era of a revision. */
export function eraOf(revision: StoreRevision): number {
  return Math.floor(revision / VERSIONS_PER_ERA);
}

/** The version of a revision within its era. */
export function versionOf(revision: StoreRevision): number {
  return revision % VERSIONS_PER_ERA;
}

function isIntegerBelow(number: number, bound: number): boolean {
  return Number.isInteger(number) && number >= 0 && number < bound;
}
