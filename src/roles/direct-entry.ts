import { sleep } from '../fleet/table-follower.js';
import { BackEndLimits } from '../forwarding/back-end-limits.js';
import { BackEndSelector } from '../forwarding/back-end-selector.js';
import type { EngineNews } from '../forwarding/back-end-table.js';
import { DirectPermits } from '../forwarding/direct-permits.js';
import { ForwardingServer } from '../forwarding/forwarding-server.js';
import { type HeaderNames, LAST_EVENT_ID } from '../forwarding/header-names.js';
import { PoisonGuard } from '../forwarding/poison-guard.js';
import { QuarantineRecords } from '../forwarding/quarantine-records.js';
import { rendezvousOrder } from '../model/random.js';
import { type Startable, StartableGroup } from '../model/startable.js';
import { endsWithin } from '../model/time-limit.js';
import { trafficMetrics } from '../observability/metrics.js';
import { metricsServer } from '../observability/metrics-server.js';
import { EngineAgents } from '../peers/engine-agents.js';
import { EntryPeers } from '../peers/entry-peers.js';
import { PeerNews } from '../peers/peer-news.js';
import { SlotClient } from '../peers/slot-client.js';
import { type Connection, ConnectionListener } from '../protocol/connection.js';
import type { EngineReport, EntryReport } from '../protocol/reports.js';
import type { FollowedTable } from '../protocol/store-update.js';
import { createRequestListener, httpServer } from '../server/http-server.js';
import { DrainSchedule } from '../systems/drain-schedule.js';
import { createEntryRetryWindow } from '../systems/entry-retry-window.js';
import type { RetryWindow } from '../systems/retry-window.js';
import { StoreReaders } from '../systems/store-readers.js';
import { CollectionDuty } from '../weights/collection-duty.js';
import { pieceRoutes } from '../weights/piece-server.js';
import type { DirectEntryComponents } from './direct-entry-components.js';
import { servedVersions, WeightsPlanner } from './weights-planner.js';

const DRAIN_CHECK = 50;
/** Parts that have not ended after this are left to the end of the process, in milliseconds: it must come before a kill. */
const STOP_LIMIT = 300;
/** Changes of this time are told to peers and agents together, by who is told, in milliseconds. */
const ANNOUNCE_DELAY = { all: 50, zone: 120 };
/** Addresses in one answer to a caller. */
const MOST_ADDRESSES = 64;
const MILLISECONDS = 1_000;

/** A running entry. */
export class DirectEntry implements Startable {
  readonly #components: DirectEntryComponents;
  readonly #peers: EntryPeers;
  readonly #agents: EngineAgents;
  readonly #collection: CollectionDuty;
  readonly #planner: WeightsPlanner;
  readonly #storeReaders: Record<FollowedTable, StoreReaders>;
  readonly #slots: SlotClient;
  readonly #forwarding: ForwardingServer;
  readonly #poison: PoisonGuard;
  readonly #limits: BackEndLimits;
  readonly #permits: DirectPermits;
  readonly #parts: StartableGroup;
  readonly #budgets = new Map<string, RetryWindow>();
  readonly #createdAt = performance.now();
  readonly #drain: DrainSchedule;
  #announcement: 'all' | 'zone' | undefined;

