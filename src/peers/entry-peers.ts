/**
 * Connections among the entries that call back ends directly. Each entry reports to all others several times
 * a second that it is live, its requests in flight and the newest store revisions it knows, so that an entry
 * that is cut off from the store learns of changes from those that are not.
 */
import type { FleetView } from '../fleet/fleet-view.js';
import type { RecordDecoder } from '../fleet/record-decoder.js';
import { type Random, rendezvousOrder } from '../model/random.js';
import { StallDetector } from '../model/stall-detector.js';
import type { Startable } from '../model/startable.js';
import { withLimit } from '../model/time-limit.js';
import type { Log } from '../observability/log.js';
import type { BackEndListState } from '../protocol/back-end-list-state.js';
import type { ConfigurationUpdate } from '../protocol/configuration-update.js';
import {
  type Connect,
  type ConnectionContext,
  connect,
  type EncodedMessage,
  encodeForMany,
  type PeerConnection,
} from '../protocol/connection.js';
import type { Message } from '../protocol/messages.js';
import type { EntryReport, TableState, UnfinishedSwitch } from '../protocol/reports.js';
import type { ConfigurationChange, StoreUpdate } from '../protocol/store-update.js';
import {
  lacksAddresses,
  recipientsOfAllAddresses,
  recipientsOfNewAddress,
} from '../systems/address-gossip.js';
import type { EntriesKnown } from '../systems/entry-retry-window.js';
import { ConfigurationExchange } from './configuration-exchange.js';
import { DialBackoff } from './dial-backoff.js';
import { FleetRequestGate } from './fleet-request-gate.js';
import type { PeerNews } from './peer-news.js';
import { pingDelay, REPORT_TICK, reportInterval, reportLifetime, silenceLimit } from './report-rate.js';

/** Longest pause between two attempts to connect to an entry, in milliseconds. */
const MAX_REDIAL_PAUSE = 4_000;
/** Interval at which all known addresses are sent to all or some of the other entries, in milliseconds. */
const ADDRESS_GOSSIP_INTERVAL = 2_000;
/**
 * New addresses are sent after this delay, in milliseconds: entries that start together know only the seeds,
 * and fetch weights twice until they know of one another. Entries that come up within the delay are announced
 * together.
 */
const NEWCOMER_GOSSIP_DELAY = 40;
/**
 * Of two entries that have just learnt of one another, the one whose address sorts last waits this long for
 * the other to connect, in milliseconds. Otherwise both connect, and each pair keeps two connections of which
 * one carries only pings: 9,900 connections among 100 entries instead of 4,950. The delay exceeds the time in
 * which addresses reach all entries that start together.
 */
const DIAL_DEFERRAL = 400;

/**
 * A connection that was reset is restored within this time, in milliseconds, or the other entry is
 * unreachable: one tick of 150 ms and a pair of messages. Such an entry still counts as live for some
 * seconds, but must not be waited for.
 */
const RECONNECT_GRACE = 300;

/**
 * The whole list of back ends is requested from an entry whose list is more current than the own one by at least this, in
 * milliseconds of the store's clock: while the store is slow for all, lists differ by less, and requests would help nobody.
 */
const MIN_LIST_GAIN = 500;

interface PeerRow {
  address: string;
  connection: PeerConnection | undefined;
  /**
   * Since when there is no connection, in milliseconds of the monotonic clock; undefined while there is one.
   */
  closedAt: number | undefined;
  isDialling: boolean;
  dialAt: number;
  dialBackoff: DialBackoff;
  reportSentAt: number;
  report: EntryReport | undefined;
  lastReportAt: number;
  /** {@link EntryPeersOptions.onExpired} has been called for its latest report. */
  hasExpired: boolean;
  /** Its process has said that it takes configuration updates. */
  takesUpdates: boolean;
  /** The connection on which all news was last sent to it. */
  newsSentOn: PeerConnection | undefined;
}

