import { DepartureLog } from '../fleet/departure-log.js';
import { sleep } from '../fleet/table-follower.js';
import { ZoneReaders } from '../fleet/zone-readers.js';
import { BackEndBackoffs } from '../forwarding/back-end-backoffs.js';
import { BackEndLimits } from '../forwarding/back-end-limits.js';
import { BackEndSelector } from '../forwarding/back-end-selector.js';
import type { EngineNews } from '../forwarding/back-end-table.js';
import { BackEndWarmUps } from '../forwarding/back-end-warm-ups.js';
import { DirectPermits } from '../forwarding/direct-permits.js';
import { ForwardingServer } from '../forwarding/forwarding-server.js';
import { type HeaderNames, LAST_EVENT_ID } from '../forwarding/header-names.js';
import { PoisonGuard } from '../forwarding/poison-guard.js';
import { QuarantineRecords } from '../forwarding/quarantine-records.js';
import { RestartDetector } from '../forwarding/restart-detector.js';
import { rendezvousOrder } from '../model/random.js';
import { type Startable, StartableGroup } from '../model/startable.js';
import { endsWithin } from '../model/time-limit.js';
import { sendMetrics, trafficMetrics } from '../observability/metrics.js';
import { metricsServer } from '../observability/metrics-server.js';
import { EngineAgents } from '../peers/engine-agents.js';
import { EntryPeers } from '../peers/entry-peers.js';
import { PeerNews } from '../peers/peer-news.js';
import { SlotClient } from '../peers/slot-client.js';
import { type Connection, ConnectionListener } from '../protocol/connection.js';
import type { EngineReport, EntryReport } from '../protocol/reports.js';
import { createRequestListener, httpServer } from '../server/http-server.js';
import { socketsRead } from '../server/sockets-read.js';
import { DrainSchedule } from '../systems/drain-schedule.js';
import { entriesFor } from '../systems/entry-choice.js';
import { createEntryRetryWindow } from '../systems/entry-retry-window.js';
import type { RetryWindow } from '../systems/retry-window.js';
import { pieceRoutes } from '../weights/piece-server.js';
import { VersionCollector } from '../weights/version-collector.js';
import type { DirectEntryComponents } from './direct-entry-components.js';
import { servedVersions, WeightsPlanner } from './weights-planner.js';

const DRAIN_CHECK_INTERVAL = 50;
/** Parts that have not stopped after this time are abandoned, in milliseconds: the process must exit before it is killed. */
const STOP_TIMEOUT = 300;
/** Delay in which changes are batched before they are sent to peers and agents, by audience, in milliseconds. */
const ANNOUNCE_DELAY = { all: 50, zone: 120 };
const MILLISECONDS = 1_000;

/** An entry: accepts callers' requests and forwards them to back ends. */
export class DirectEntry implements Startable {
  readonly #components: DirectEntryComponents;
  readonly #peers: EntryPeers;
  readonly #agents: EngineAgents;
  readonly #collection: VersionCollector;
  readonly #planner: WeightsPlanner;
  readonly #readers: ZoneReaders;
  readonly #slots: SlotClient;
  readonly #forwarding: ForwardingServer;
  readonly #poison: PoisonGuard;
  readonly #warmUps: BackEndWarmUps;
  readonly #limits: BackEndLimits;
  readonly #backoffs: BackEndBackoffs;
  readonly #permits: DirectPermits;
  readonly #parts: StartableGroup;
  readonly #retryBudgets = new Map<string, RetryWindow>();
  readonly #createdAt = performance.now();
  readonly #drain: DrainSchedule;
  #announcement: 'all' | 'zone' | undefined;
  /** Time from the stop signal until it was noticed, in milliseconds. */
  #stopNoticedAfter = 0;

