/**
 * One entry's view of all entries and of the agents they are home to. Each entry maintains a record of its own
 * ({@link HomeRecord}). Records are propagated over links between entries, in at most three hops: from the home to the
 * entries of its zone, from one of these to an entry of another zone, and from there to the entries of that zone.
 *
 * On each link, an entry *offers* records. Within its zone it offers its own record and those received from other
 * zones; to other zones it offers its own record and those that entries of its zone offer of themselves. Each entry
 * forwards a version at most once, so updates cannot loop, however many links there are between two zones. A record that
 * is no longer offered on any link is dropped after a grace period. Periodic digests of the offered records detect
 * differences.
 *
 * ```ts
 * const membership = new Membership(self, { send, onAgentsChanged, onEntriesChanged });
 * membership.linkOpened('10.0.0.2:7000#1f', 'near');
 * membership.publish([status], []);
 * membership.sendOwnNews();
 * ```
 */
import type { AgentStatus, EntryInfo, HomeUpdate, MembershipMessage } from '../../protocol/messages.js';
import { type AgentCandidate, AgentCandidates } from './agent-candidates.js';
import { classifyNews, digestPart, fullRecordNews, type HomeRecord } from './home-record.js';
import { LINK_CLASSES, type LinkClass, type OfferLink, Offers } from './offers.js';

/** Time for which the agents of a dead entry are kept, so that they can report to another home, in milliseconds. */
export const DEAD_ENTRY_GRACE = 5_000;
/** Time for which records that no link offers are kept if their entry is not known to be dead, in milliseconds. */
export const UNREACHABLE_GRACE = 10_000;

/** Callbacks of a {@link Membership}. */
export interface MembershipOutput {
  /** Sends a message to the entry at the other end of a link. */
  send(link: string, message: MembershipMessage): void;
  /** The current agents at these addresses may have changed. */
  onAgentsChanged(addresses: ReadonlySet<string>): void;
  /** An entry was added, changed or removed. */
  onEntriesChanged(): void;
}

/** The pending removal of a record that no link offers. */
interface Retirement {
  /** When the record is removed. */
  at: number;
  /** True if the entry is known to be dead; callers are then no longer sent to it. */
  died: boolean;
}

/** Published changes that have not been sent yet: identities of agents, and the entry's own info if it changed. */
interface UnsentNews {
  changed: Set<string>;
  gone: Set<string>;
  info: EntryInfo | undefined;
}

/** One entry's view of the membership. */
export class Membership {
  readonly #output: MembershipOutput;
  readonly #own: HomeRecord;
  #unsent: UnsentNews = { changed: new Set(), gone: new Set(), info: undefined };
  readonly #records = new Map<string, HomeRecord>();
  readonly #candidates = new AgentCandidates();
  readonly #offers: Offers;
  readonly #retirements = new Map<string, Retirement>();

  constructor(self: EntryInfo, output: MembershipOutput) {
    this.#own = { info: self, version: 1, agents: new Map() };
    this.#records.set(self.id, this.#own);
    this.#output = output;
    this.#offers = new Offers(self.id);
  }