export interface EntryPeersOptions {
  context: ConnectionContext;
  /** Opens connections to other entries; by default over the network. */
  connect?: Connect;
  /** `host:port` at which other entries connect to this one. */
  address: string;
  zone: string;
  /** Configured addresses at which entries may be running. */
  seeds: readonly string[];
  fleet: FleetView;
  decoder: RecordDecoder;
  /** Interval at which all known addresses are sent, in milliseconds. */
  addressGossipInterval?: number;
  /**
   * Time for which one of two entries that learn of one another waits for the other to connect, in
   * milliseconds.
   */
  dialDeferral?: number;
  /**
   * Time without an answer after which another entry is asked for the configuration or the back ends, in
   * milliseconds.
   */
  answerTimeout?: number;
  random: Random;
  report: () => EntryReport;
  /** Unfinished switches for an entry that may know of none: it has just started, or was cut off. */
  unfinishedSwitches?: () => UnfinishedSwitch[];
  onReport: (report: EntryReport) => void;
  news: PeerNews;
  /** Called when an entry is known to have applied just what this one has of the operator's table, and how current that is. */
  onOperatorTable: (state: TableState, report: EntryReport) => void;
  /** Called with what the entry `id` has read from the store. */
  onStoreNews: (news: StoreUpdate, id: string) => void;
  /**
   * Called when the process that sent this latest report has not reported for too long, or another has started
   * at its address.
   */
  onExpired: (report: EntryReport) => void;
  log: Log;
}

/** Connects to the other entries, exchanges reports with them and tracks which are live. */
export class EntryPeers implements Startable {
  readonly #options: EntryPeersOptions;
  readonly #rows = new Map<string, PeerRow>();
  readonly #standstills = new StallDetector(REPORT_TICK, performance.now());
  readonly configurations: ConfigurationExchange;
  readonly #listGate: FleetRequestGate;
  #timer: NodeJS.Timeout | undefined;
  #stopped = new AbortController();
  #addressesSentAt = performance.now();
  #newcomerTimer: NodeJS.Timeout | undefined;
  /** Entries that have reported and are not yet announced to the others. */
  #newcomers: PeerRow[] = [];

  constructor(options: EntryPeersOptions) {
    this.#options = options;
    const { answerTimeout, fleet, decoder, zone, log } = options;
    this.configurations = new ConfigurationExchange({ fleet, decoder, zone, answerTimeout, log });
    this.#listGate = new FleetRequestGate(answerTimeout);
    this.addAddresses(options.seeds);
  }

  async start(): Promise<void> {
    this.#stopped = new AbortController();
    this.#standstills.reset(performance.now());
    this.#timer = setInterval(() => this.#tick(), REPORT_TICK);
    this.#tick();
  }

