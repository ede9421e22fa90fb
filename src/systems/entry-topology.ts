/**
 * Which entries are connected. Entries of a zone are connected all to all. Each pair of zones is connected by one link,
 * kept by the entry that rendezvous hashing chooses among the live ones of the zone with the lower name; so the links
 * to other zones are spread over a zone's entries. Two links at once cost messages, never correctness, so nothing has
 * to be agreed.
 */
import { rendezvousOrder } from '../model/random.js';

/** An entry as the settings give it. */
export interface ConfiguredEntry {
  /** `host:port` for the system's own processes. */
  address: string;
  zone: string;
}

/** What an entry knows of its connections. */
export interface TopologyView {
  self: ConfiguredEntry;
  configured: readonly ConfiguredEntry[];
  /** Entries that are connected, or being dialled. */
  connected: readonly ConfiguredEntry[];
  /** Entries that took no connection lately; others of their zone are tried first. */
  unreachable: ReadonlySet<string>;
  /** False while entries of the own zone may just not have been connected yet. */
  knowsOwnZone: boolean;
}

/** True when no connected entry of the own zone has a lower address. */
export function isFirstOfZone(self: ConfiguredEntry, connected: readonly ConfiguredEntry[]): boolean {
  return connected.every((entry) => entry.zone !== self.zone || entry.address > self.address);
}

/** True when this entry, of the live ones of its zone, is to be linked to `zone`. */
export function isLinkedTo(
  zone: string,
  self: ConfiguredEntry,
  connected: readonly ConfiguredEntry[],
): boolean {
  const live = connected.filter((entry) => entry.zone === self.zone).map((entry) => entry.address);
  return rendezvousOrder(zone, [self.address, ...live])[0] === self.address;
}

/** The entries to dial now. Of two sides the one with the lower address, or zone, dials. */
export function entriesToDial(view: TopologyView): ConfiguredEntry[] {
  const { self, configured, connected, knowsOwnZone } = view;
  const known = new Set(connected.map((entry) => entry.address));
  const ownZone = configured.filter((entry) => {
    return entry.zone === self.zone && entry.address > self.address && !known.has(entry.address);
  });
  if (!knowsOwnZone) return ownZone;
  const linkedZones = new Set(connected.map((entry) => entry.zone));
  const zones = new Set(configured.map((entry) => entry.zone));
  const missing = [...zones].filter((zone) => {
    return zone > self.zone && !linkedZones.has(zone) && isLinkedTo(zone, self, connected);
  });
  return [...ownZone, ...missing.flatMap((zone) => firstReachable(zone, view))];
}

/** The entry of a zone to be linked to that has not just failed; the first of all when every one has. */
function firstReachable(zone: string, { self, configured, unreachable }: TopologyView): ConfiguredEntry[] {
  const ofZone = configured.filter((entry) => entry.zone === zone);
  const order = rendezvousOrder(
    self.zone,
    ofZone.map((entry) => entry.address),
  );
  const address = order.find((candidate) => !unreachable.has(candidate)) ?? order[0];
  return ofZone.filter((entry) => entry.address === address);
}

/** The entry with the lowest address of each zone, of those that are not leaving. */
export function lowestOfEachZone<T extends ConfiguredEntry & { leaving: boolean }>(
  entries: readonly T[],
): T[] {
  const lowest = new Map<string, T>();
  for (const entry of entries) {
    const known = lowest.get(entry.zone);
    if (!entry.leaving && (known === undefined || entry.address < known.address))
      lowest.set(entry.zone, entry);
  }
  return [...lowest.values()];
}