  /** The other entries to which callers may be sent. */
  get entries(): EntryInfo[] {
    const others = [...this.#records.values()].filter((record) => record !== this.#own);
    return others.filter(({ info }) => !this.#retirements.get(info.id)?.died).map(({ info }) => info);
  }

  /** The current agent at an address, and the zone of its home. */
  agentAt(address: string): (AgentCandidate & { homeZone: string }) | undefined {
    const best = this.#candidates.best(address);
    return best && { ...best, homeZone: this.#records.get(best.home)!.info.zone };
  }

  /** Whether any link other than `without` offers a record of the zone. */
  isZoneOffered(zone: string, without?: string): boolean {
    return [...this.#offers.links.values()].some((link) => {
      return link.id !== without && this.#offeredOf(link, zone).length > 0;
    });
  }

  /**
   * Updates the own record with statuses of agents homed here and the identities of agents that are gone. The change
   * takes effect here immediately; {@link sendOwnNews} sends it to the other entries.
   */
  publish(statuses: readonly AgentStatus[], gone: readonly string[]): void {
    const changed = this.#change(this.#own, statuses, gone);
    for (const id of gone) {
      this.#unsent.changed.delete(id);
      this.#unsent.gone.add(id);
    }
    for (const { info } of statuses) {
      this.#unsent.gone.delete(info.id);
      this.#unsent.changed.add(info.id);
    }
    if (changed.size > 0) this.#output.onAgentsChanged(changed);
  }

  /** Updates this entry's own info in its record. */
  publishSelf(info: EntryInfo): void {
    this.#own.info = info;
    this.#unsent.info = info;
  }

  /** Sends the changes published since the last call as the next version of the record. */
  sendOwnNews(): void {
    const { changed, gone, info } = this.#unsent;
    if (changed.size + gone.size === 0 && info === undefined) return;
    this.#unsent = { changed: new Set(), gone: new Set(), info: undefined };
    const base = this.#own.version++;
    const statuses = [...changed].map((id) => this.#own.agents.get(id)!);
    const home = this.#own.info.id;
    const news: HomeUpdate = {
      type: 'homeNews',
      home,
      info,
      base,
      version: base + 1,
      statuses,
      gone: [...gone],
    };
    for (const linkClass of LINK_CLASSES) this.#sendToClass(linkClass, news);
  }

  /** Handles a new link to another entry. */
  linkOpened(id: string, linkClass: LinkClass): void {
    const link = this.#offers.open(id, linkClass);
    for (const record of this.#offeredTo(linkClass)) this.#output.send(id, fullRecordNews(record));
    if (linkClass === 'far') this.#sendOffered(link, this.#own.info.zone);
  }

  /** Handles the loss of a link. An entry of the own zone is then considered dead, those of other zones unreachable. */
  linkLost(id: string, now: number): void {
    const link = this.#offers.links.get(id);
    if (link === undefined) return;
    for (const home of [...link.offered.keys()]) {
      this.#withdraw(link, home, link.linkClass === 'near' && home === id, now);
    }
    this.#offers.links.delete(id);
  }

  /** Handles a message received over a link. */
  receive(id: string, message: MembershipMessage, now: number): void {
    const link = this.#offers.links.get(id);
    if (link === undefined) return;
    switch (message.type) {
      case 'homeNews':
        return this.#onNews(link, message);
      case 'homesGone':
        for (const home of message.homes) this.#withdraw(link, home, message.died, now);
        return;
      case 'homesDigest':
        return this.#onDigest(link, new Map(message.digests));
      case 'homesWanted':
        return this.#sendOffered(link, message.zone);
      case 'homesOffered':
        return this.#onOffered(link, message.zone, new Map(message.homes), now);
      case 'homeWanted':
        return this.#onWanted(link, message.home);
    }
  }

  /** Drops the records whose grace period has ended. */
  expire(now: number): void {
    for (const [home, { at }] of this.#retirements) {
      if (at > now) continue;
      this.#retirements.delete(home);
      const record = this.#records.get(home)!;
      const addresses = [...record.agents.values()].map((status) => this.#candidates.delete(home, status));
      this.#records.delete(home);
      this.#output.onAgentsChanged(new Set(addresses));
      this.#output.onEntriesChanged();
    }
  }

  /** Sends a digest of the offered records on each link, so that the other side can detect differences. */
  sendDigests(): void {
    for (const linkClass of LINK_CLASSES) {
      const offered = this.#offeredTo(linkClass);
      const rows = offered.map(({ info, version }): DigestRow => [info.zone, info.id, version]);
      this.#sendToClass(linkClass, { type: 'homesDigest', digests: [...digestsByZone(rows)] });
    }
  }

  #onNews(link: OfferLink, news: HomeUpdate): void {
    const { home, version } = news;
    if (home === this.#own.info.id) return;
    const before = this.#offers.classesFor(home);
    const outcome = this.#apply(news);
    if (outcome === 'gap') return this.#output.send(link.id, { type: 'homeWanted', home });
    link.offered.set(home, version);
    this.#cancelRetirement(home);
    for (const linkClass of this.#offers.classesFor(home)) {
      // Entries to which the record was not offered before may have no copy of it.
      if (!before.has(linkClass)) this.#sendToClass(linkClass, fullRecordNews(this.#records.get(home)!));
      else if (outcome === 'applied') this.#sendToClass(linkClass, news);
    }
  }

  #apply(news: HomeUpdate): 'applied' | 'known' | 'gap' {
    const { home, info, base, version, statuses, gone } = news;
    const known = this.#records.get(home);
    const outcome = classifyNews(known, news);
    if (outcome !== 'applied') return outcome;
    const record = known ?? { info: info!, version, agents: new Map<string, AgentStatus>() };
    this.#records.set(home, record);
    record.version = version;
    const named = new Set(statuses.map((status) => status.info.id));
    const removed = base === 0 ? [...record.agents.keys()].filter((id) => !named.has(id)) : gone;
    const changed = this.#change(record, statuses, removed);
    if (info !== undefined) record.info = info;
    if (changed.size > 0) this.#output.onAgentsChanged(changed);
    if (info !== undefined) this.#output.onEntriesChanged();
    return outcome;
  }

  /** Changes the agents of a record; returns the addresses at which the current agent may have changed. */
  #change(record: HomeRecord, statuses: readonly AgentStatus[], gone: readonly string[]): Set<string> {
    const home = record.info.id;
    const changed = new Set<string>();
    for (const id of gone) {
      const status = record.agents.get(id);
      if (status === undefined) continue;
      record.agents.delete(id);
      changed.add(this.#candidates.delete(home, status));
    }
    for (const status of statuses) {
      record.agents.set(status.info.id, status);
      changed.add(this.#candidates.set(home, status));
    }
    return changed;
  }

  /** Handles that a link no longer offers a home's record. */
  #withdraw(link: OfferLink, home: string, died: boolean, now: number): void {
    const before = this.#offers.classesFor(home);
    if (!link.offered.delete(home)) {
      if (died) this.#markDied(home, now);
      return;
    }
    const after = this.#offers.classesFor(home);
    for (const linkClass of before) {
      if (!after.has(linkClass)) this.#sendToClass(linkClass, { type: 'homesGone', homes: [home], died });
    }
    if (this.#offers.isOffered(home)) return;
    this.#retirements.set(home, { at: now + (died ? DEAD_ENTRY_GRACE : UNREACHABLE_GRACE), died });
    if (died) this.#output.onEntriesChanged();
  }

  /** Marks an unreachable entry as dead; returns whether it was marked now. */
  #markDied(home: string, now: number): boolean {
    const retirement = this.#retirements.get(home);
    if (retirement === undefined || retirement.died) return false;
    this.#retirements.set(home, { at: Math.min(retirement.at, now + DEAD_ENTRY_GRACE), died: true });
    this.#output.onEntriesChanged();
    return true;
  }

  #cancelRetirement(home: string): void {
    const retirement = this.#retirements.get(home);
    if (retirement === undefined) return;
    this.#retirements.delete(home);
    if (retirement.died) this.#output.onEntriesChanged();
  }

  #onDigest(link: OfferLink, received: ReadonlyMap<string, number>): void {
    const offered = [...link.offered].map(
      ([home, version]): DigestRow => [this.#records.get(home)!.info.zone, home, version],
    );
    const known = digestsByZone(offered);
    for (const zone of new Set([...received.keys(), ...known.keys()])) {
      if (received.get(zone) !== known.get(zone)) this.#output.send(link.id, { type: 'homesWanted', zone });
    }
  }

  #sendOffered(link: OfferLink, zone: string): void {
    const offered = this.#offeredTo(link.linkClass).filter(({ info }) => info.zone === zone);
    const homes = offered.map(({ info, version }): [string, number] => [info.id, version]);
    this.#output.send(link.id, { type: 'homesOffered', zone, homes });
  }

  #onOffered(link: OfferLink, zone: string, homes: ReadonlyMap<string, number>, now: number): void {
    for (const home of this.#offeredOf(link, zone)) {
      if (!homes.has(home)) this.#withdraw(link, home, false, now);
    }
    if (link.linkClass === 'far') this.#markMissingAsDied(zone, homes, now);
    for (const [home, version] of homes) {
      const known = this.#records.get(home);
      if (link.offered.get(home) === version || known === this.#own) continue;
      const { info } = known ?? {};
      // Handled as an update without changes if this version is known, and as a gap otherwise.
      this.#onNews(link, { type: 'homeNews', home, info, base: version, version, statuses: [], gone: [] });
    }
  }

  /** Marks as dead the unreachable entries of a zone that the zone no longer lists. */
  #markMissingAsDied(zone: string, homes: ReadonlyMap<string, number>, now: number): void {
    for (const home of this.#retirements.keys()) {
      const isOfZone = this.#records.get(home)!.info.zone === zone;
      if (!isOfZone || homes.has(home) || !this.#markDied(home, now)) continue;
      this.#sendToClass('near', { type: 'homesGone', homes: [home], died: true });
    }
  }

  #onWanted(link: OfferLink, home: string): void {
    const record = this.#records.get(home);
    if (record !== undefined && this.#offers.isOfferedTo(link.linkClass, home)) {
      return this.#output.send(link.id, fullRecordNews(record));
    }
    this.#output.send(link.id, { type: 'homesGone', homes: [home], died: false });
  }

  #offeredTo(linkClass: LinkClass): HomeRecord[] {
    return [...this.#records.values()].filter(({ info }) => this.#offers.isOfferedTo(linkClass, info.id));
  }

  #offeredOf(link: OfferLink, zone: string): string[] {
    return [...link.offered.keys()].filter((home) => this.#records.get(home)?.info.zone === zone);
  }

  #sendToClass(linkClass: LinkClass, message: MembershipMessage): void {
    for (const link of this.#offers.linksOf(linkClass)) this.#output.send(link.id, message);
  }
}

type DigestRow = [zone: string, home: string, version: number];

/** Combines the rows into one digest for each zone. */
function digestsByZone(rows: readonly DigestRow[]): Map<string, number> {
  const digests = new Map<string, number>();
  for (const [zone, home, version] of rows) {
    digests.set(zone, ((digests.get(zone) ?? 0) ^ digestPart(home, version)) >>> 0);
  }
  return digests;
}
