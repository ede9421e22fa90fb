/** Which entries an agent tries as its home, and in which order. */
import { rendezvousOrder } from '../model/random.js';
import type { EntryInfo } from '../protocol/messages.js';
import type { PeerInfo } from '../systems/distribution/transfer.js';
import type { ConfiguredEntry } from '../systems/entry-topology.js';

/** Addresses of the entries that are not leaving; the settings' list until the home entry told others. */
export function liveEntries(
  configured: readonly ConfiguredEntry[],
  reported: readonly EntryInfo[],
): string[] {
  const live = reported.filter((entry) => !entry.leaving).map((entry) => entry.address);
  return live.length > 0 ? live : configured.map((entry) => entry.address);
}

/** The entries of the own zone first, then those of the own place; among equals by rendezvous hash. */
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
