/**
 * What entries tell one another: who they are, which agents they are home to, and the configuration in force. News
 * goes to the entries of the own zone; the zone's relay passes it to the other zones' relays, and these to their
 * zones. Loads change fast and stay inside the zone; what changes seldom goes everywhere.
 */
import type { Startable } from '../model/startable.js';
import type { Row } from '../platform/table-service.js';
import type { ConnectionContext } from '../protocol/connection.js';
import type { AgentStatus, EntryInfo, GoneAgent, Message } from '../protocol/messages.js';
import type { ConfiguredEntry } from '../systems/entry-topology.js';
import type { AgentDirectory } from './agent-directory.js';
import type { Configuration } from './configuration.js';
import type { EntryDirectory } from './entry-directory.js';
import { type MeshLink, MeshLinks } from './mesh-links.js';

/** Time between two messages with loads, in milliseconds. */
const LOADS_INTERVAL = 2_000;
/** Time between two times at which everything is told again, in milliseconds; too short for 400 entries. */
const REPAIR_INTERVAL = 2_000;
/** Time after which a zone without a link counts as lost, in milliseconds. */
const ZONE_LOST_AFTER = 10_000;

/** What the mesh works with. */
export interface EntryMeshComponents {
  context: ConnectionContext;
  directory: AgentDirectory;
  entries: EntryDirectory;
  configuration: Configuration;
  /** What this entry says of itself. */
  self: () => EntryInfo;
}

/** The mesh as one entry sees it. */
export class EntryMesh implements Startable {
  /** Called when an entry came, changed or went. */
  onChange: () => void = () => {};
  readonly #components: EntryMeshComponents;
  readonly #links: MeshLinks;
  /** Agents homed here that are news: to the zone, and of these to all zones; and those that are gone. */
  readonly #changedNear = new Set<string>();
  readonly #changedFar = new Set<string>();
  #gone: GoneAgent[] = [];
  /** What was last told of each agent: to all zones, to this one, and of its load. */
  readonly #toldFar = new Map<string, string>();
  readonly #toldNear = new Map<string, string>();
  readonly #toldLoads = new Map<string, number>();
  #loadsToldAt = 0;
  #repairedAt = 0;
  readonly #zoneLostAt = new Map<string, number>();

