/**
 * State exchanged between entries over {@link MeshLinks}: the entries and the agents homed at each ({@link Membership}),
 * the configuration, and the agents' loads. Loads change fast and are sent only within a zone.
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

/** Delay for which changes of agents homed here are batched, in milliseconds. */
const UPDATE_DELAY = 100;
/** Interval between load messages, in milliseconds. */
const LOADS_INTERVAL = 2_000;
/** Maximum delay of non-urgent configuration changes (ms); shorter than the time after which an entry reads the store itself. */
const DEFERRED_CHANGES_INTERVAL = 2_000;
/** Interval between membership digests on a link, in milliseconds. */
const DIGEST_INTERVAL = 4_000;
/** Time after the start, in milliseconds, after which an entry no longer waits to hear from every configured zone. */
const SETTLING_LIMIT = 15_000;

export interface EntryMeshComponents {
  context: ConnectionContext;
  directory: AgentDirectory;
  entries: EntryDirectory;
  configuration: Configuration;
  /** This entry's own information. */
  self: () => EntryInfo;
}

/** One entry's participation in the mesh. */
export class EntryMesh implements Startable {
  /** Called when an entry was added, changed or removed. */
  onChange: () => void = () => {};
  readonly #components: EntryMeshComponents;
  readonly #links: MeshLinks;
  readonly #membership: Membership;
  readonly #zones: Set<string>;
  /** Serialized status last published for each agent homed here. */
  readonly #published = new Map<string, string>();
  #updateTimer: NodeJS.Timeout | undefined;
  readonly #sentLoads = new Map<string, string>();
  readonly #deferredNear = new HeldBackNews(DEFERRED_CHANGES_INTERVAL);
  readonly #deferredFar = new HeldBackNews(Number.POSITIVE_INFINITY);
  readonly #startedAt = performance.now();
  #loadsSentAt = 0;
  #digestsSentAt = 0;

  constructor(configured: readonly ConfiguredEntry[], components: EntryMeshComponents) {
    this.#components = components;
    const { address, zone } = components.self();
    this.#zones = new Set(configured.map((entry) => entry.zone));
    this.#links = new MeshLinks({ address, zone }, configured, components.context, {
      onOpen: (link) => this.#sendInitialState(link),
      onMessage: (link, message) => this.#onMessage(link, message),
      onLost: (link) => this.#membership.linkLost(link.id, performance.now()),
      onReview: () => this.#review(),
    });
    this.#membership = new Membership(components.self(), {
      send: (link, message) => this.#links.send(link, message),
      onAgentsChanged: (addresses) => this.#updateAgents(addresses),
      onEntriesChanged: () => this.#updateEntries(),
    });
    components.configuration.onRead = (base, revision, rows) => this.#forwardRead({ base, revision, rows });
  }

  /** Whether this entry reads the store for its zone and may take over duties. */
  get isFirstOfZone(): boolean {
    return this.#links.isFirstOfZone;
  }

  /** Whether this entry has heard from every configured zone, or has stopped waiting for the missing ones. */
  get isSettled(): boolean {
    const own = this.#components.self().zone;
    const missing = [...this.#zones].filter((zone) => zone !== own && !this.#membership.isZoneOffered(zone));
    return missing.length === 0 || performance.now() - this.#startedAt > SETTLING_LIMIT;
  }

  start(): Promise<void> {
    return this.#links.start();
  }

  stop(): Promise<void> {
    clearTimeout(this.#updateTimer);
    return this.#links.stop();
  }

  /** Accepts a connection that another entry opened. */
  accept(connection: Parameters<MeshLinks['accept']>[0]): void {
    this.#links.accept(connection);
  }

  /** Handles a status received from an agent homed here. */
  agentChanged(status: AgentStatus): void {
    const { id } = status.info;
    const published = publishedPartOf(status);
    if (this.#published.get(id) !== published) {
      this.#published.set(id, published);
      this.#membership.publish([withoutLoad(status)], []);
      this.#scheduleUpdate();
    }
    this.#components.directory.refresh(status);
  }

  /** Handles the loss of an agent homed here. */
  agentGone(id: string): void {
    this.#published.delete(id);
    this.#sentLoads.delete(id);
    this.#membership.publish([], [id]);
    this.#scheduleUpdate();
  }

  /** Sends a change of this entry's own information to the other entries at once. */
  announceSelf(): void {
    this.#membership.publishSelf(this.#components.self());
    this.#membership.sendOwnNews();
  }

  #scheduleUpdate(): void {
    this.#updateTimer ??= setTimeout(() => {
      this.#updateTimer = undefined;
      this.#membership.sendOwnNews();
    }, UPDATE_DELAY);
  }

  #review(): void {
    const now = performance.now();
    this.#membership.expire(now);
    this.#links.closeRedundant((zone, link) => this.#membership.isZoneOffered(zone, link.id));
    if (now - this.#loadsSentAt >= LOADS_INTERVAL) {
      this.#loadsSentAt = now;
      this.#sendLoads();
    }
    if (now - this.#digestsSentAt >= DIGEST_INTERVAL) {
      this.#digestsSentAt = now;
      this.#membership.sendDigests();
    }
  }

  /** Sends the loads that have changed to the zone; each entry already counts the requests that it sent itself. */
  #sendLoads(): void {
    const changed = this.#ownLoads().filter(({ id, active, held }) => {
      const load = `${active} ${held.join()}`;
      if ((this.#sentLoads.get(id) ?? '') === load) return false;
      this.#sentLoads.set(id, load);
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

  #sendInitialState(link: MeshLink): void {
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

  /** Forwards changes read from the store. Other zones read it themselves, so lease renewals alone are not sent there. */
  #forwardRead(news: ConfigurationNews): void {
    const now = performance.now();
    const near = this.#deferredNear.add(news, now);
    const far = this.#deferredFar.add(news, now);
    if (near !== undefined) this.#links.sendNear({ type: 'configuration', ...near });
    if (far !== undefined) this.#links.sendFar({ type: 'configuration', ...far });
  }

  #onConfiguration(link: MeshLink, message: { base: number; revision: number; rows: Row[] }): void {
    const { configuration } = this.#components;
    const { base, revision, rows } = message;
    const known = configuration.revision;
    if (revision <= known) return;
    // Revisions are missing in between, so these rows do not give a complete state: read the store instead.
    if (base > known) return configuration.pollIfBehind(revision);
    configuration.applyChanges(base, rows, revision);
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

/** Removes the load, since other zones get no later updates of it and would keep it forever; they count their own requests. */
function withoutLoad(status: AgentStatus): AgentStatus {
  return { ...status, active: 0 };
}

/** The part of a status that is published to all entries: without the load and the progress of transfers. */
function publishedPartOf({ info, leaving, pool, capacity, versions, ownership }: AgentStatus): string {
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
