/**
 * The agent: the process on a back-end machine through which all requests to the local engine or plain service go.
 * It composes the chunk exchange, version loading, request admission and the link to the home entry.
 */

import { randomBytes } from 'node:crypto';
import { asFunction, asValue, createContainer, InjectionMode } from 'awilix';
import { httpOrigin, type Origin } from '../clients/origin.js';
import { type EngineClient, httpEngineClient } from '../engine/engine-client.js';
import { BackEndBackoffs } from '../forwarding/back-end-backoffs.js';
import { HybridClock } from '../model/hybrid-clock.js';
import type { Digest } from '../model/manifest.js';
import { hash32, type Random, seededRandom } from '../model/random.js';
import { type Startable, StartableGroup } from '../model/startable.js';
import { createLog, type Log } from '../observability/log.js';
import { Metrics, trafficMetrics } from '../observability/metrics.js';
import { Timeline } from '../observability/timeline.js';
import {
  type Connection,
  type ConnectionContext,
  ConnectionListener,
  createTrafficCounters,
} from '../protocol/connection.js';
import type { AgentStatus, EntryInfo, Message } from '../protocol/messages.js';
import { httpServer } from '../server/http-server.js';
import type { AgentSettings } from '../settings/schemas.js';
import type { PeerInfo } from '../systems/distribution/transfer.js';
import { lowestOfEachZone } from '../systems/entry-topology.js';
import type { OwnersRow } from '../systems/ownership.js';
import { engineBackEnd, serviceBackEnd } from './back-ends.js';
import { keepBackoffs } from './backing-off.js';
import { BurstLinks } from './burst-links.js';
import { type BackEnd, Calls } from './calls.js';
import { ChunkStore } from './chunk-store.js';
import { EntryLink } from './entry-link.js';
import { Exchange } from './exchange.js';
import { homeCandidates, liveEntries } from './home-candidates.js';
import { KeyOwnership } from './key-ownership.js';
import { operatorApi } from './operator-api.js';
import { VersionLoader } from './version-loader.js';
import { VersionReconciler } from './version-reconciler.js';

/** Minimum time between two status messages to the home entry after changes, in milliseconds. */
const STATUS_MIN_INTERVAL = 200;
/** Time between two status messages if nothing changes, and between two reconciliations, in milliseconds. */
const STATUS_IDLE_INTERVAL = 2_000;

/** Creates an agent from its settings. */
export function createAgent(settings: AgentSettings): Agent {
  const identity = `${settings.listen.peers}#${randomBytes(4).toString('hex')}`;
  const container = createContainer<AgentComponents>({ injectionMode: InjectionMode.PROXY, strict: true });
  container.register({
    settings: asValue(settings),
    identity: asValue(identity),
    random: asValue(seededRandom(hash32(identity))),
    clock: asValue(new HybridClock()),
    log: asFunction(() => createLog(`agent ${identity}`, settings.log.level)).singleton(),
    timeline: asFunction(({ clock }: AgentComponents) => new Timeline(identity, clock)).singleton(),
    origin: asFunction(() => httpOrigin(settings.origin)).singleton(),
    store: asFunction(() => new ChunkStore(settings.weights.memoryBytes)).singleton(),
    engine: asFunction(() => httpEngineClient(settings.backEnd.url)).singleton(),
    metrics: asFunction(() => new Metrics('agent')).singleton(),
    agent: asFunction((components: AgentComponents) => new Agent(components)).singleton(),
  });
  return container.resolve('agent');
}

/** Components of an agent. */
export interface AgentComponents {
  settings: AgentSettings;
  /** Identity of this process. A new process at the same address has a new identity. */
  identity: string;
  random: Random;
  clock: HybridClock;
  log: Log;
  timeline: Timeline;
  origin: Origin;
  store: ChunkStore;
  engine: EngineClient;
  metrics: Metrics;
  agent: Agent;
}