  constructor(configured: readonly ConfiguredEntry[], components: EntryMeshComponents) {
    this.#components = components;
    const { address, zone } = components.self();
    this.#links = new MeshLinks({ address, zone }, configured, components.context, {
      onOpen: (link) => this.#greet(link),
      onMessage: (link, message) => this.#onMessage(link, message),
      onLost: (link) => this.#lost(link),
      onReview: () => this.#review(),
    });
    components.configuration.onRead = (base, revision, rows) => {
      this.#flood({ type: 'configuration', base, revision, rows });
    };
  }

  /** True when this entry connects its zone to the others, and reads the store for it. */
  get isRelay(): boolean {
    return this.#links.isRelay;
  }

  start(): Promise<void> {
    return this.#links.start();
  }

  stop(): Promise<void> {
    return this.#links.stop();
  }

  /** Takes over a connection that another entry opened. */
  accept(connection: Parameters<MeshLinks['accept']>[0]): void {
    this.#links.accept(connection);
  }

  /** Notes that an agent homed here has told something. */
  agentChanged(status: AgentStatus): void {
    const { id } = status.info;
    const near = nearPartOf(status);
    if (this.#toldNear.get(id) === near) return;
    this.#toldNear.set(id, near);
    this.#changedNear.add(id);
    const lasting = lastingPartOf(status);
    if (this.#toldFar.get(id) === lasting) return;
    this.#toldFar.set(id, lasting);
    this.#changedFar.add(id);
  }

  /** Notes that an agent homed here is gone. */
  agentGone(id: string, sequence: number): void {
    this.#changedNear.delete(id);
    this.#changedFar.delete(id);
    this.#toldFar.delete(id);
    this.#toldNear.delete(id);
    this.#toldLoads.delete(id);
    this.#gone.push({ id, sequence });
  }

  /** Tells the others at once of a change of this entry itself. */
  announceSelf(): void {
    this.#flood({ type: 'entryNews', infos: [this.#components.self()], gone: [], snapshotOf: undefined });
  }

  /** This entry as the home of agents. */
  #homeHere(): { home: string; homeZone: string } {
    const { id, zone } = this.#components.self();
    return { home: id, homeZone: zone };
  }

  #flood(message: Message): void {
    this.#links.sendNear(message);
    this.#links.sendFar(message);
  }

  #review(): void {
    const { directory } = this.#components;
    const expired = directory.expire(performance.now());
    if (expired.length > 0) this.#sendFarGone(expired);
    this.#dropLostZones();
    this.#sendNews();
    this.#sendLoads();
    this.#repair();
  }

  /** Tells everything again now and then: news may have been overtaken by older lists on another way. */
  #repair(): void {
    if (performance.now() - this.#repairedAt < REPAIR_INTERVAL) return;
    this.#repairedAt = performance.now();
    const { self, entries, directory } = this.#components;
    const own = self();
    this.#links.sendNear({ type: 'entryNews', infos: [own], gone: [], snapshotOf: undefined });
    this.#links.sendNear({
      type: 'agentNews',
      statuses: directory.homedAt(own.id),
      gone: [],
      ...this.#homeHere(),
    });
    for (const link of this.#links.farLinks)
      this.#sendZone(link, own.zone, [own, ...entries.ofZone(own.zone)]);
  }

  /** Loads that have changed, every few seconds: what an entry sent there itself it knows at once. */
  #sendLoads(): void {
    const { directory, self } = this.#components;
    if (performance.now() - this.#loadsToldAt < LOADS_INTERVAL) return;
    this.#loadsToldAt = performance.now();
    const loads = directory.homedAt(self().id).map(({ info, active }) => ({ id: info.id, active }));
    const changed = loads.filter(({ id, active }) => (this.#toldLoads.get(id) ?? 0) !== active);
    for (const { id, active } of changed) this.#toldLoads.set(id, active);
    if (changed.length > 0) this.#links.sendNear({ type: 'agentLoads', loads: changed });
  }

  #sendNews(): void {
    const gone = this.#gone.splice(0);
    const near = this.#statusesOf(this.#changedNear);
    const far = this.#statusesOf(this.#changedFar).map(withoutLoad);
    if (near.length > 0 || gone.length > 0) {
      this.#links.sendNear({ type: 'agentNews', statuses: near, gone, ...this.#homeHere() });
    }
    if (far.length > 0 || gone.length > 0) {
      this.#links.sendFar({ type: 'agentNews', statuses: far, gone, ...this.#homeHere() });
    }
  }

  #sendFarGone(gone: GoneAgent[]): void {
    this.#links.sendFar({ type: 'agentNews', statuses: [], gone, ...this.#homeHere() });
  }

  #statusesOf(ids: Set<string>): AgentStatus[] {
    const statuses = [...ids].flatMap((id) => this.#components.directory.rows.get(id)?.status ?? []);
    ids.clear();
    return statuses;
  }

  /** Tells a new link what it may not know: the zone's entries and agents, and here and there all others too. */
  #greet(link: MeshLink): void {
    const { self, entries, directory, configuration } = this.#components;
    const own = self();
    this.#zoneLostAt.delete(link.entry.zone);
    const send = (message: Message) => link.connection.send(message);
    send({ type: 'entryNews', infos: [own], gone: [], snapshotOf: undefined });
    const agents = directory.homedAt(own.id);
    send({ type: 'agentNews', statuses: agents, gone: [], ...this.#homeHere() });
    if (!link.near) this.#sendZone(link, own.zone, [own, ...entries.ofZone(own.zone)]);
    if (link.near && this.#links.hasFarLinks) {
      for (const zone of new Set([...entries.rows.values()].map((info) => info.zone))) {
        if (zone !== own.zone) this.#sendZone(link, zone, entries.ofZone(zone));
      }
    }
    const { revision } = configuration;
    if (revision > 0) send({ type: 'configuration', base: 0, revision, rows: configuration.allRows() });
  }

  #sendZone(link: MeshLink, zone: string, infos: EntryInfo[]): void {
    const { directory } = this.#components;
    link.connection.send({ type: 'entryNews', infos, gone: [], snapshotOf: zone });
    const byHome = new Map<string, AgentStatus[]>();
    for (const { status, home, homeZone } of directory.rows.values()) {
      if (homeZone === zone) byHome.set(home, [...(byHome.get(home) ?? []), withoutLoad(status)]);
    }
    for (const [home, statuses] of byHome) {
      link.connection.send({ type: 'agentNews', statuses, gone: [], home, homeZone: zone });
    }
    const present = [...byHome.values()].flat().map((status) => status.info.id);
    link.connection.send({ type: 'agentsOfZone', zone, present });
  }

  #onMessage(link: MeshLink, message: Message): void {
    switch (message.type) {
      case 'entryNews':
        return this.#onEntryNews(link, message);
      case 'agentNews':
        return this.#onAgentNews(link, message);
      case 'agentLoads':
        return this.#components.directory.updateLoads(message.loads);
      case 'agentsOfZone':
        // Whoever passes this on has a link to that zone.
        this.#zoneLostAt.delete(message.zone);
        this.#components.directory.keepOnly(message.zone, new Set(message.present));
        return this.#passOn(link, message);
      case 'configuration':
        return this.#onConfiguration(link, message);
      default:
    }
  }

  #onEntryNews(link: MeshLink, message: Message & { type: 'entryNews' }): void {
    const { entries, self } = this.#components;
    const fresh = entries.update(message.infos.filter((info) => info.id !== self().id));
    const gone = entries.remove(this.#goneOf(message));
    const infos = link.near ? fresh : message.infos;
    if (infos.length === 0 && gone.length === 0) return;
    this.#passOn(link, { type: 'entryNews', infos, gone, snapshotOf: undefined });
    if (fresh.length === 0 && gone.length === 0) return;
    this.onChange();
  }

  #goneOf({ gone, snapshotOf, infos }: Message & { type: 'entryNews' }): string[] {
    if (snapshotOf === undefined) return gone;
    const present = new Set(infos.map((info) => info.id));
    const missing = this.#components.entries.ofZone(snapshotOf).filter((info) => !present.has(info.id));
    return [...gone, ...missing.map((info) => info.id)];
  }

  #onAgentNews(link: MeshLink, message: Message & { type: 'agentNews' }): void {
    const { directory } = this.#components;
    const { home, homeZone, statuses, gone } = message;
    const fresh = statuses.filter((status) => directory.update(status, home, homeZone));
    const removed = gone.filter(({ id, sequence }) => directory.remove(id, sequence));
    if (link.near) {
      const lasting = fresh.filter((status) => this.#isNewsFar(status)).map(withoutLoad);
      for (const { id } of removed) this.#toldFar.delete(id);
      if (lasting.length === 0 && removed.length === 0) return;
      return this.#links.sendFar({ ...message, statuses: lasting, gone: removed });
    }
    if (statuses.length > 0 || removed.length > 0) {
      this.#links.sendNear({ ...message, gone: removed });
    }
  }

  #isNewsFar(status: AgentStatus): boolean {
    const lasting = lastingPartOf(status);
    if (this.#toldFar.get(status.info.id) === lasting) return false;
    this.#toldFar.set(status.info.id, lasting);
    return true;
  }

  #onConfiguration(link: MeshLink, message: { base: number; revision: number; rows: Row[] }): void {
    const { configuration } = this.#components;
    const { base, revision, rows } = message;
    const known = configuration.revision;
    if (revision <= known) return;
    // With a gap in between, the rows alone do not make the revision: the store is read.
    if (base > known) return configuration.hint(revision);
    configuration.take(rows, revision);
    this.#passOn(link, { type: 'configuration', base: known, revision, rows });
  }

  /** What comes from the zone goes to the other zones, and the other way round; nothing goes back where it came from. */
  #passOn(from: MeshLink, message: Message): void {
    if (from.near) this.#links.sendFar(message);
    else this.#links.sendNear(message);
  }

  #lost(link: MeshLink): void {
    const { directory, entries } = this.#components;
    if (!link.near) {
      if (!this.#links.hasLinkTo(link.entry.zone)) this.#zoneLostAt.set(link.entry.zone, performance.now());
      return;
    }
    directory.homeLost(link.id, performance.now());
    if (entries.remove([link.id]).length === 0) return;
    this.#links.sendFar({ type: 'entryNews', infos: [], gone: [link.id], snapshotOf: undefined });
    this.onChange();
  }

  /** A zone that has had no link for long is lost: its entries and agents are taken out here and in this zone. */
  #dropLostZones(): void {
    const { directory, entries } = this.#components;
    for (const [zone, lostAt] of this.#zoneLostAt) {
      if (performance.now() - lostAt < ZONE_LOST_AFTER) continue;
      this.#zoneLostAt.delete(zone);
      if (this.#links.hasLinkTo(zone)) continue;
      const gone = entries.remove(entries.ofZone(zone).map((info) => info.id));
      directory.keepOnly(zone, new Set(), 0);
      this.#links.sendNear({ type: 'entryNews', infos: [], gone, snapshotOf: undefined });
      this.#links.sendNear({ type: 'agentsOfZone', zone, present: [] });
      this.onChange();
    }
  }
}

/** What of a status concerns entries of its zone at once: not its load, and a transfer in tenths. */
function nearPartOf(status: AgentStatus): string {
  const shares = status.versions.map(({ bytesHeld, bytesTotal }) =>
    Math.floor((10 * bytesHeld) / (bytesTotal || 1)),
  );
  return `${lastingPartOf(status)}${shares.join()}`;
}

/** A load that is told once and never again would stand for ever: entries elsewhere go by what they send themselves. */
function withoutLoad(status: AgentStatus): AgentStatus {
  return { ...status, active: 0 };
}

/** What of a status concerns entries of other zones: not its load, and not how far a transfer is. */
function lastingPartOf({ info, leaving, pool, capacity, versions, ownership }: AgentStatus): string {
  const ready = versions.map(({ version, ready, problem }) => [version, ready, problem]);
  return JSON.stringify([
    info,
    leaving,
    pool,
    capacity,
    ready,
    ownership?.epoch,
    ownership?.movesAcknowledged,
  ]);
}