  constructor(components: DirectEntryComponents) {
    const { settings, fleet, backEnds, sync, library, log, random, metrics, context } = components;
    this.#components = components;
    this.#drain = new DrainSchedule({
      graceTime: settings.graceTime,
      addressLifetime: settings.addressLifetimeSeconds * MILLISECONDS,
    });
    fleet.listen({ onBackEnds: (changes) => backEnds.apply(changes) });
    const quarantineRecords = new QuarantineRecords({
      tables: components.tables,
      name: settings.name,
      clock: fleet.clock,
      random,
      log,
    });
    this.#poison = new PoisonGuard({
      log,
      metrics,
      placeOf: (content) => this.#placeAmongEntries(content),
      hasEnded: (row) => backEnds.hasEnded(row),
      records: quarantineRecords,
    });
    this.#poison.onNews = (news) => this.#peers.passNews({ type: 'poisonNews', news: [news] });
    this.#limits = new BackEndLimits(log, metrics);
    this.#permits = new DirectPermits({
      tables: components.tables,
      clock: fleet.clock,
      limits: this.#limits,
      entryCount: () => this.#entryCount,
      random,
      log,
      metrics,
    });
    this.#limits.listen({
      onNamed: (backEnd, rate) => void this.#permits.noteNamed(backEnd, rate),
      onLifted: (backEnd) => void this.#permits.noteLifted(backEnd),
      onNews: (news) => this.#peers.passNews({ type: 'limitNews', news: [news] }),
    });
    this.#peers = new EntryPeers({
      context,
      address: settings.peers,
      zone: settings.zone,
      seeds: settings.seeds,
      fleet,
      decoder: components.decoder,
      hearsStore: () => sync.connected,
      random,
      report: () => this.#report(),
      onReport: (report) => this.#onPeerReport(report),
      news: new PeerNews(this.#poison, this.#limits),
      onStoreNews: (news, id) => {
        this.#storeReaders[news.table].noteNews(id, performance.now());
        sync.take(news);
      },
      onLapsed: ({ id }) => {
        for (const readers of Object.values(this.#storeReaders)) readers.forget(id);
        backEnds.applyLoads(id, []);
      },
      log,
    });
    this.#storeReaders = {
      operator: new StoreReaders(settings.zone),
      backEnds: new StoreReaders(settings.zone),
    };
    sync.isReader = (table) => this.#reads(table);
    sync.onOlderCopy = () => {
      this.#collection.noteOlderCopy();
      quarantineRecords.noteOlderCopy();
      this.#permits.noteOlderCopy();
    };
    sync.onNews = (news) => this.#peers.passStoreNews(news);
    backEnds.maxKeptConnections = (service) => this.#connectionsKept(service);
    this.#agents = new EngineAgents(
      (row) => this.#planner.planFor(row),
      (report, before) => {
        this.#takeEngineReport(report);
        if (before === undefined || hasChangedService(before, report)) this.#announce('all');
      },
    );
    this.#collection = new CollectionDuty({
      self: { id: components.identity, zone: settings.zone, linkRate: settings.linkRate ?? 0 },
      fleet,
      library,
      objects: components.objects,
      originAt: components.originAt,
      // A version would wait for the pieces of an entry that is cut off, or for it to draw them.
      peers: () => this.#peers.reached(),
      agents: () => [...this.#agents.rows.values()],
      servedVersions: () => servedVersions(fleet.routes?.configuration.services ?? [], backEnds),
      versionBound: settings.versionBound,
      onHeldChanged: (isDrawing) => this.#announce(isDrawing ? 'all' : 'zone'),
      random,
      log,
    });
    this.#planner = new WeightsPlanner({
      fleet,
      backEnds,
      versionBound: settings.versionBound,
      wanted: () => this.#collection.wanted(),
      entries: () => [this.#report(), ...this.#peers.live()],
    });
    this.#slots = new SlotClient(settings.slots, context, random);
    this.#forwarding = new ForwardingServer(
      settings.callers,
      {
        names: components.headers,
        headersSet: headersSet(components.headers),
        fleet,
        backEnds,
        limits: this.#limits,
        permits: this.#permits,
        selector: this.#createSelector(),
        slots: this.#slots,
        random,
        log,
        budgetOf: (service) => this.#budgetOf(service),
        drain: this.#drain,
        poison: this.#poison,
      },
      metrics,
    );
    const accept = (connection: Connection) => this.#accept(connection);
    const pieces = createRequestListener(pieceRoutes(library));
    const directory = components.directoryRoutes(
      (zone, region) => this.addresses(zone, region),
      settings.addressLifetimeSeconds,
    );
    this.#parts = new StartableGroup([
      new ConnectionListener(settings.peers, context, accept, pieces),
      sync,
      quarantineRecords,
      this.#permits,
      this.#peers,
      this.#agents,
      this.#collection,
      this.#slots,
      this.#forwarding,
      httpServer(settings.ready, createRequestListener(components.readyRoutes(() => this.isReady))),
      httpServer(settings.directory, createRequestListener(directory)),
      metricsServer(settings.metrics, components.metricsPath, metrics),
    ]);
    this.#addMetrics();
  }

  /** True while callers may be sent here. */
  get isReady(): boolean {
    return !this.#drain.isUnderWay && this.#components.fleet.complete;
  }

  async start(): Promise<void> {
    const { log, settings, identity } = this.#components;
    await this.#parts.start();
    log.info('entry started', { identity, zone: settings.zone, callers: settings.callers });
  }

  /**
   * Leaves the directory at once, serves those that hold the address, ends what is in progress, and stops.
   * @param orderedAt - when the order to stop came, in milliseconds of the steady clock
   */
  async leave(orderedAt = performance.now()): Promise<void> {
    const { log } = this.#components;
    this.#drain.begin(orderedAt);
    this.#peers.announce('all');
    log.info('entry leaves', { inProgress: this.#forwarding.active });
    while (this.#drain.takesConnections(performance.now(), this.#forwarding.quietFor)) await pause();
    await this.#forwarding.close();
    while (performance.now() < this.#drain.endsAt && !this.#forwarding.isSettled) await pause();
    log.info('entry stops', {
      inProgress: this.#forwarding.active,
      tookMs: Math.round(performance.now() - orderedAt),
      arrivals: this.#forwarding.arrivalsWhileDraining,
    });
    if (!(await endsWithin(this.stop(), STOP_LIMIT)))
      log.warn('parts have not stopped', { after: STOP_LIMIT });
  }

  async stop(): Promise<void> {
    await this.#parts.stop();
    this.#poison.stop();
    await this.#components.backEnds.stop();
  }

  /** Addresses of entries that take requests, for a caller of `zone`: those of its region where there are any. */
  addresses(zone: string, region: string): string[] {
    const ready = [this.#report(), ...this.#peers.live()].filter(({ isReady }) => isReady);
    const ofRegion = ready.filter((entry) => entry.region === region);
    const ofZone = ofRegion.filter((entry) => entry.zone === zone);
    const chosen = [ofZone, ofRegion, ready].find((entries) => entries.length >= 2) ?? ready;
    return chosen.slice(0, MOST_ADDRESSES).map(({ callerAddress }) => callerAddress);
  }

  #createSelector(): BackEndSelector {
    const { fleet, backEnds, random, settings } = this.#components;
    const { zone, region, regions, versionBound } = settings;
    return new BackEndSelector({
      fleet,
      table: backEnds,
      random,
      self: { zone, region },
      regionOf: (name) => regions[name] ?? name,
      versionBound,
      entryCount: () => this.#entryCount,
      limits: this.#limits,
      permits: this.#permits,
    });
  }

  /** Number of live entries, including this one. */
  get #entryCount(): number {
    return this.#peers.live().length + 1;
  }

  /** Whether this entry reads a table of the store, or another of its zone does and passes on what is new. */
  #reads(table: FollowedTable): boolean {
    const { identity, settings } = this.#components;
    const others = this.#peers.reached().filter(({ zone, isReady }) => zone === settings.zone && isReady);
    return this.#storeReaders[table].isReader(
      identity,
      others.map(({ id }) => id),
      performance.now(),
    );
  }

  /** This entry's place in the order that `key` gives all entries that live. */
  #placeAmongEntries(key: string): number {
    const { identity } = this.#components;
    return rendezvousOrder(key, [identity, ...this.#peers.live().map(({ id }) => id)]).indexOf(identity);
  }

  #accept(connection: Connection): void {
    if (connection.remote.role === 'agent') this.#agents.accept(connection);
    else this.#peers.accept(connection);
  }

  #report(): EntryReport {
    const { identity, settings, fleet, backEnds } = this.#components;
    return {
      id: identity,
      address: settings.peers,
      callerAddress: settings.callers,
      zone: settings.zone,
      region: settings.region,
      linkRate: settings.linkRate ?? 0,
      isReady: this.isReady,
      configurationRevision: fleet.configurationRevision,
      backEndsRevision: fleet.backEnds.revision,
      storeTime: fleet.clock.storeTimeAt(performance.now()),
      versions: fleet.versions.all(),
      entriesKnown: this.#peers.known().known,
      loads: backEnds.loads(),
      held: this.#collection.held(),
      engines: this.#agents.reports().map((report) => ({ ...report, held: [] })),
    };
  }

  /** Tells what changed, once for all changes of a moment: an engine's service to all, what is held to this zone. */
  #announce(audience: 'all' | 'zone'): void {
    if (this.#announcement === undefined) setTimeout(() => this.#tellChanges(), ANNOUNCE_DELAY[audience]);
    if (this.#announcement !== 'all') this.#announcement = audience;
  }

  #tellChanges(): void {
    const audience = this.#announcement ?? 'zone';
    this.#announcement = undefined;
    this.#peers.announce(audience);
    this.#agents.tell();
  }

  #onPeerReport(report: EntryReport): void {
    const { backEnds } = this.#components;
    backEnds.applyLoads(report.id, report.loads);
    for (const engine of report.engines) this.#takeEngineReport(engine);
  }

  /** The start of an engine first: what is told of one that has started again must not go to its former start. */
  #takeEngineReport(report: EngineReport): void {
    const { fleet, backEnds } = this.#components;
    const news = engineNews(report);
    const row = backEnds.rowAt(report.address, news.start);
    if (row !== undefined) fleet.takeStart({ id: row.record.id, start: news.start }, report.follows);
    backEnds.applyReport(report.address, news);
  }

  /**
   * Most connections that are kept to a back end of `service`: what it accepts is divided among all entries that are
   * known, as those that are not heard keep theirs.
   */
  #connectionsKept(service: string): number {
    const accepted = this.#components.fleet.routes?.service(service)?.maxConnections ?? 0;
    if (accepted === 0) return Number.POSITIVE_INFINITY;
    return Math.floor(accepted / this.#peers.known().known);
  }

  #budgetOf(service: string): RetryWindow {
    const known = this.#budgets.get(service);
    if (known !== undefined) return known;
    const { retries } = this.#components.settings;
    const budget = createEntryRetryWindow(retries, () => this.#peers.known(), this.#createdAt);
    this.#budgets.set(service, budget);
    return budget;
  }

  #repetitionCounts(): Record<string, number> {
    const counts: Record<string, number> = {};
    for (const [service, { granted, denied }] of this.#budgets) {
      counts[`${service} granted`] = granted;
      counts[`${service} denied`] = denied;
    }
    return counts;
  }

  #addMetrics(): void {
    const { metrics, counters, fleet, backEnds, sync } = this.#components;
    metrics.add([
      trafficMetrics(counters),
      {
        name: 'configuration_revision',
        help: 'Revision in force here',
        read: () => fleet.configurationRevision,
      },
      { name: 'back_ends_known', help: 'Back ends known here', read: () => backEnds.rows.size },
      {
        name: 'repetitions',
        help: 'Repetitions that the budget was asked for since the start, by service and what came of them',
        label: 'kind',
        read: () => this.#repetitionCounts(),
      },
      { name: 'entries_known', help: 'Entries known since the start', read: () => this.#peers.known().known },
      { name: 'entries_live', help: 'Other entries that live', read: () => this.#peers.live().length },
      { name: 'agents_connected', help: 'Agents connected here', read: () => this.#agents.rows.size },
      { name: 'store_connected', help: '1 while the store answers', read: () => Number(sync.connected) },
      sync.faults.metric,
    ]);
  }
}

function engineNews(report: EngineReport): EngineNews {
  const { version, isReached, isSwitching, slotAddress, load, switchesIn } = report;
  const reportedAt = performance.now();
  // The codec carries no undefined in lists.
  return {
    start: report.start ?? undefined,
    version,
    isReached,
    isSwitching,
    slotAddress,
    load,
    reportedAt,
    switchAt: reportedAt + (switchesIn ?? Number.POSITIVE_INFINITY),
  };
}

/** Names of the headers that callers may not set. */
function headersSet(names: HeaderNames): ReadonlySet<string> {
  const { callerKey, tenant, expectedBackEnd, expectedVersion, urgency, timeLeft } = names;
  return new Set([
    callerKey,
    tenant,
    expectedBackEnd,
    expectedVersion,
    urgency,
    timeLeft,
    'content-length',
    LAST_EVENT_ID,
  ]);
}

/** Whether what requests may be sent to an engine depends on has changed; its load is told with the next report. */
function hasChangedService(before: EngineReport, after: EngineReport): boolean {
  return (
    before.start !== after.start ||
    before.version !== after.version ||
    before.isReached !== after.isReached ||
    before.isSwitching !== after.isSwitching ||
    (before.switchesIn === undefined) !== (after.switchesIn === undefined) ||
    before.address !== after.address
  );
}

function pause(): Promise<void> {
  return sleep(DRAIN_CHECK, new AbortController().signal);
}
