/**
 * Entries that call back ends directly know one another: each tells all others several times a second that it lives,
 * what it has in flight and how far it knows the store's news, so that one that is cut off from the store learns from
 * those that are not.
 */
import type { FleetView } from '../fleet/fleet-view.js';
import type { RecordDecoder } from '../fleet/record-decoder.js';
import { type Random, rendezvousOrder } from '../model/random.js';
import { StallDetector } from '../model/standstills.js';
import type { Startable } from '../model/startable.js';
import { withLimit } from '../model/time-limit.js';
import type { Log } from '../observability/log.js';
import type { BackEndListState } from '../protocol/back-end-list-state.js';
import {
  type Connection,
  type ConnectionContext,
  connect,
  type EncodedMessage,
  encodeForMany,
} from '../protocol/connection.js';
import type { Message } from '../protocol/messages.js';
import type { EntryReport } from '../protocol/reports.js';
import type { StoreNews } from '../protocol/store-news.js';
import { lacksAddresses, toldInTurn, toldOfNew } from '../systems/address-gossip.js';
import type { EntriesKnown } from '../systems/entry-retry-window.js';
import { Dialling } from './dialling.js';
import { FleetWish } from './fleet-wish.js';
import type { PeerNews } from './peer-news.js';
import { REPORT_TICK, reportInterval, reportLife, signTime, silenceLimit } from './report-rate.js';

/** Longest time between two tries to reach an entry, in milliseconds. */
const LONGEST_REDIAL = 4_000;
/** Time between two tellings of all addresses, to all or to some, in milliseconds. */
const ADDRESSES_INTERVAL = 2_000;
/**
 * New addresses are told after this, in milliseconds: entries that start together know only the seeds, and fetch
 * weights twice until they know of one another. Several that come up in one moment are told together.
 */
const NEW_ADDRESSES_DELAY = 40;
/**
 * Of two entries that have just learnt of one another, the one whose address sorts last leaves it to the other to connect for
 * this long, in milliseconds. Otherwise both do, and each pair keeps two connections of which one only asks for signs of life:
 * 9,900 of them among 100 entries in place of 4,950. It is above the time that news take to reach all entries of a start.
 */
const OTHER_DIALS_FIRST = 400;

/**
 * A connection that was reset is there again within this, in milliseconds, or the other entry cannot be reached: a look each
 * 150 and a message pair. Such an entry is believed to live for seconds more, but is not to be waited for.
 */
const RECONNECT_TIME = 300;

interface PeerRow {
  address: string;
  connection: Connection | undefined;
  /** Since when there is none, in milliseconds of the steady clock; undefined while there is one. */
  closedAt: number | undefined;
  isDialling: boolean;
  dialAt: number;
  dialling: Dialling;
  toldAt: number;
  report: EntryReport | undefined;
  heardAt: number;
  /** Told that its latest report has lapsed. */
  hasLapsed: boolean;
  /** The connection on which it was last sent all news. */
  toldNewsOn: Connection | undefined;
}

/** What the peers work with. */
export interface EntryPeersOptions {
  context: ConnectionContext;
  /** This entry's address for others. */
  address: string;
  zone: string;
  /** Addresses of entries that may be there. */
  seeds: readonly string[];
  fleet: FleetView;
  decoder: RecordDecoder;
  /** False while this entry does not hear the store. */
  hearsStore: () => boolean;
  /** Time between two tellings of all addresses, in milliseconds. */
  addressesInterval?: number;
  /** Time for which the other of two entries that learn of one another may connect first, in milliseconds. */
  otherDialsFirst?: number;
  /** Time after which another entry is asked for what the first has not sent, in milliseconds. */
  answerTime?: number;
  random: Random;
  report: () => EntryReport;
  onReport: (report: EntryReport) => void;
  news: PeerNews;
  /** Takes what the entry `id` has read of the store. */
  onStoreNews: (news: StoreNews, id: string) => void;
  /** The process of this latest report is not heard any more, or another one has started at its address. */
  onLapsed: (report: EntryReport) => void;
  log: Log;
}

/** The other entries. */
export class EntryPeers implements Startable {
  readonly #options: EntryPeersOptions;
  readonly #rows = new Map<string, PeerRow>();
  readonly #standstills = new StallDetector(REPORT_TICK, performance.now());
  readonly #wishes: Record<'configuration' | 'backEnds', FleetWish>;
  #timer: NodeJS.Timeout | undefined;
  #stopped = new AbortController();
  #addressesToldAt = performance.now();
  #newAddressesTimer: NodeJS.Timeout | undefined;
  /** Entries that were heard and of which the others have not been told. */
  #newcomers: PeerRow[] = [];

