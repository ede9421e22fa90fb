/** The entries that an agent tries as its home entry, in order of preference. */
import { rendezvousOrder } from '../model/random.js';
import type { EntryInfo } from '../protocol/messages.js';
import type { PeerInfo } from '../systems/distribution/transfer.js';
import type { ConfiguredEntry } from '../systems/entry-topology.js';

/** Addresses of the reported entries that are not leaving; the configured ones if there are none. */
export function liveEntries(
  configured: readonly ConfiguredEntry[],
  reported: readonly EntryInfo[],
): string[] {
  const live = reported.filter((entry) => !entry.leaving).map((entry) => entry.address);
  return live.length > 0 ? live : configured.map((entry) => entry.address);
}

/** Addresses of the entries in the agent's zone, then of those in its place, then of the others; each group by rendezvous hash. */
export function homeCandidates(
  self: PeerInfo,
  configured: readonly ConfiguredEntry[],
  reported: readonly EntryInfo[],
): string[] {
  const known = new Map<string, { zone: string; place?: string }>();
  for (const entry of [...configured, ...reported]) known.set(entry.address, entry);
  const distance = (address: string): number => {
    const entry = known.get(address);
    if (entry?.zone === self.zone) return 0;
    return entry?.place === self.place ? 1 : 2;
  };
  const order = rendezvousOrder(self.id, liveEntries(configured, reported));
  return order.sort((a, b) => distance(a) - distance(b));
}
