/**
 * Topology of the connections between entries. The entries of a zone are fully connected. Each pair of zones is connected
 * by one link, maintained by the entry that rendezvous hashing selects among the live entries of the zone with the lower
 * name, so that the links to other zones are spread over a zone's entries. Redundant links cause extra messages but no
 * errors, so the entries need no agreement.
 */
import { rendezvousOrder } from '../model/random.js';

/** An entry as configured in the settings. */
export interface ConfiguredEntry {
  /** `host:port` for connections from the system's own processes. */
  address: string;
  zone: string;
}

/** What an entry knows about its connections. */
export interface TopologyView {
  self: ConfiguredEntry;
  configured: readonly ConfiguredEntry[];
  /** Entries that are connected or being dialled. */
  connected: readonly ConfiguredEntry[];
  /** Entries that recently did not accept a connection; others of their zone are tried first. */
  unreachable: ReadonlySet<string>;
  /** False while entries of the own zone may not have had time to connect yet. */
  knowsOwnZone: boolean;
}

/** Whether no connected entry of the own zone has a lower address. */
export function isFirstOfZone(self: ConfiguredEntry, connected: readonly ConfiguredEntry[]): boolean {
  return connected.every((entry) => entry.zone !== self.zone || entry.address > self.address);
}

/** Whether this entry is the one of its zone's live entries that maintains the link to `zone`. */
export function isLinkedTo(
  zone: string,
  self: ConfiguredEntry,
  connected: readonly ConfiguredEntry[],
): boolean {
  const live = connected.filter((entry) => entry.zone === self.zone).map((entry) => entry.address);
  return rendezvousOrder(zone, [self.address, ...live])[0] === self.address;
}

/** The entries to dial now. The entry with the lower address (or, between zones, in the zone with the lower name) dials. */
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

/** The first entry of a zone, in rendezvous order, that is not unreachable; the first of all if every one is. */
function firstReachable(zone: string, { self, configured, unreachable }: TopologyView): ConfiguredEntry[] {
  const ofZone = configured.filter((entry) => entry.zone === zone);
  const order = rendezvousOrder(
    self.zone,
    ofZone.map((entry) => entry.address),
  );
  const address = order.find((candidate) => !unreachable.has(candidate)) ?? order[0];
  return ofZone.filter((entry) => entry.address === address);
}

/** The entry with the lowest address of each zone, ignoring entries that are leaving. */
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