  constructor(options: EntryPeersOptions) {
    this.#options = options;
    const { answerTime } = options;
    this.#wishes = { configuration: new FleetWish(answerTime), backEnds: new FleetWish(answerTime) };
    this.learn(options.seeds);
  }

  async start(): Promise<void> {
    this.#stopped = new AbortController();
    this.#standstills.reset(performance.now());
    this.#timer = setInterval(() => this.#tick(), REPORT_TICK);
    this.#tick();
  }

  async stop(): Promise<void> {
    clearInterval(this.#timer);
    clearTimeout(this.#newAddressesTimer);
    this.#stopped.abort();
    for (const { connection } of this.#rows.values()) connection?.close();
  }

  /** Addresses at which entries may be. */
  learn(addresses: readonly string[]): void {
    for (const address of addresses) {
      if (address !== this.#options.address && !this.#rows.has(address))
        this.#rows.set(address, createRow(address));
    }
  }

  /** The latest reports of entries that live. */
  live(): EntryReport[] {
    const now = performance.now();
    const rows = [...this.#rows.values()].filter((row) => this.#lives(row, now));
    return rows.flatMap(({ report }) => report ?? []);
  }

  /** The latest reports of entries that live and to which there is a connection, or was a moment ago. */
  reached(): EntryReport[] {
    const now = performance.now();
    const isReached = ({ closedAt }: PeerRow) => closedAt === undefined || now - closedAt < RECONNECT_TIME;
    const rows = [...this.#rows.values()].filter((row) => isReached(row) && this.#lives(row, now));
    return rows.flatMap(({ report }) => report ?? []);
  }

  /** What this entry knows of how many entries there are. It forgets none: those that it does not hear may live. */
  known(): EntriesKnown {
    const { address, seeds } = this.#options;
    const told = [...this.#rows.values()].map(({ report }) => report?.entriesKnown ?? 0);
    const heardSeeds = seeds.filter((seed) => seed === address || this.#rows.get(seed)?.report !== undefined);
    return {
      known: Math.max(this.#rows.size + 1, ...told),
      hasHeardMostSeeds: 2 * heardSeeds.length > seeds.length || seeds.length === 0,
    };
  }

  /** Takes a connection that another entry opened. */
  accept(connection: Connection): void {
    const { address } = connection.remote.peer;
    this.learn([address]);
    const row = this.#rows.get(address);
    if (row !== undefined) this.#take(row, connection);
  }

  /** Tells at once what has changed: all entries, or those of the own zone. */
  announce(audience: 'all' | 'zone'): void {
    const message = this.#encodedReport();
    for (const row of this.#rows.values()) {
      if (audience === 'all' || this.#isNear(row)) this.#tell(row, message);
    }
  }

  /** Passes on what was read of the store, to those of the own zone. */
  passStoreNews(news: StoreNews): void {
    const near = [...this.#rows.values()].filter((row) => this.#isNear(row));
    if (near.length === 0) return;
    const message = encodeForMany({ type: 'storeNews', news }, this.#options.context);
    for (const { connection } of near) connection?.sendEncoded(message);
  }

  /** Sends news to all entries immediately, because any of them may receive the next request it applies to. */
  passNews(news: Message): void {
    const message = encodeForMany(news, this.#options.context);
    for (const { connection } of this.#rows.values()) connection?.sendEncoded(message);
  }

  #tick(): void {
    const now = performance.now();
    this.#standstills.tick(now);
    const due: PeerRow[] = [];
    for (const row of this.#rows.values()) {
      this.#endSilent(row);
      this.#endLapsed(row, now);
      if (row.connection?.open !== true) this.#dial(row, now);
      // Timers are late by some milliseconds.
      else if (now - row.toldAt >= reportInterval(this.#isNear(row), this.#rows.size) * 0.9) due.push(row);
    }
    if (due.length > 0) {
      const message = this.#encodedReport();
      for (const row of due) this.#tell(row, message);
    }
    const { addressesInterval = ADDRESSES_INTERVAL } = this.#options;
    if (now - this.#addressesToldAt >= addressesInterval) this.#tellAddresses();
  }

  /** A connection may go silent for good, without an end or a reset, while new ones work. */
  #endSilent(row: PeerRow): void {
    const { connection, address } = row;
    if (connection === undefined) return;
    const isNear = this.#isNear(row);
    connection.quietTime = signTime(isNear, this.#rows.size);
    connection.silenceLimit = silenceLimit(isNear, this.#rows.size);
    if (connection.quietFor <= connection.silenceLimit) return;
    this.#options.log.info('entry silent', { address, silentMs: Math.round(connection.quietFor) });
    connection.close();
  }

  #endLapsed(row: PeerRow, now: number): void {
    if (row.report === undefined || row.hasLapsed || this.#lives(row, now)) return;
    row.hasLapsed = true;
    this.#options.onLapsed(row.report);
  }

  /** Tells some entries, in turn by chance, of all that live. */
  #tellAddresses(): void {
    this.#addressesToldAt = performance.now();
    const message = this.#encodedAddresses();
    for (const { connection } of toldInTurn(this.#connected(), this.#options.random))
      connection?.sendEncoded(message);
  }

  /** Tells soon that an entry was heard for the first time; those that come meanwhile are told together. */
  #tellNewAddresses(newcomer: PeerRow): void {
    this.#newcomers.push(newcomer);
    this.#newAddressesTimer ??= setTimeout(() => {
      this.#newAddressesTimer = undefined;
      this.#tellNewcomers(this.#newcomers.splice(0));
    }, NEW_ADDRESSES_DELAY);
  }

  /** Tells others of the newcomers, and the newcomers of those that they do not know. */
  #tellNewcomers(newcomers: readonly PeerRow[]): void {
    const { context, random } = this.#options;
    const known = this.#rows.size + 1;
    const all = this.#encodedAddresses();
    for (const { connection, report } of newcomers)
      if (lacksAddresses(report?.entriesKnown ?? 0, known)) connection?.sendEncoded(all);
    const addresses = newcomers.map(({ address }) => address);
    const message = encodeForMany({ type: 'entryAddresses', addresses }, context);
    for (const { connection } of toldOfNew(this.#connected(), random)) connection?.sendEncoded(message);
  }

  #connected(): PeerRow[] {
    return [...this.#rows.values()].filter(({ connection }) => connection?.open === true);
  }

  #encodedAddresses(): EncodedMessage {
    const addresses = [this.#options.address, ...this.live().map(({ address }) => address)];
    return encodeForMany({ type: 'entryAddresses', addresses }, this.#options.context);
  }

  #encodedReport(): EncodedMessage {
    const message: Message = { type: 'entryReport', report: this.#options.report() };
    return encodeForMany(message, this.#options.context);
  }

  /** Only the time in which this process ran counts as the silence of another. */
  #lives(row: PeerRow, now: number): boolean {
    const silence = this.#standstills.runningTime(row.heardAt, now);
    return silence < reportLife(this.#isNear(row), this.#rows.size);
  }

  #isNear({ report }: PeerRow): boolean {
    return report?.zone === this.#options.zone;
  }

  #tell(row: PeerRow, message: EncodedMessage): void {
    if (row.connection?.sendEncoded(message) === true) row.toldAt = performance.now();
  }

  #dial(row: PeerRow, now: number): void {
    if (row.isDialling || now < row.dialAt) return;
    row.isDialling = true;
    const limit = withLimit(this.#stopped.signal, row.dialling.limit);
    void connect(row.address, this.#options.context, limit).then((connected) => {
      row.isDialling = false;
      if (!connected.ok) {
        row.dialAt = performance.now() + row.dialling.noteFailure();
        return;
      }
      if (this.#stopped.signal.aborted) return connected.value.close();
      this.#take(row, connected.value);
    });
  }

  #take(row: PeerRow, connection: Connection): void {
    // Both may dial at the same time: the later connection is used for sending, both are heard.
    row.connection = connection;
    row.closedAt = undefined;
    row.dialling.noteSuccess();
    connection.onClose = () => {
      if (row.connection !== connection) return;
      row.connection = undefined;
      row.closedAt = performance.now();
    };
    connection.handleMessages((message) => this.#handle(row, connection, message));
    this.#tell(row, this.#encodedReport());
  }

  #handle(row: PeerRow, connection: Connection, message: Message): void {
    if (message.type === 'entryReport') return this.#onReport(row, connection, message.report);
    if (message.type === 'entryAddresses') return this.#learnAndDial(message.addresses);
    if (message.type === 'fleetWanted') return this.#answer(connection, message);
    if (message.type === 'fleetConfiguration')
      return this.#takeConfiguration(row, Buffer.from(message.document));
    if (message.type === 'fleetBackEnds') return this.#takeBackEnds(message.state);
    if (this.#options.news.take(message)) return;
    if (message.type === 'storeNews' && row.report !== undefined)
      return this.#options.onStoreNews(withoutNulls(message.news), row.report.id);
  }

  #onReport(row: PeerRow, connection: Connection, report: EntryReport): void {
    const now = performance.now();
    const isNewcomer = !this.#lives(row, now);
    const { fleet, onLapsed } = this.#options;
    const isNextProcess = row.report?.id !== report.id;
    if (row.report !== undefined && isNextProcess && !row.hasLapsed) onLapsed(row.report);
    row.heardAt = now;
    row.report = report;
    row.hasLapsed = false;
    if (isNewcomer) {
      this.#options.log.info('entry heard', { entry: report.id, address: report.address, zone: report.zone });
      this.#tellNewAddresses(row);
    }
    // A process that is back before the former one has lapsed is no newcomer, and knows nothing.
    if (row.toldNewsOn !== connection) this.#tellNews(row, connection);
    fleet.clock.addSample(report.storeTime, now);
    for (const named of report.versions) fleet.applyNamedVersion(named);
    this.#askForNewer(connection, report, now);
    this.#options.onReport(report);
  }

  /** Sends all news: an entry that has just started or was cut off would otherwise forward requests that others hold back. */
  #tellNews(row: PeerRow, connection: Connection): void {
    row.toldNewsOn = connection;
    for (const message of this.#options.news.all()) connection.send(message);
  }

  #askForNewer(connection: Connection, report: EntryReport, now: number): void {
    const { fleet, hearsStore } = this.#options;
    fleet.noteRemoteConfigurationRevision(report.configurationRevision);
    const isNewer = report.configurationRevision > fleet.configurationRevision;
    const isListNewer = !hearsStore() && report.backEndsRevision > fleet.backEnds.revision;
    const isNear = report.zone === this.#options.zone;
    const { configurationRevision, backEnds: list } = fleet;
    const wishes = this.#wishes;
    const place = isNewer && !isNear ? this.#placeInZone() : 0;
    const configuration =
      isNewer && wishes.configuration.mayAsk(connection, { own: configurationRevision, isNear, place, now });
    const backEnds = isListNewer && wishes.backEnds.mayAsk(connection, { own: list.revision, isNear, now });
    if (configuration || backEnds) connection.send({ type: 'fleetWanted', configuration, backEnds });
  }

  /** Place of this entry, from 0, among those of its zone that are reached. */
  #placeInZone(): number {
    const { address, zone } = this.#options;
    const near = this.reached().filter((report) => report.zone === zone);
    return rendezvousOrder(zone, [address, ...near.map((report) => report.address)]).indexOf(address);
  }

  /** Entries that learn of one another at the same time do not both connect: one lets the other go first. */
  #learnAndDial(addresses: readonly string[]): void {
    const unknown = addresses.filter((address) => !this.#rows.has(address));
    if (unknown.length === 0) return;
    this.learn(unknown);
    const now = performance.now();
    const { address: own, otherDialsFirst = OTHER_DIALS_FIRST } = this.#options;
    for (const address of unknown) {
      const row = this.#rows.get(address);
      if (row !== undefined && address < own) row.dialAt = now + otherDialsFirst;
    }
    for (const row of this.#rows.values()) if (row.connection === undefined) this.#dial(row, now);
  }

  #answer(connection: Connection, wanted: { configuration: boolean; backEnds: boolean }): void {
    const { fleet } = this.#options;
    if (wanted.configuration && fleet.document !== undefined)
      connection.send({ type: 'fleetConfiguration', document: fleet.document });
    if (wanted.backEnds) connection.send({ type: 'fleetBackEnds', state: fleet.backEnds.state() });
  }

  #takeConfiguration(row: PeerRow, document: Buffer): void {
    const { fleet, decoder, log } = this.#options;
    this.#wishes.configuration.noteAnswer();
    const decoded = decoder.configuration(document);
    if (!decoded.ok)
      return log.warn('configuration of a peer left out', { from: row.address, ...decoded.error });
    if (!fleet.applyConfiguration(decoded.value)) return;
    log.info('configuration taken', { revision: fleet.configurationRevision, from: row.address });
  }

  #takeBackEnds({ revision, records }: BackEndListState): void {
    this.#wishes.backEnds.noteAnswer();
    if (this.#options.hearsStore()) return;
    // The codec carries no undefined.
    const whole = records.map((record) => ({
      ...record,
      start: record.start ?? undefined,
      layers: record.layers ?? undefined,
    }));
    this.#options.fleet.applyBackEndList({ revision, records: whole });
  }
}

/** The codec carries no undefined in lists: a row that is gone has no value. */
function withoutNulls(news: StoreNews): StoreNews {
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
    dialling: new Dialling(LONGEST_REDIAL),
    toldAt: 0,
    report: undefined,
    heardAt: Number.NEGATIVE_INFINITY,
    hasLapsed: false,
    toldNewsOn: undefined,
  };
}
