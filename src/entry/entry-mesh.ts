/**
 * What entries tell one another, over the links of {@link MeshLinks}: who they are and which agents they are home to
 * ({@link Membership}), the configuration in force, and, inside a zone, loads, which change fast.
 */

import type { Row } from '../clients/table-service.js';
import type { Startable } from '../model/startable.js';
import type { ConnectionContext } from '../protocol/connection.js';
import type { AgentLoad, AgentStatus, EntryInfo, Message } from '../protocol/messages.js';
import type { ConfiguredEntry } from '../systems/entry-topology.js';
import { type ConfigurationNews, HeldBackNews } from '../systems/held-back-news.js';
import { Membership } from '../systems/membership/membership.js';
import type { AgentDirectory } from './agent-directory.js';
import type { Configuration } from './configuration.js';
import type { EntryDirectory } from './entry-directory.js';
import { type MeshLink, MeshLinks } from './mesh-links.js';

/** Time in which changes of agents homed here are gathered, in milliseconds. */
const NEWS_DELAY = 100;
/** Time between two messages with loads, in milliseconds. */
const LOADS_INTERVAL = 2_000;
/** Longest wait of news that nobody waits for; shorter than the time after which an entry reads the store itself. */
const PATIENT_NEWS_INTERVAL = 2_000;
/** Time between two digests of what is offered on a link, in milliseconds. */
const DIGEST_INTERVAL = 4_000;
/** Time after the start from which an entry goes by the zones that it hears of, in milliseconds. */
const SETTLING_LIMIT = 15_000;

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
  readonly #membership: Membership;
  readonly #zones: Set<string>;
  /** What was last published of each agent homed here. */
  readonly #published = new Map<string, string>();
  #newsTimer: NodeJS.Timeout | undefined;
  readonly #toldLoads = new Map<string, string>();
  readonly #heldBackNear = new HeldBackNews(PATIENT_NEWS_INTERVAL);
  readonly #heldBackFar = new HeldBackNews(Number.POSITIVE_INFINITY);
  readonly #startedAt = performance.now();
  #loadsToldAt = 0;
  #digestsSentAt = 0;

  constructor(configured: readonly ConfiguredEntry[], components: EntryMeshComponents) {
    this.#components = components;
    const { address, zone } = components.self();
    this.#zones = new Set(configured.map((entry) => entry.zone));
    this.#links = new MeshLinks({ address, zone }, configured, components.context, {
      onOpen: (link) => this.#greet(link),
      onMessage: (link, message) => this.#onMessage(link, message),
      onLost: (link) => this.#membership.linkLost(link.id, performance.now()),
      onReview: () => this.#review(),
    });
    this.#membership = new Membership(components.self(), {
      send: (link, message) => this.#links.send(link, message),
      onAgentsChanged: (addresses) => this.#updateAgents(addresses),
      onEntriesChanged: () => this.#updateEntries(),
    });
    components.configuration.onRead = (base, revision, rows) => this.#tellRead({ base, revision, rows });
  }

  /** True when this entry reads the store for its zone, and may take duties over. */
  get isFirstOfZone(): boolean {
    return this.#links.isFirstOfZone;
  }

  /** True once this entry hears of every zone, or has waited long for those that it does not hear of. */
  get isSettled(): boolean {
    const own = this.#components.self().zone;
    const missing = [...this.#zones].filter((zone) => zone !== own && !this.#membership.isZoneOffered(zone));
    return missing.length === 0 || performance.now() - this.#startedAt > SETTLING_LIMIT;
  }

  start(): Promise<void> {
    return this.#links.start();
  }

  stop(): Promise<void> {
    clearTimeout(this.#newsTimer);
    return this.#links.stop();
  }

  /** Takes over a connection that another entry opened. */
  accept(connection: Parameters<MeshLinks['accept']>[0]): void {
    this.#links.accept(connection);
  }

  /** Notes that an agent homed here has told something. */
  agentChanged(status: AgentStatus): void {
    const { id } = status.info;
    const lasting = lastingPartOf(status);
    if (this.#published.get(id) !== lasting) {
      this.#published.set(id, lasting);
      this.#membership.publish([withoutLoad(status)], []);
      this.#sendNewsSoon();
    }
    this.#components.directory.refresh(status);
  }

  /** Notes that an agent homed here is gone. */
  agentGone(id: string): void {
    this.#published.delete(id);
    this.#toldLoads.delete(id);
    this.#membership.publish([], [id]);
    this.#sendNewsSoon();
  }

  /** Tells the others at once of a change of this entry itself. */
  announceSelf(): void {
    this.#membership.publishSelf(this.#components.self());
    this.#membership.sendOwnNews();
  }

  #sendNewsSoon(): void {
    this.#newsTimer ??= setTimeout(() => {
      this.#newsTimer = undefined;
      this.#membership.sendOwnNews();
    }, NEWS_DELAY);
  }

  #review(): void {
    const now = performance.now();
    this.#membership.expire(now);
    this.#links.closeRedundant((zone, link) => this.#membership.isZoneOffered(zone, link.id));
    if (now - this.#loadsToldAt >= LOADS_INTERVAL) {
      this.#loadsToldAt = now;
      this.#sendLoads();
    }
    if (now - this.#digestsSentAt >= DIGEST_INTERVAL) {
      this.#digestsSentAt = now;
      this.#membership.sendDigests();
    }
  }

  /** Loads that have changed: what an entry sent there itself it knows at once. */
  #sendLoads(): void {
    const changed = this.#ownLoads().filter(({ id, active, held }) => {
      const load = `${active} ${held.join()}`;
      if ((this.#toldLoads.get(id) ?? '') === load) return false;
      this.#toldLoads.set(id, load);
      return true;
    });
    if (changed.length > 0) this.#links.sendNear({ type: 'agentLoads', loads: changed });
  }

  #ownLoads(): AgentLoad[] {
    const own = this.#components.directory.homedAt(this.#components.self().id);
    return own.map(({ info, active, versions }) => {
      return { id: info.id, active, held: versions.map(({ bytesHeld }) => bytesHeld) };
    });
  }

  #greet(link: MeshLink): void {
    const { configuration } = this.#components;
    this.#membership.linkOpened(link.id, link.near ? 'near' : 'far');
    if (link.near) link.connection.send({ type: 'agentLoads', loads: this.#ownLoads() });
    const { revision } = configuration;
    const rows = configuration.allRows();
    if (revision > 0) link.connection.send({ type: 'configuration', base: 0, revision, rows });
  }

  #onMessage(link: MeshLink, message: Message): void {
    switch (message.type) {
      case 'homeNews':
      case 'homesGone':
      case 'homesDigest':
      case 'homesWanted':
      case 'homesOffered':
      case 'homeWanted':
        return this.#membership.receive(link.id, message, performance.now());
      case 'agentLoads':
        return this.#components.directory.updateLoads(message.loads);
      case 'configuration':
        return this.#onConfiguration(link, message);
      default:
    }
  }

  /** Tells what this entry read. Other zones read for themselves, so renewals of leases are never told there. */
  #tellRead(news: ConfigurationNews): void {
    const now = performance.now();
    const near = this.#heldBackNear.add(news, now);
    const far = this.#heldBackFar.add(news, now);
    if (near !== undefined) this.#links.sendNear({ type: 'configuration', ...near });
    if (far !== undefined) this.#links.sendFar({ type: 'configuration', ...far });
  }

  #onConfiguration(link: MeshLink, message: { base: number; revision: number; rows: Row[] }): void {
    const { configuration } = this.#components;
    const { base, revision, rows } = message;
    const known = configuration.revision;
    if (revision <= known) return;
    // With a gap in between, the rows alone do not make the revision: the store is read.
    if (base > known) return configuration.hint(revision);
    configuration.take(base, rows, revision);
    const news: Message = { type: 'configuration', base: known, revision, rows };
    if (link.near) this.#links.sendFar(news);
    else this.#links.sendNear(news);
  }

  #updateAgents(addresses: ReadonlySet<string>): void {
    const { directory } = this.#components;
    for (const address of addresses) directory.set(address, this.#membership.agentAt(address));
  }

  #updateEntries(): void {
    this.#components.entries.replaceAll(this.#membership.entries);
    this.onChange();
  }
}

/** A load that is told once and never again would stand for ever: entries elsewhere go by what they send themselves. */
function withoutLoad(status: AgentStatus): AgentStatus {
  return { ...status, active: 0 };
}

/** What of a status concerns all entries: not its load, and not how far a transfer is. */
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
