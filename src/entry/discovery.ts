/** The discovery answer: which entries a caller may use, and for how long it may cache the answer. */
import type { EntryInfo } from '../protocol/messages.js';

/** The answer of `GET /v1/entries`. */
export interface DiscoveryAnswer {
  /** `host:port` of each entry. */
  entries: Array<{ address: string; place: string; zone: string }>;
  /** Time for which the answer may be cached, in seconds. */
  validSeconds: number;
}

/** Returns the entries in `places` (any place if undefined) that are not leaving, in the order of `known`. */
export function discover(
  known: readonly EntryInfo[],
  places: readonly string[] | undefined,
  validSeconds: number,
): DiscoveryAnswer {
  const entries = known
    .filter((entry) => !entry.leaving)
    .filter((entry) => places === undefined || places.includes(entry.place))
    .map(({ callerAddress, place, zone }) => ({ address: callerAddress, place, zone }));
  return { entries, validSeconds };
}
