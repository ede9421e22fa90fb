/**
 * Which entries are connected. Entries of a zone are connected all to all. Of each zone the live entry with the lowest
 * address is its relay: it alone is connected to other zones, to the lowest live entry of each. Two relays at once
 * cost messages, never correctness, so nothing has to be agreed.
 */

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
}

/** True when no connected entry of the own zone has a lower address. */
export function isRelay(self: ConfiguredEntry, connected: readonly ConfiguredEntry[]): boolean {
  return connected.every((entry) => entry.zone !== self.zone || entry.address > self.address);
}

/** The entries to dial now. Of two sides the one with the lower address, or zone, dials. */
export function entriesToDial(view: TopologyView): ConfiguredEntry[] {
  const { self, configured, connected } = view;
  const known = new Set(connected.map((entry) => entry.address));
  const ownZone = configured.filter((entry) => {
    return entry.zone === self.zone && entry.address > self.address && !known.has(entry.address);
  });
  if (!isRelay(self, connected)) return ownZone;
  const linkedZones = new Set(connected.map((entry) => entry.zone));
  const zones = new Set(configured.map((entry) => entry.zone));
  const missing = [...zones].filter((zone) => zone > self.zone && !linkedZones.has(zone));
  return [...ownZone, ...missing.flatMap((zone) => firstReachable(zone, view))];
}

/** The lowest entry of a zone that has not just failed; the lowest of all when every one has. */
function firstReachable(zone: string, { configured, unreachable }: TopologyView): ConfiguredEntry[] {
  const ofZone = configured
    .filter((entry) => entry.zone === zone)
    .sort((a, b) => (a.address < b.address ? -1 : 1));
  return [ofZone.find((entry) => !unreachable.has(entry.address)) ?? ofZone[0]];
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