/** A running agent. */
export class Agent implements Startable {
  readonly #components: AgentComponents;
  readonly #info: PeerInfo;
  readonly #counters = createTrafficCounters();
  readonly #exchange: Exchange;
  readonly #loader: VersionLoader;
  readonly #calls: Calls;
  /** The idempotency keys that this agent owns; undefined for the agent of an engine. */
  readonly #ownership: KeyOwnership | undefined;
  readonly #homeLink: EntryLink;
  readonly #bursts: BurstLinks;
  readonly #versions: VersionReconciler;
  readonly #startables: StartableGroup;
  #entries: EntryInfo[] = [];
  #sequence = 0;
  #statusTimer: NodeJS.Timeout | undefined;
  #idleTimer: NodeJS.Timeout | undefined;

  constructor(components: AgentComponents) {
    const { settings, identity, random, clock, log, timeline, store, engine } = components;
    this.#components = components;
    const { place, region, zone } = settings;
    const address = settings.advertisedPeers ?? settings.listen.peers;
    this.#info = { id: identity, address, place, region, zone };
    const context: ConnectionContext = {
      clock,
      counters: this.#counters,
      hello: () => ({ type: 'hello', role: 'agent', peer: this.#info }),
    };
    this.#loader = new VersionLoader({ engine, store, timeline, log });
    if (settings.backEnd.kind === 'service') {
      this.#ownership = new KeyOwnership(address, () => performance.now());
    }
    this.#calls = new Calls(this.#createBackEnd(), settings.backEnd.capacity, this.#ownership);
    this.#exchange = new Exchange(
      { context, store, origin: components.origin, timeline, log },
      { ...settings.weights, seed: hash32(identity) },
      {
        onVerified: (version, chunk, data) => this.#loader.stageEarly(version, chunk, data),
        onComplete: (version) => this.#versions.onComplete(version),
        onCoordinatorMessage: (version, message) => this.#bursts.send(version, message),
      },
    );
    const coordinators = () => this.#coordinators();
    this.#bursts = new BurstLinks({ context, random, timeline, exchange: this.#exchange, coordinators });
    this.#homeLink = new EntryLink({
      context,
      random,
      candidates: () => homeCandidates(this.#info, settings.entries, this.#entries),
      onOpen: (_, dialledAt) => {
        this.#ownership?.confirm(dialledAt);
        this.#sendStatus();
      },
      onMessage: (message) => this.#onHomeMessage(message),
      onConfirmed: (sentAt) => {
        if (this.#ownership?.confirm(sentAt) === false) this.#homeLink.reconnect();
      },
    });
    this.#versions = new VersionReconciler({
      exchange: this.#exchange,
      bursts: this.#bursts,
      loader: this.#loader,
      timeline,
      log,
      requestManifest: (version) => this.#homeLink.send({ type: 'fetchManifest', version }),
      requestsInProgress: (version) => this.#calls.activeFor(version),
    });
    this.#loader.onChange = () => this.#onVersionsChanged();
    this.#calls.onChange = () => this.#scheduleStatus();
    const listener = new ConnectionListener(settings.listen.peers, context, (connection) =>
      this.#accept(connection),
    );
    const server = httpServer(settings.listen.operators, this.#operatorApi().callback());
    const engineStartables = settings.backEnd.kind === 'engine' ? [this.#loader] : [];
    this.#startables = new StartableGroup([
      ...engineStartables,
      this.#exchange,
      listener,
      server,
      this.#homeLink,
    ]);
    this.#addMetrics();
  }

  async start(): Promise<void> {
    this.#components.timeline.record({ type: 'processStarted', role: 'agent' });
    await this.#startables.start();
    this.#idleTimer = setInterval(() => this.#onIdle(), STATUS_IDLE_INTERVAL);
    this.#components.log.info('agent started', { place: this.#info.place, zone: this.#info.zone });
  }

  async stop(): Promise<void> {
    clearInterval(this.#idleTimer);
    clearTimeout(this.#statusTimer);
    await this.#bursts.stop();
    await this.#startables.stop();
  }

  /** Stops accepting new requests; requests in progress continue. */
  drain(): void {
    if (this.#calls.leaving) return;
    this.#calls.leave();
    this.#components.timeline.record({ type: 'processLeaving' });
    this.#components.log.info('agent draining');
    this.#sendStatus();
  }

  /** Number of requests in progress. */
  get active(): number {
    return this.#calls.active;
  }

  #createBackEnd(): BackEnd {
    const { settings, engine, log, metrics } = this.#components;
    const { backEnd } = settings;
    const local =
      backEnd.kind === 'service' ? serviceBackEnd(backEnd.url) : engineBackEnd(engine, this.#loader);
    return keepBackoffs(local, new BackEndBackoffs(log, metrics));
  }

  #accept(connection: Connection): void {
    if (connection.remote.role === 'agent') this.#exchange.accept(connection);
    else this.#calls.serve(connection);
  }

  /** Addresses of the entries that may coordinate a burst: the lowest of each zone, so that all agents agree on them. */
  #coordinators(): string[] {
    const coordinators = lowestOfEachZone(this.#entries).map((entry) => entry.address);
    return coordinators.length > 0
      ? coordinators
      : liveEntries(this.#components.settings.entries, this.#entries);
  }

  #onHomeMessage(message: Message): void {
    if (message.type === 'manifest') return this.#versions.onManifest(message.version, message.manifest);
    if (message.type === 'manifestUnavailable') {
      return this.#versions.onManifestUnavailable(message.version, message.reason);
    }
    if (message.type !== 'assignments') return;
    this.#entries = message.entries;
    this.#updateOwners(message.owners);
    this.#versions.assign(message.assignments, message.revision);
  }

  #updateOwners(owners: OwnersRow | undefined): void {
    if (owners === undefined || this.#ownership === undefined) return;
    if (this.#ownership.update(owners)) this.#sendStatus();
  }

  #onVersionsChanged(): void {
    this.#versions.reconcile();
    this.#scheduleStatus();
  }

  #onIdle(): void {
    this.#versions.reconcile();
    this.#sendStatus();
  }

  #scheduleStatus(): void {
    this.#statusTimer ??= setTimeout(() => this.#sendStatus(), STATUS_MIN_INTERVAL);
  }

  #sendStatus(): void {
    clearTimeout(this.#statusTimer);
    this.#statusTimer = undefined;
    this.#homeLink.send({ type: 'status', status: this.#status() });
  }

  #status(): AgentStatus {
    const { backEnd, listen } = this.#components.settings;
    return {
      sequence: ++this.#sequence,
      info: this.#info,
      operatorAddress: listen.operators,
      backEnd: backEnd.kind,
      pool: backEnd.kind === 'engine' ? backEnd.pool : backEnd.name,
      leaving: this.#calls.leaving,
      versions: this.#versions.progress(),
      active: this.#calls.active,
      capacity: backEnd.capacity,
      ownership: this.#ownership?.claim(),
    };
  }

  #operatorApi() {
    const { metrics, timeline } = this.#components;
    return operatorApi({
      metrics: () => metrics.text(),
      status: () => ({
        ...this.#status(),
        home: this.#homeLink.address,
        exchange: this.#exchange.counters,
        traffic: this.#counters,
      }),
      timeline: () => timeline.entries(),
      drain: () => this.drain(),
    });
  }

  #addMetrics(): void {
    const { metrics, store } = this.#components;
    metrics.add([
      trafficMetrics(this.#counters),
      {
        name: 'calls',
        help: 'Requests by outcome',
        label: 'outcome',
        read: () => ({ ...this.#calls.counters }),
      },
      {
        name: 'exchange',
        help: 'Chunk exchange',
        label: 'count',
        read: () => ({ ...this.#exchange.counters }),
      },
      {
        name: 'once_calls',
        help: 'Calls that may not be repeated, by outcome',
        label: 'outcome',
        read: () => ({ ...this.#calls.onceCounters }),
      },
      { name: 'calls_in_progress', help: 'Requests in progress', read: () => this.#calls.active },
      { name: 'chunk_store_bytes', help: 'Bytes of weights in memory', read: () => store.usedBytes },
      {
        name: 'versions_ready',
        help: 'Versions that the engine reports',
        read: () => this.#loader.ready.size,
      },
      {
        name: 'transfer_chunks',
        help: 'Chunks held of each running transfer',
        label: 'version',
        read: () => this.#chunksHeld(),
      },
    ]);
  }

  #chunksHeld(): Record<Digest, number> {
    const transfers = [...this.#exchange.node.transfers.values()];
    return Object.fromEntries(transfers.map((transfer) => [transfer.version, transfer.have.size]));
  }
}
