/**
 * Which entries there are and which agents they are home to, as one entry knows it. Each entry keeps a record of its
 * own ({@link HomeRecord}); records travel over links between entries, at most three of them: from the home to the
 * entries of its zone, from one of these to an entry of another zone, and from there to that zone's entries.
 *
 * On each link a side *offers* records: to its own zone its own one and those that it has from links to other zones;
 * to other zones its own one and those that entries of its zone offer of themselves. Each entry passes a version on at
 * most once, so news cannot circle, however many links there are between two zones. A record that no link offers any
 * more is dropped some time later. Digests of what is offered, sent now and then, find what differs.
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
import { digestPart, type HomeRecord, judgeNews, wholeNews } from './home-record.js';
import { LINK_CLASSES, type LinkClass, type OfferLink, Offers } from './offers.js';

/** Time for which the agents of an entry that died are kept, so that they can report elsewhere, in milliseconds. */
export const DIED_GRACE = 5_000;
/** Time for which records are kept that no link offers, though nobody saw their entry die, in milliseconds. */
export const UNREACHED_GRACE = 10_000;

/** What the membership asks of whoever runs it. */
export interface MembershipOutput {
  /** Sends to the entry at the other end of a link. */
  send(link: string, message: MembershipMessage): void;
  /** What counts at these addresses of agents may have changed. */
  onAgentsChanged(addresses: ReadonlySet<string>): void;
  /** An entry came, changed or went. */
  onEntriesChanged(): void;
}

interface Retirement {
  at: number;
  /** True when the entry was seen to go: it is then no address for callers any more. */
  died: boolean;
}

/** What was published and not sent yet: identities of agents, and the entry's word on itself if that changed. */
interface UnsentNews {
  changed: Set<string>;
  gone: Set<string>;
  info: EntryInfo | undefined;
}

/** The membership as one entry knows it. */
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

  /** The other entries that callers may be sent to. */
  get entries(): EntryInfo[] {
    const others = [...this.#records.values()].filter((record) => record !== this.#own);
    return others.filter(({ info }) => !this.#retirements.get(info.id)?.died).map(({ info }) => info);
  }

  /** Who counts at an agent's address, and the zone of its home. */
  agentAt(address: string): (AgentCandidate & { homeZone: string }) | undefined {
    const best = this.#candidates.best(address);
    return best && { ...best, homeZone: this.#records.get(best.home)!.info.zone };
  }

  /** Whether some link, other than `without`, offers a record of the zone. */
  hears(zone: string, without?: string): boolean {
    return [...this.#offers.links.values()].some((link) => {
      return link.id !== without && this.#offeredOf(link, zone).length > 0;
    });
  }

  /**
   * Changes the own record: agents homed here that have told something, and those that are gone. It counts here at
   * once; the others are told by {@link sendOwnNews}.
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

  /** Changes what the own record says of this entry itself. */
  publishSelf(info: EntryInfo): void {
    this.#own.info = info;
    this.#unsent.info = info;
  }

  /** Sends what was published since the last time, as the next version. */
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

  /** A link to another entry is open. */
  linkOpened(id: string, linkClass: LinkClass): void {
    const link = this.#offers.open(id, linkClass);
    for (const record of this.#offeredTo(linkClass)) this.#output.send(id, wholeNews(record));
    if (linkClass === 'far') this.#sendOffered(link, this.#own.info.zone);
  }

  /** A link is gone. An entry of the own zone is then taken for dead, those of other zones for out of reach. */
  linkLost(id: string, now: number): void {
    const link = this.#offers.links.get(id);
    if (link === undefined) return;
    for (const home of [...link.offered.keys()]) {
      this.#withdraw(link, home, link.linkClass === 'near' && home === id, now);
    }
    this.#offers.links.delete(id);
  }

  /** Takes a message in that came over a link. */
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

  /** Drops records that were out of reach for too long. */
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

  /** Sends each link a digest of what is offered there, so that the other side finds out what it lacks. */
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
    this.#reveal(home);
    for (const linkClass of this.#offers.classesFor(home)) {
      // Who was not offered the record before may know nothing of it.
      if (!before.has(linkClass)) this.#sendToClass(linkClass, wholeNews(this.#records.get(home)!));
      else if (outcome === 'applied') this.#sendToClass(linkClass, news);
    }
  }

  #apply(news: HomeUpdate): 'applied' | 'known' | 'gap' {
    const { home, info, base, version, statuses, gone } = news;
    const known = this.#records.get(home);
    const outcome = judgeNews(known, news);
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

  /** Changes the agents of a record; returns the addresses at which somebody else may count now. */
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

  /** A link offers a home's record no more. */
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
    if (this.#offers.isHeard(home)) return;
    this.#retirements.set(home, { at: now + (died ? DIED_GRACE : UNREACHED_GRACE), died });
    if (died) this.#output.onEntriesChanged();
  }

  /** An entry that was out of reach is now known to have died. */
  #markDied(home: string, now: number): boolean {
    const retirement = this.#retirements.get(home);
    if (retirement === undefined || retirement.died) return false;
    this.#retirements.set(home, { at: Math.min(retirement.at, now + DIED_GRACE), died: true });
    this.#output.onEntriesChanged();
    return true;
  }

  #reveal(home: string): void {
    const retirement = this.#retirements.get(home);
    if (retirement === undefined) return;
    this.#retirements.delete(home);
    if (retirement.died) this.#output.onEntriesChanged();
  }

  #onDigest(link: OfferLink, told: ReadonlyMap<string, number>): void {
    const offered = [...link.offered].map(
      ([home, version]): DigestRow => [this.#records.get(home)!.info.zone, home, version],
    );
    const known = digestsByZone(offered);
    for (const zone of new Set([...told.keys(), ...known.keys()])) {
      if (told.get(zone) !== known.get(zone)) this.#output.send(link.id, { type: 'homesWanted', zone });
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
    if (link.linkClass === 'far') this.#noteMissing(zone, homes, now);
    for (const [home, version] of homes) {
      const known = this.#records.get(home);
      if (link.offered.get(home) === version || known === this.#own) continue;
      const { info } = known ?? {};
      // Taken as news that changes nothing where the record is known, and as a gap where it is not.
      this.#onNews(link, { type: 'homeNews', home, info, base: version, version, statuses: [], gone: [] });
    }
  }

  /** An entry that a zone's link was lost with, and that the zone does not name any more, has died. */
  #noteMissing(zone: string, homes: ReadonlyMap<string, number>, now: number): void {
    for (const home of this.#retirements.keys()) {
      const isOfZone = this.#records.get(home)!.info.zone === zone;
      if (!isOfZone || homes.has(home) || !this.#markDied(home, now)) continue;
      this.#sendToClass('near', { type: 'homesGone', homes: [home], died: true });
    }
  }

  #onWanted(link: OfferLink, home: string): void {
    const record = this.#records.get(home);
    if (record !== undefined && this.#offers.isOfferedTo(link.linkClass, home)) {
      return this.#output.send(link.id, wholeNews(record));
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

/** One digest a zone of rows of zone, home and version. */
function digestsByZone(rows: readonly DigestRow[]): Map<string, number> {
  const digests = new Map<string, number>();
  for (const [zone, home, version] of rows) {
    digests.set(zone, ((digests.get(zone) ?? 0) ^ digestPart(home, version)) >>> 0);
  }
  return digests;
}