  async stop(): Promise<void> {
    clearInterval(this.#timer);
    clearTimeout(this.#newcomerTimer);
    this.#stopped.abort();
    for (const { connection } of this.#rows.values()) connection?.close();
  }

  /** Adds addresses at which entries may be running. */
  addAddresses(addresses: readonly string[]): void {
    for (const address of addresses) {
      if (address !== this.#options.address && !this.#rows.has(address))
        this.#rows.set(address, createRow(address));
    }
  }

  /** The latest reports of live entries. */
  live(): EntryReport[] {
    const now = performance.now();
    const rows = [...this.#rows.values()].filter((row) => this.#isLive(row, now));
    return rows.flatMap(({ report }) => report ?? []);
  }

  /** The latest reports of live entries that are connected, or were a moment ago. */
  reached(): EntryReport[] {
    const now = performance.now();
    const isReached = ({ closedAt }: PeerRow) => closedAt === undefined || now - closedAt < RECONNECT_GRACE;
    const rows = [...this.#rows.values()].filter((row) => isReached(row) && this.#isLive(row, now));
    return rows.flatMap(({ report }) => report ?? []);
  }

  /**
   * What this entry knows of the number of entries. Entries that no longer report still count, as they may still
   * be running.
   */
  known(): EntriesKnown {
    const { address, seeds } = this.#options;
    const knownToOthers = [...this.#rows.values()].map(({ report }) => report?.entriesKnown ?? 0);
    const heardSeeds = seeds.filter((seed) => seed === address || this.#rows.get(seed)?.report !== undefined);
    return {
      known: Math.max(this.#rows.size + 1, ...knownToOthers),
      hasSeedMajority: 2 * heardSeeds.length > seeds.length || seeds.length === 0,
    };
  }

  /** Accepts a connection opened by another entry. */
  accept(connection: PeerConnection): void {
    const { address } = connection.remote.peer;
    this.addAddresses([address]);
    const row = this.#rows.get(address);
    if (row !== undefined) this.#useConnection(row, connection);
  }

  /** Sends a report at once, to all entries or to those of the own zone. */
  announce(audience: 'all' | 'zone'): void {
    const message = this.#encodedReport();
    for (const row of this.#rows.values()) {
      if (audience === 'all' || this.#isNear(row)) this.#sendReport(row, message);
    }
  }

  /**
   * Forwards what was read from the store to the entries of the own zone, before it is applied here.
   * @param change - the configurations among the rows, if there are any: sent as a difference to all that understand it
   */
  forwardStoreNews(news: StoreUpdate, change?: ConfigurationChange): void {
    const near = [...this.#rows.values()].filter((row) => this.#isNear(row));
    const [updated, others] =
      change === undefined ? [[], near] : partition(near, ({ takesUpdates }) => takesUpdates);
    if (change !== undefined) this.#forwardConfiguration(news, change, updated);
    this.#sendToAll(others, () => ({ type: 'storeNews', news }));
  }

  /** The configuration goes first: the rows that follow are complete only with it. */
  #forwardConfiguration(
    news: StoreUpdate,
    { latest, otherRows }: ConfigurationChange,
    recipients: readonly PeerRow[],
  ): void {
    if (latest !== undefined)
      this.#sendToAll(recipients, () => ({
        type: 'configurationUpdate',
        update: this.configurations.updateTo(latest),
      }));
    this.#sendToAll(recipients, () => ({ type: 'storeNews', news: { ...news, rows: otherRows } }));
  }

  #sendToAll(recipients: readonly PeerRow[], message: () => Message): void {
    if (recipients.length === 0) return;
    const encoded = encodeForMany(message(), this.#options.context);
    for (const { connection } of recipients) connection?.sendEncoded(encoded);
  }

  /** Sends news to all entries immediately, because any of them may receive the next request it applies to. */
  broadcastNews(news: Message): void {
    const message = encodeForMany(news, this.#options.context);
    for (const { connection } of this.#rows.values()) connection?.sendEncoded(message);
  }

  #tick(): void {
    const now = performance.now();
    this.#standstills.tick(now);
    const due: PeerRow[] = [];
    for (const row of this.#rows.values()) {
      this.#closeIfSilent(row);
      this.#expireIfSilent(row, now);
      if (row.connection?.open !== true) this.#dial(row, now);
      // Allows for timer jitter of some milliseconds.
      else if (now - row.reportSentAt >= reportInterval(this.#isNear(row), this.#rows.size) * 0.9)
        due.push(row);
    }
    if (due.length > 0) {
      const message = this.#encodedReport();
      for (const row of due) this.#sendReport(row, message);
    }
    const { addressGossipInterval = ADDRESS_GOSSIP_INTERVAL } = this.#options;
    if (now - this.#addressesSentAt >= addressGossipInterval) this.#gossipAddresses();
  }

  /**
   * Closes a silent connection: one may go silent for good, without an end or a reset, while new ones work.
   */
  #closeIfSilent(row: PeerRow): void {
    const { connection, address } = row;
    if (connection === undefined) return;
    const isNear = this.#isNear(row);
    connection.pingAfterIdle = pingDelay(isNear, this.#rows.size);
    connection.receiveTimeout = silenceLimit(isNear, this.#rows.size);
    if (connection.receiveIdleTime <= connection.receiveTimeout) return;
    this.#options.log.info('entry connection silent, closing it', {
      address,
      silentMs: Math.round(connection.receiveIdleTime),
    });
    connection.close();
  }

  #expireIfSilent(row: PeerRow, now: number): void {
    if (row.report === undefined || row.hasExpired || this.#isLive(row, now)) return;
    row.hasExpired = true;
    this.#options.onExpired(row.report);
  }

  /** Sends the addresses of all live entries to all others, or to some chosen at random. */
  #gossipAddresses(): void {
    this.#addressesSentAt = performance.now();
    const message = this.#encodedAddresses();
    for (const { connection } of recipientsOfAllAddresses(this.#connected(), this.#options.random))
      connection?.sendEncoded(message);
  }

  /** Announces an entry after its first report with a short delay, together with others that report meanwhile. */
  #scheduleNewcomerGossip(newcomer: PeerRow): void {
    this.#newcomers.push(newcomer);
    this.#newcomerTimer ??= setTimeout(() => {
      this.#newcomerTimer = undefined;
      this.#gossipNewcomers(this.#newcomers.splice(0));
    }, NEWCOMER_GOSSIP_DELAY);
  }

  /** Announces newcomers to other entries, and sends the newcomers the addresses that they lack. */
  #gossipNewcomers(newcomers: readonly PeerRow[]): void {
    const { context, random } = this.#options;
    const known = this.#rows.size + 1;
    const all = this.#encodedAddresses();
    for (const { connection, report } of newcomers)
      if (lacksAddresses(report?.entriesKnown ?? 0, known)) connection?.sendEncoded(all);
    const addresses = newcomers.map(({ address }) => address);
    const message = encodeForMany({ type: 'entryAddresses', addresses }, context);
    for (const { connection } of recipientsOfNewAddress(this.#connected(), random))
      connection?.sendEncoded(message);
  }

  #connected(): PeerRow[] {
    return [...this.#rows.values()].filter(({ connection }) => connection?.open === true);
  }

  #encodedAddresses(): EncodedMessage {
    const addresses = [this.#options.address, ...this.live().map(({ address }) => address)];
    return encodeForMany({ type: 'entryAddresses', addresses }, this.#options.context);
  }

  #encodedReport(additions: Partial<EntryReport> = {}): EncodedMessage {
    const report = { ...this.#options.report(), ...additions };
    return encodeForMany({ type: 'entryReport', report }, this.#options.context);
  }

  /** What the first report on a connection contains in addition. */
  #firstAdditions(): Partial<EntryReport> {
    const unfinishedSwitches = this.#options.unfinishedSwitches?.() ?? [];
    return {
      takesConfigurationUpdates: true,
      ...(unfinishedSwitches.length === 0 ? {} : { unfinishedSwitches }),
    };
  }

  /**
   * Whether the entry has reported recently. Only time in which this process was running counts as silence of
   * another.
   */
  #isLive(row: PeerRow, now: number): boolean {
    const silence = this.#standstills.runningTime(row.lastReportAt, now);
    return silence < reportLifetime(this.#isNear(row), this.#rows.size);
  }

  #isNear({ report }: PeerRow): boolean {
    return report?.zone === this.#options.zone;
  }

  #sendReport(row: PeerRow, message: EncodedMessage): void {
    if (row.connection?.sendEncoded(message) === true) row.reportSentAt = performance.now();
  }

  #dial(row: PeerRow, now: number): void {
    if (row.isDialling || now < row.dialAt) return;
    row.isDialling = true;
    const dialSignal = withLimit(this.#stopped.signal, row.dialBackoff.timeout);
    const { context, connect: open = connect } = this.#options;
    void open(row.address, context, dialSignal).then((connected) => {
      row.isDialling = false;
      if (!connected.ok) {
        row.dialAt = performance.now() + row.dialBackoff.noteFailure();
        return;
      }
      if (this.#stopped.signal.aborted) return connected.value.close();
      this.#useConnection(row, connected.value);
    });
  }

  #useConnection(row: PeerRow, connection: PeerConnection): void {
    // Both may connect at the same time: the later connection is used for sending, both for receiving.
    row.connection = connection;
    row.closedAt = undefined;
    row.dialBackoff.noteSuccess();
    connection.onClose = () => {
      if (row.connection !== connection) return;
      row.connection = undefined;
      row.closedAt = performance.now();
    };
    connection.handleMessages((message) => this.#handle(row, connection, message));
    this.#sendReport(row, this.#encodedReport(this.#firstAdditions()));
  }

  #handle(row: PeerRow, connection: PeerConnection, message: Message): void {
    if (message.type === 'entryReport') return this.#onReport(row, connection, message.report);
    if (message.type === 'entryAddresses') return this.#addAndDial(message.addresses);
    if (message.type === 'fleetWanted') return this.#sendWanted(connection, message);
    if (message.type === 'fleetConfiguration')
      return void this.configurations.applyDocument(Buffer.from(message.document), row.address);
    if (message.type === 'configurationWanted')
      return this.configurations.sendUpdate(connection, message.base);
    if (message.type === 'configurationUpdate') return this.#applyUpdate(row, connection, message.update);
    if (message.type === 'fleetBackEnds') return this.#applyBackEnds(row, message.state);
    if (this.#options.news.apply(message)) return;
    if (message.type === 'storeNews' && row.report !== undefined)
      return this.#options.onStoreNews(withoutNulls(message.news), row.report.id);
  }

  #onReport(row: PeerRow, connection: PeerConnection, report: EntryReport): void {
    const now = performance.now();
    const isNewcomer = !this.#isLive(row, now);
    const { fleet, onExpired } = this.#options;
    const isNewProcess = row.report?.id !== report.id;
    if (row.report !== undefined && isNewProcess && !row.hasExpired) onExpired(row.report);
    row.lastReportAt = now;
    row.report = report;
    row.takesUpdates = report.takesConfigurationUpdates === true || (row.takesUpdates && !isNewProcess);
    row.hasExpired = false;
    if (isNewcomer) {
      this.#options.log.info('entry heard', { entry: report.id, address: report.address, zone: report.zone });
      this.#scheduleNewcomerGossip(row);
    }
    // A process that restarts before the report of the previous one expires is not a newcomer, but lacks all
    // news that were sent to the previous one.
    if (row.newsSentOn !== connection) this.#sendAllNews(row, connection);
    fleet.clock.addSample(report.storeTime, now);
    for (const named of report.versions) fleet.applyNamedVersion(named);
    for (const change of report.evacuations ?? []) fleet.applyEvacuation(change, report.address);
    if (report.backEndsAsOf !== undefined)
      fleet.noteListAsOf(report.backEndsRevision, report.backEndsAsOf, report.address);
    this.#requestNewer(connection, row, now);
    this.#adoptOperatorTable(report);
    this.#options.onReport(report);
  }

  #adoptOperatorTable(report: EntryReport): void {
    const { fleet, onOperatorTable } = this.#options;
    if (report.operatorTable == null || report.configurationRevision !== fleet.configurationRevision) return;
    onOperatorTable(report.operatorTable, report);
  }

  /** An update from another zone is passed on in the own one: its entries lack it too, or would request a copy each. */
  #applyUpdate(row: PeerRow, connection: PeerConnection, update: ConfigurationUpdate): void {
    if (!this.configurations.applyUpdate(update, { address: row.address, connection })) return;
    if (row.report !== undefined) this.#adoptOperatorTable(row.report);
    if (this.#isNear(row)) return;
    for (const other of this.#rows.values()) {
      if (!this.#isNear(other) || !other.takesUpdates || other.connection === undefined) continue;
      this.configurations.sendUpdate(other.connection, other.report?.configurationRevision ?? 0);
    }
  }

  /**
   * Sends all news: an entry that has just started or was cut off would otherwise forward requests that other
   * entries hold back.
   */
  #sendAllNews(row: PeerRow, connection: PeerConnection): void {
    row.newsSentOn = connection;
    for (const message of this.#options.news.all()) connection.send(message);
  }

  #requestNewer(connection: PeerConnection, { report, takesUpdates }: PeerRow, now: number): void {
    if (report === undefined) return;
    const { fleet } = this.#options;
    const isNewer = report.configurationRevision > fleet.configurationRevision;
    const isListWanted = this.#isListWanted(report, now);
    const isNear = report.zone === this.#options.zone;
    const place = (isNewer || isListWanted) && !isNear ? this.#rankInZone() : 0;
    this.configurations.requestNewer(connection, report, { place, takesUpdates });
    const { backEnds: list, freshness } = fleet;
    const conditions = {
      ownRevision: list.revision,
      isNear,
      place,
      behindSince: list.revision === 0 ? undefined : freshness.outdatedSince(now),
      now,
    };
    if (isListWanted && this.#listGate.tryRequest(connection, conditions))
      connection.send({ type: 'fleetWanted', configuration: false, backEnds: true });
  }

  /** Whether this entry's list of back ends is outdated, and the one of the entry that reports is more current. */
  #isListWanted({ backEndsRevision, backEndsAsOf }: EntryReport, now: number): boolean {
    const { backEnds, freshness } = this.#options.fleet;
    if (freshness.outdatedSince(now) === undefined || backEndsRevision <= backEnds.revision) return false;
    return (backEndsAsOf ?? Number.POSITIVE_INFINITY) - freshness.completeAsOf >= MIN_LIST_GAIN;
  }

  /** Index of this entry in the order of the connected entries of its zone. */
  #rankInZone(): number {
    const { address, zone } = this.#options;
    const near = this.reached().filter((report) => report.zone === zone);
    return rendezvousOrder(zone, [address, ...near.map((report) => report.address)]).indexOf(address);
  }

  /**
   * Adds unknown addresses and connects to them. Of two entries that learn of one another at the same time,
   * one lets the other connect first.
   */
  #addAndDial(addresses: readonly string[]): void {
    const unknown = addresses.filter((address) => !this.#rows.has(address));
    if (unknown.length === 0) return;
    this.addAddresses(unknown);
    const now = performance.now();
    const { address: own, dialDeferral = DIAL_DEFERRAL } = this.#options;
    for (const address of unknown) {
      const row = this.#rows.get(address);
      if (row !== undefined && address < own) row.dialAt = now + dialDeferral;
    }
    for (const row of this.#rows.values()) if (row.connection === undefined) this.#dial(row, now);
  }

  #sendWanted(connection: PeerConnection, wanted: { configuration: boolean; backEnds: boolean }): void {
    const { fleet } = this.#options;
    if (wanted.configuration && fleet.document !== undefined)
      connection.send({ type: 'fleetConfiguration', document: fleet.document });
    if (wanted.backEnds) connection.send({ type: 'fleetBackEnds', state: fleet.backEndListState() });
  }

  #applyBackEnds(row: PeerRow, { revision, completeAsOf, records }: BackEndListState): void {
    this.#listGate.noteAnswer();
    const { fleet } = this.#options;
    if (fleet.freshness.outdatedSince(performance.now()) === undefined) return;
    // The codec turns undefined into null.
    const decoded = records.map((record) => ({
      ...record,
      start: record.start ?? undefined,
      layers: record.layers ?? undefined,
    }));
    fleet.applyBackEndList(
      { revision, completeAsOf: completeAsOf ?? undefined, records: decoded },
      row.address,
    );
  }
}

function partition<T>(items: readonly T[], isFirst: (item: T) => boolean): [first: T[], second: T[]] {
  return [items.filter(isFirst), items.filter((item) => !isFirst(item))];
}

/** The codec turns undefined in lists into null: a deleted row has no value. */
function withoutNulls(news: StoreUpdate): StoreUpdate {
  const rows = news.rows.map((row) => ({
    ...row,
    value: row.value == null ? undefined : Buffer.from(row.value),
  }));
  return { ...news, rows };
}

function createRow(address: string): PeerRow {
  return {
    address,
    connection: undefined,
    closedAt: undefined,
    isDialling: false,
    dialAt: 0,
    dialBackoff: new DialBackoff(MAX_REDIAL_PAUSE),
    reportSentAt: 0,
    report: undefined,
    lastReportAt: Number.NEGATIVE_INFINITY,
    hasExpired: false,
    takesUpdates: false,
    newsSentOn: undefined,
  };
}