  constructor(components: DirectEntryComponents) {
    const { settings, fleet, backEnds, sync, library, log, random, metrics, context } = components;
    this.#components = components;
    this.#addListMetrics();
    this.#drain = new DrainSchedule({
      graceTime: settings.graceTime,
      addressLifetime: settings.addressLifetimeSeconds * MILLISECONDS,
    });
    fleet.listen(new DepartureLog(fleet.freshness, log));
    fleet.listen({
      onBackEnds: (changes) => backEnds.apply(changes),
      onEvacuation: ({ zone, revision, isEvacuated }, source) => {
        log.info(isEvacuated ? 'zone evacuated' : 'zone taken back', { zone, revision, source });
        this.#agents.sendPlans();
      },
    });
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
      placeOf: (content) => this.#rankAmongEntries(content),
      hasEnded: (row) => backEnds.hasEnded(row),
      isLeaving: (backEnd) => fleet.backEnds.isLeaving(backEnd),
      records: quarantineRecords,
    });
    this.#poison.onNews = (news) => this.#peers.broadcastNews({ type: 'poisonNews', news: [news] });
    this.#warmUps = new BackEndWarmUps({
      fleet,
      healthOf: (id) => backEnds.rows.get(id)?.health,
      log,
      metrics,
    });
    this.#limits = new BackEndLimits(log, metrics, this.#warmUps);
    this.#backoffs = new BackEndBackoffs(log, metrics);
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
      onNews: (news) => this.#peers.broadcastNews({ type: 'limitNews', news: [news] }),
    });
    this.#peers = new EntryPeers({
      context,
      address: settings.peers,
      zone: settings.zone,
      seeds: settings.seeds,
      fleet,
      decoder: components.decoder,
      random,
      report: () => this.#report(),
      unfinishedSwitches: () => backEnds.unfinishedSwitches(),
      onReport: (report) => this.#onPeerReport(report),
      news: new PeerNews(this.#poison, this.#limits),
      onOperatorTable: (state, { id, zone }) => {
        this.#readers.noteReport('operator', state.asOf, zone);
        sync.adoptOperatorTable(state, id);
      },
      onStoreNews: (news, id) => {
        this.#readers.noteNews(news, id);
        sync.applyForwarded(news, id);
      },
      onExpired: ({ id }) => {
        backEnds.applyLoads(id, []);
      },
      log,
    });
    this.#readers = new ZoneReaders({
      self: components.identity,
      zone: settings.zone,
      others: () => this.#readyInZone(),
      isLeaving: () => this.#drain.isUnderWay,
      clock: fleet.clock,
    });
    sync.timeUntilReading = (table) => this.#readers.timeUntilReading(table);
    sync.timeUntilTurn = (table, begin) => this.#readers.timeUntilTurn(table, begin);
    sync.onStoreRestored = () => {
      this.#collection.noteOlderCopy();
      quarantineRecords.noteOlderCopy();
      this.#permits.noteOlderCopy();
    };
    sync.timeUntilFirstRead = () => this.#peers.configurations.timeUntilFirstRead();
    sync.onForward = (news, change) => this.#peers.forwardStoreNews(news, change);
    sync.onAnswered = (table, storeTime) => this.#readers.noteAnswer(table, storeTime);
    backEnds.maxKeptConnections = (service) => this.#maxKeptConnections(service);
    const restarts = new RestartDetector({
      fleet,
      table: backEnds,
      warmUps: this.#warmUps,
      names: components.headers,
      log,
      metrics,
    });
    backEnds.onConnectionLost = (row, loss) => restarts.noteLost(row, loss);
    this.#agents = new EngineAgents(
      (row) => this.#planner.planFor(row),
      (report, before) => {
        this.#applyEngineReport(report);
        if (before === undefined || affectsRouting(before, report)) this.#announce('all');
      },
    );
    this.#collection = new VersionCollector({
      self: { id: components.identity, zone: settings.zone, linkRate: settings.linkRate ?? 0 },
      fleet,
      library,
      objects: components.objects,
      originAt: components.originAt,
      // Unreachable entries are excluded: a version would wait for their pieces, or for them to draw pieces from the origin.
      peers: () => this.#peers.reached(),
      agents: () => [...this.#agents.rows.values()],
      servedVersions: () => servedVersions(fleet.routes?.configuration.services ?? [], backEnds),
      versionBound: settings.versionBound,
      onHeldChanged: (isDrawing) => this.#announce(isDrawing ? 'all' : 'zone'),
      random,
      log,
    });
    const selector = this.#createSelector();
    this.#planner = new WeightsPlanner({
      fleet,
      backEnds,
      versionBound: settings.versionBound,
      isOutOfService: (row) => selector.isOutOfService(row),
      wanted: () => this.#collection.wantedVersions(),
      entries: () => [this.#report(), ...this.#peers.live()],
    });
    this.#slots = new SlotClient(settings.slots, context, random);
    this.#forwarding = new ForwardingServer(
      settings.callers,
      {
        names: components.headers,
        reservedHeaders: protectedHeaders(components.headers),
        fleet,
        backEnds,
        limits: this.#limits,
        warmUps: this.#warmUps,
        backoffs: this.#backoffs,
        permits: this.#permits,
        selector,
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
      (zone, region, host) => this.addresses(zone, region, host),
      settings.addressLifetimeSeconds,
    );
    this.#parts = new StartableGroup([
      new ConnectionListener(settings.peers, context, accept, pieces),
      sync,
      quarantineRecords,
      restarts,
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

  /** Whether callers may be directed to this entry. */
  get isReady(): boolean {
    return !this.#drain.isUnderWay && this.#components.fleet.complete;
  }

  async start(): Promise<void> {
    const { log, settings, identity } = this.#components;
    await this.#parts.start();
    log.info('entry started', { identity, zone: settings.zone, callers: settings.callers });
  }

  /**
   * Leaves the directory at once, serves callers that have cached the address, finishes requests in progress, and stops.
   * @param signalledAt - when the stop signal was sent at the earliest, in milliseconds of the monotonic clock
   */
  async leave(signalledAt = performance.now()): Promise<void> {
    const { log } = this.#components;
    this.#drain.begin(signalledAt);
    this.#stopNoticedAfter = performance.now() - signalledAt;
    this.#announceLeaving();
    log.info('entry leaves', {
      inProgress: this.#forwarding.active,
      noticedMs: Math.round(this.#stopNoticedAfter),
    });
    while (this.#drain.acceptsConnections(performance.now(), this.#forwarding.timeSinceLastRequest)) {
      await pause();
      await socketsRead();
    }
    await this.#forwarding.close();
    await this.#forwarding.drained();
    log.info('entry stops', {
      inProgress: this.#forwarding.active,
      tookMs: Math.round(performance.now() - signalledAt),
      arrivals: this.#forwarding.arrivalsWhileDraining,
    });
    // First and apart from the others, so that the last requests are read and answered however long those take.
    await this.#forwarding.stop();
    const stopTimeout = this.#drain.lastStepTime(STOP_TIMEOUT, performance.now());
    if (!(await endsWithin(this.stop(), stopTimeout)))
      log.warn('parts have not stopped', { after: Math.round(stopTimeout) });
  }

  /** The others notice without it that this entry leaves, only later; an error here must not cut off callers. */
  #announceLeaving(): void {
    try {
      this.#peers.announce('all');
    } catch (cause) {
      this.#components.log.error('leaving was not announced', { cause: String(cause) });
    }
  }

  async stop(): Promise<void> {
    await this.#parts.stop();
    this.#poison.stop();
    await this.#components.backEnds.stop();
  }

  /** Addresses of ready entries for a caller of `zone` with requests for `host`, or for any host if that is empty. */
  addresses(zone: string, region: string, host = ''): string[] {
    const lists = this.#components.fleet.routes?.regionLists(host);
    const ready = [this.#report(), ...this.#peers.live()].filter(({ isReady }) => isReady);
    return entriesFor({ zone, region }, ready, lists).map(({ callerAddress }) => callerAddress);
  }

  #createSelector(): BackEndSelector {
    const { fleet, backEnds, random, settings } = this.#components;
    const { zone, region, regions, versionBound } = settings;
    const regionOf = new Map(Object.entries(regions));
    return new BackEndSelector({
      fleet,
      table: backEnds,
      random,
      self: { zone, region },
      regionOf: (name) => regionOf.get(name),
      versionBound,
      entryCount: () => this.#entryCount,
      limits: this.#limits,
      backoffs: this.#backoffs,
      permits: this.#permits,
    });
  }

  /** Number of live entries, including this one. */
  get #entryCount(): number {
    return this.#peers.live().length + 1;
  }

  /** Identities of the other entries of this zone that are connected and ready. */
  #readyInZone(): string[] {
    const own = this.#components.settings.zone;
    const ready = this.#peers.reached().filter(({ zone, isReady }) => zone === own && isReady);
    return ready.map(({ id }) => id);
  }

  /** Rank of this entry among all live entries by the rendezvous hash of `key`. */
  #rankAmongEntries(key: string): number {
    const { identity } = this.#components;
    return rendezvousOrder(key, [identity, ...this.#peers.live().map(({ id }) => id)]).indexOf(identity);
  }

  #accept(connection: Connection): void {
    if (connection.remote.role === 'agent') this.#agents.accept(connection);
    else this.#peers.accept(connection);
  }

  #report(): EntryReport {
    const { identity, settings, fleet, backEnds, sync } = this.#components;
    const evacuations = fleet.evacuations.all();
    return {
      id: identity,
      address: settings.peers,
      callerAddress: settings.callers,
      zone: settings.zone,
      region: settings.region,
      linkRate: settings.linkRate ?? 0,
      isReady: this.isReady,
      configurationRevision: fleet.configurationRevision,
      operatorTable: sync.operatorTable,
      backEndsRevision: fleet.backEnds.revision,
      storeAvailable: sync.storeAvailable,
      backEndsAsOf: fleet.freshness.completeAsOf,
      storeTime: fleet.clock.storeTimeAt(performance.now()),
      versions: fleet.versions.all(),
      entriesKnown: this.#peers.known().known,
      loads: backEnds.loads(),
      held: this.#collection.held(),
      engines: this.#agents.reports().map((report) => ({ ...report, held: [] })),
      ...(evacuations.length === 0 ? {} : { evacuations }),
    };
  }

  /** Schedules an announcement that batches changes: a change of an engine's service goes to all, held pieces to this zone. */
  #announce(audience: 'all' | 'zone'): void {
    if (this.#announcement === undefined)
      setTimeout(() => this.#sendAnnouncement(), ANNOUNCE_DELAY[audience]);
    if (this.#announcement !== 'all') this.#announcement = audience;
  }

  #sendAnnouncement(): void {
    const audience = this.#announcement ?? 'zone';
    this.#announcement = undefined;
    this.#peers.announce(audience);
    this.#agents.sendPlans();
  }

  #onPeerReport(report: EntryReport): void {
    const { backEnds, sync } = this.#components;
    if (report.storeAvailable) sync.noteStoreAvailable(report.storeAvailable);
    backEnds.applyLoads(report.id, report.loads);
    for (const engine of report.engines) this.#applyEngineReport(engine);
    // The codec encodes undefined in lists as null.
    for (const unfinished of report.unfinishedSwitches ?? [])
      backEnds.applyUnfinishedSwitch({ ...unfinished, start: unfinished.start ?? undefined });
  }

  /** Applies the reported start first, so that the state of a restarted engine is not attributed to its former start. */
  #applyEngineReport(report: EngineReport): void {
    const { fleet, backEnds } = this.#components;
    const news = engineStateOf(report);
    const row = backEnds.rowAt(report.address, news.start);
    if (row !== undefined) {
      const identity = { id: row.record.id, start: news.start };
      fleet.applyReportedStart(identity, report.follows);
      this.#warmUps.noteReported(identity, report.coldLeft ?? 0, performance.now());
    }
    backEnds.applyReport(report.address, news);
  }

  /**
   * Maximum number of connections kept open to a back end of `service`. The back end's limit is divided among all known
   * entries, since entries that are not heard from keep their connections too.
   */
  #maxKeptConnections(service: string): number {
    const accepted = this.#components.fleet.routes?.service(service)?.maxConnections ?? 0;
    if (accepted === 0) return Number.POSITIVE_INFINITY;
    return Math.floor(accepted / this.#peers.known().known);
  }

  #budgetOf(service: string): RetryWindow {
    const existing = this.#retryBudgets.get(service);
    if (existing !== undefined) return existing;
    const { retries } = this.#components.settings;
    const budget = createEntryRetryWindow(retries, () => this.#peers.known(), this.#createdAt);
    this.#retryBudgets.set(service, budget);
    return budget;
  }

  #retryCounts(): Record<string, number> {
    const counts: Record<string, number> = {};
    for (const [service, { granted, denied }] of this.#retryBudgets) {
      counts[`${service} granted`] = granted;
      counts[`${service} denied`] = denied;
    }
    return counts;
  }

  /** Registered first: a scraper may truncate a long page. */
  #addListMetrics(): void {
    const { metrics, fleet } = this.#components;
    const { freshness } = fleet;
    metrics.add([
      {
        name: 'back_end_list_age_milliseconds',
        help: 'Time of the store since the list of back ends was complete: now, and the longest since the start as a request was sent',
        label: 'at',
        read: () => ({ now: freshness.age(performance.now()), send: freshness.longestAgeAtSend }),
      },
    ]);
  }

  #addMetrics(): void {
    const { metrics, counters, sent, fleet, backEnds, sync } = this.#components;
    metrics.add([
      trafficMetrics(counters),
      ...sendMetrics(sent),
      {
        name: 'configuration_revision',
        help: 'Revision in force here',
        read: () => fleet.configurationRevision,
      },
      {
        name: 'stop_noticed_milliseconds',
        help: 'Time from the stop signal until this process noticed it, at the most; 0 before a signal',
        read: () => this.#stopNoticedAfter,
      },
      { name: 'back_ends_known', help: 'Back ends known here', read: () => backEnds.rows.size },
      {
        name: 'repetitions',
        help: 'Repetitions that the budget was asked for since the start, by service and what came of them',
        label: 'kind',
        read: () => this.#retryCounts(),
      },
      { name: 'entries_known', help: 'Entries known since the start', read: () => this.#peers.known().known },
      { name: 'entries_live', help: 'Other entries that live', read: () => this.#peers.live().length },
      { name: 'agents_connected', help: 'Agents connected here', read: () => this.#agents.rows.size },
      {
        name: 'zones_evacuated',
        help: '1 for each zone that the operator has taken out of service',
        label: 'zone',
        read: () => Object.fromEntries(fleet.evacuations.evacuated().map((zone) => [zone, 1])),
      },
      {
        name: 'unfinished_switches',
        help: 'Switches of engines that an agent has announced and not reported as ended; the engines get no requests',
        read: () => backEnds.unfinishedSwitches().length,
      },
      { name: 'store_connected', help: '1 while the store answers', read: () => Number(sync.connected) },
      this.#peers.configurations.metric,
      sync.faults.metric,
    ]);
  }
}

/** @param now - when the report was received, in milliseconds of the monotonic clock */
export function engineStateOf(report: EngineReport, now = performance.now()): EngineNews {
  const { agent, stamp, version, isReached, isSwitching, isProven, slotAddress, load, switchesIn } = report;
  // The codec encodes undefined in lists as null.
  return {
    start: report.start ?? undefined,
    agent: agent ?? undefined,
    stamp: stamp ?? undefined,
    version,
    isReached,
    isSwitching,
    isProven: isProven ?? undefined,
    slotAddress,
    load,
    reportedAt: now - (report.age ?? 0),
    switchAt: now + (switchesIn ?? Number.POSITIVE_INFINITY),
  };
}

/** Names of the headers that callers must not set. */
function protectedHeaders(names: HeaderNames): ReadonlySet<string> {
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

/** Whether a change affects which requests may be sent to the engine; a changed load waits for the next periodic report. */
function affectsRouting(before: EngineReport, after: EngineReport): boolean {
  return (
    before.start !== after.start ||
    before.version !== after.version ||
    before.isReached !== after.isReached ||
    before.isSwitching !== after.isSwitching ||
    before.isProven !== after.isProven ||
    (before.switchesIn === undefined) !== (after.switchesIn === undefined) ||
    before.address !== after.address
  );
}

function pause(): Promise<void> {
  return sleep(DRAIN_CHECK_INTERVAL, new AbortController().signal);
}
