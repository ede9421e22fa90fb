/**
 * Keeps the fleet view up to date with the store. Back ends whose records expired while the store was unavailable are kept for
 * a short time after it returns, since those still running write their records again.
 */
import { setImmediate as nextTurn } from 'node:timers/promises';
import { eraOf, type StoreRevision } from '../clients/store-revision.js';
import type { RowsSnapshot, StoredRow, WatchedTables } from '../clients/watched-tables.js';
import type { Random } from '../model/random.js';
import type { Result } from '../model/result.js';
import { type Startable, StartableGroup } from '../model/startable.js';
import type { Log } from '../observability/log.js';
import type { BackEndRecord } from '../protocol/back-end-list-state.js';
import type { RevisedDocument } from '../protocol/configuration-update.js';
import type { TableState } from '../protocol/reports.js';
import type {
  ConfigurationChange,
  FollowedTable,
  StoreUpdate,
  TableUpdate,
} from '../protocol/store-update.js';
import type { BackEndChange, BackEndRemoval } from './back-end-list.js';
import { EvacuationReadings } from './evacuation-readings.js';
import type { FleetView } from './fleet-view.js';
import { FROM_STORE } from './list-freshness.js';
import { ListedBackEnds } from './listed-back-ends.js';
import type { OperatorRecord, RecordDecoder, RecordFault } from './record-decoder.js';
import { RecordFaults } from './record-faults.js';
import { RemovalHold } from './removal-hold.js';
import { type AvailableTime, type StoreAnswer, StoreOutages } from './store-outages.js';
import { TableFollower, type TableFollowerEvents } from './table-follower.js';

/**
 * Longest wait of one call for changes, in milliseconds. The processes for which this one reads get an update at least this
 * often and read the store themselves if they do not. A silent connection is noticed after this wait plus the response timeout.
 */
const LONG_POLL_WAIT = 900;
/** Minimum interval between two reads of the operator's changes, in milliseconds. */
const OPERATOR_INTERVAL = 60;
/**
 * Time for which reports may make up for missed changes of the operator's table, in milliseconds: an interval of reports in a
 * zone, unless the fleet is very large.
 */
const OPERATOR_GAP_PATIENCE = 700;
/** Minimum interval between two reads of changes of back ends, in milliseconds. */
const BACK_END_INTERVAL = 500;

/**
 * Rows decoded in one turn of the event loop. Decoding the first 2,300 rows takes 30 to 35 ms of a whole core (minimum of six
 * processes, `tools/decoding-bench.mjs`), and four times that on a quarter of a core.
 */
const DECODE_BATCH_SIZE = 100;

/**
 * The operator's table is read whole if a configuration that others have has not arrived after this time, in milliseconds. Forwarded
 * changes leave it out where its difference is sent beside them; one that does not fit is requested from peers first.
 */
const MISSING_CONFIGURATION_PATIENCE = 1_500;
/** The same for an entry for which another one reads, and from which it will get the document; from then on, entries read by turns. */
const MISSING_CONFIGURATION_PATIENCE_OF_OTHERS = 4_000;

/** Dependencies of the sync. */
export interface StoreSyncOptions {
  tables: WatchedTables;
  decoder: RecordDecoder;
  fleet: FleetView;
  /** Interval at which back ends write their records, in milliseconds. */
  heartbeatInterval: number;
  random: Random;
  log: Log;
}

/** The change that a row makes to the list of back ends. */
interface RowChange {
  /** An invalid row counts as a removal of its back end. */
  change: BackEndChange;
  /** The row was deleted. Only deletions are held back after the store returns, as rows also expire during an outage. */
  isRemoval: boolean;
}

/** Follows the store's tables and applies their changes to the fleet view. */
export class StoreSync implements Startable {
  readonly #options: StoreSyncOptions;
  readonly #operator: TableFollower;
  readonly #backEnds: TableFollower;
  readonly #followers: StartableGroup;
  /**
   * Time until this process reads the table unless another process forwards its changes before, in milliseconds; 0 if it reads
   * the table now.
   */
  timeUntilReading: (table: FollowedTable) => number = () => 0;
  /**
   * Time until this process reads the table although another one forwards its changes, in milliseconds: in its turn, if it has lacked some
   * of them since before `begin`, in milliseconds of the monotonic clock.
   */
  timeUntilTurn: (table: FollowedTable, begin: number) => number = (_, begin) =>
    Math.max(0, begin - performance.now());
  /**
   * Receives what this process has read, to be forwarded to others, before it is applied here; with the configurations among the
   * rows, if there are any.
   */
  onForward: (news: StoreUpdate, change?: ConfigurationChange) => void = () => {};
  /** Called when the store has answered a call of this process about `table`, complete as of `storeTime`. */
  onAnswered: (table: FollowedTable, storeTime: number) => void = () => {};
  /** Time for which peers may still provide the operator's table to this process, which has just started, in milliseconds. */
  timeUntilFirstRead: () => number = () => 0;
  /**
   * Called when the store was restored from an older copy, whether it or another process told so: recent writes of this process
   * may be lost.
   */
  onStoreRestored: () => void = () => {};
  readonly faults: RecordFaults;
  /** The newest version of each model that was read from the store. */
  readonly #versionsRead = new Map<string, number>();
  readonly #outages: StoreOutages;
  readonly #removals: RemovalHold;
  /** Removals are held back for nothing but an outage that this process has detected. */
  #isHeldForOutage = false;
  /** Decoded rows: a row is both forwarded and applied, but decoded only once. */
  readonly #decoded = new WeakMap<StoredRow, Result<BackEndRecord, RecordFault>>();
  readonly #decodedOperatorRows = new WeakMap<StoredRow, Result<OperatorRecord, RecordFault>>();
  /**
   * Revision of the newest configuration that was among the rows of the store. The active one may be newer, but if it came from a peer,
   * others may not have it.
   */
  #listedConfiguration = 0;
  /** Newest missing configuration for which the operator's table was read whole. */
  #soughtConfiguration = 0;
  readonly #listed = new ListedBackEnds((row) => this.#decodeBackEnd(row));
  /** Others may have removed back ends whose removal this process has not read. */
  #mayLackRemovals = false;
  readonly #evacuationReadings: EvacuationReadings;

  constructor(options: StoreSyncOptions) {
    this.#options = options;
    this.faults = new RecordFaults(options.log);
    this.#evacuationReadings = new EvacuationReadings(options.fleet, options.log);
    const { tables, random, decoder, fleet, log, heartbeatInterval } = options;
    const { clock } = fleet;
    fleet.listen({ onNewEra: () => this.onStoreRestored() });
    this.#outages = new StoreOutages(heartbeatInterval);
    this.#removals = new RemovalHold((removals) => {
      log.info('held removals applied', { backEnds: removals.map(({ id }) => id) });
      fleet.applyHeldRemovals(removals);
    });
    this.#operator = new TableFollower({
      tables,
      random,
      clock,
      table: decoder.operatorTable,
      wait: LONG_POLL_WAIT,
      interval: () => OPERATOR_INTERVAL,
      // A configuration is large; changes of back ends are small and more urgent.
      hasLargeRows: true,
      gapPatience: OPERATOR_GAP_PATIENCE,
      timeUntilFirstRead: () => this.timeUntilFirstRead(),
      isIncomplete: () => this.#missingConfiguration !== undefined,
      timeUntilReading: () => this.timeUntilReading('operator'),
      timeUntilTurn: (begin) => this.timeUntilTurn('operator', begin),
      events: this.#events('operator', {
        onSnapshot: (rows, since) => this.#applyOperatorSnapshot(rows, since),
        onChanges: (rows, since, source) => void this.#applyOperatorRows(rows, since, source),
      }),
    });
    this.#backEnds = new TableFollower({
      tables,
      random,
      clock,
      table: decoder.backEndTable,
      wait: LONG_POLL_WAIT,
      interval: () => BACK_END_INTERVAL,
      hasLargeRows: false,
      gapPatience: 0,
      timeUntilReading: () => this.timeUntilReading('backEnds'),
      timeUntilTurn: (begin) => this.timeUntilTurn('backEnds', begin),
      events: this.#events('backEnds', {
        onSnapshot: (rows) => this.#applySnapshot(rows),
        onChanges: (rows) => this.#applyChanges(rows),
      }),
    });
    this.#followers = new StartableGroup([this.#operator, this.#backEnds]);
  }

  /** False while the store does not answer this process. */
  get connected(): boolean {
    return this.#backEnds.connected && this.#operator.connected;
  }

  /** What is known of the operator's table; undefined before the first read, and while a configuration is missing. */
  get operatorTable(): TableState | undefined {
    return this.#options.fleet.isConfigurationBehind ? undefined : this.#operator.state;
  }

  /** Applies that another process, `source`, knows the operator's table as far as `state`, and no other configuration than this one. */
  adoptOperatorTable(state: TableState, source: string): void {
    this.#operator.adopt(state, source);
  }

  async start(): Promise<void> {
    await this.#followers.start();
  }

  async stop(): Promise<void> {
    this.#removals.stop();
    this.#evacuationReadings.stop();
    await this.#followers.stop();
  }

  /** The time up to the latest answer in which the store has been available, to whichever process. */
  get storeAvailable(): AvailableTime | undefined {
    return this.#outages.available;
  }

  /** Applies that the store has been available to another process. */
  noteStoreAvailable(available: AvailableTime): void {
    if (!this.#outages.noteAvailable(available) || !this.#isHeldForOutage) return;
    this.#options.log.info('store was available to others, removals are not held back', { ...available });
    this.#removals.end();
  }

  /** Applies what another process, `source`, has read from the store. */
  applyForwarded({ table, ...news }: StoreUpdate, source: string): void {
    this.#noteAnswer(news);
    (table === 'operator' ? this.#operator : this.#backEnds).applyForwarded(news, source);
  }

  /** Forwards changes to others; heartbeats that change nothing are left out. */
  #forward(table: FollowedTable, news: TableUpdate): void {
    if (table === 'operator') {
      const rows = this.#latestVersions(news.rows);
      return this.onForward({ ...news, rows, table }, this.#configurationChange(rows));
    }
    this.onForward({ ...news, rows: this.#rowsToForward(news), table });
  }

  /** Leaves out versions of a row that a later valid one overtakes, as large ones take long to decode. */
  #latestVersions(rows: readonly StoredRow[]): StoredRow[] {
    const settled = new Set<string>();
    const latest: StoredRow[] = [];
    for (const row of [...rows].reverse()) {
      if (settled.has(row.key)) continue;
      latest.push(row);
      if (this.#decodeOperatorRow(row)?.ok === true) settled.add(row.key);
    }
    return latest.reverse();
  }

  /** Undefined if no row contains a configuration. */
  #configurationChange(rows: readonly StoredRow[]): ConfigurationChange | undefined {
    const configurations = new Map<StoredRow, RevisedDocument>();
    for (const row of rows) {
      const decoded = this.#decodeOperatorRow(row);
      if (decoded?.ok !== true || decoded.value.type !== 'configuration') continue;
      const { document, configuration } = decoded.value.document;
      configurations.set(row, { revision: configuration.revision, document });
    }
    if (configurations.size === 0) return undefined;
    const [newest] = [...configurations.values()].sort((a, b) => b.revision - a.revision);
    const isNew = newest.revision > this.#listedConfiguration;
    this.#listedConfiguration = Math.max(this.#listedConfiguration, newest.revision);
    return {
      latest: isNew ? newest : undefined,
      otherRows: rows.filter((row) => !configurations.has(row)),
    };
  }

  /** Revision of a configuration that has not arrived in time and has not been sought in the store yet. */
  get #missingConfiguration(): number | undefined {
    const missing = this.#options.fleet.missingConfiguration;
    if (missing === undefined || missing.revision <= this.#soughtConfiguration) return undefined;
    const isReader = this.timeUntilReading('operator') === 0;
    const isDue = isReader
      ? performance.now() - missing.since >= MISSING_CONFIGURATION_PATIENCE
      : this.timeUntilTurn('operator', missing.since + MISSING_CONFIGURATION_PATIENCE_OF_OTHERS) === 0;
    return isDue ? missing.revision : undefined;
  }

  /**
   * Leaves out heartbeats. All rows of the first answer after a failed call are forwarded, as the others may have been told of removals
   * that are unknown here.
   */
  #rowsToForward(news: TableUpdate): StoredRow[] {
    const needed = this.#listed.apply(news);
    if (!this.#mayLackRemovals) return needed;
    this.#mayLackRemovals = false;
    return news.rows;
  }

  #events(
    table: FollowedTable,
    handlers: Pick<TableFollowerEvents, 'onSnapshot' | 'onChanges'>,
  ): TableFollowerEvents {
    const { log, fleet } = this.#options;
    return {
      ...handlers,
      prepare: async (rows) => {
        if (table === 'backEnds') await this.#predecode(rows);
      },
      onForward: (news) => this.#forward(table, news),
      onReading: (isReading, age) => {
        if (isReading)
          log.info('reads the store', { table, ageMs: Number.isFinite(age) ? Math.round(age) : undefined });
        else log.info('leaves the store to another reader', { table });
      },
      onStoreLost: (reason) => log.warn('store lost', { table, reason }),
      onAnswer: (answer) => this.#noteAnswer(answer),
      onComplete: (storeTime, source) => {
        if (source === FROM_STORE) this.onAnswered(table, storeTime);
        if (table === 'backEnds') fleet.freshness.noteComplete(storeTime, source);
      },
      onStoreRegained: (silence) => {
        log.info('store regained', { table, silenceMs: Math.round(silence) });
        if (table === 'backEnds') this.#mayLackRemovals = true;
      },
    };
  }

  /** Holds removals back if the answer is the first one after an outage of the store, whichever process it was given to. */
  #noteAnswer(answer: StoreAnswer): void {
    const silence = this.#outages.noteAnswer(answer);
    if (silence === undefined) return;
    this.#options.log.info('store was unavailable, removals are held back', {
      silenceMs: Math.round(silence),
    });
    this.#isHeldForOutage = !this.#removals.isActive;
    this.#removals.begin(answer.revision);
  }

  #applyOperatorSnapshot(snapshot: RowsSnapshot, since: number): void {
    this.#soughtConfiguration = this.#missingConfiguration ?? this.#soughtConfiguration;
    const records = this.#applyOperatorRows(snapshot, since, FROM_STORE);
    const evacuated = records.flatMap((record) => (record.type === 'evacuation' ? record.zone : []));
    this.#evacuationReadings.apply(new Set(evacuated), snapshot.revision);
  }

  /**
   * Applies the valid records among `rows` and returns them.
   * @param since - the changes were written after this, in milliseconds of the store's clock
   * @param source - the process that has read them; `store` if this one has
   */
  #applyOperatorRows({ rows }: RowsSnapshot, since: number, source: string): OperatorRecord[] {
    const records: OperatorRecord[] = [];
    for (const row of this.#latestVersions(rows)) {
      const decoded = this.#decodeOperatorRow(row);
      if (decoded === undefined) continue;
      if (!decoded.ok) {
        this.faults.noteRevision(row, decoded.error);
        continue;
      }
      records.push(decoded.value);
      this.#applyOperatorRecord(row, decoded.value, since, source);
    }
    return records;
  }

  #applyOperatorRecord(row: StoredRow, record: OperatorRecord, since: number, source: string): void {
    const { fleet, log } = this.#options;
    if (record.type === 'configuration') {
      this.#listedConfiguration = Math.max(this.#listedConfiguration, record.document.configuration.revision);
      this.faults.noteSkippedEntries(row, record.document.skippedEntries ?? []);
      if (fleet.applyConfiguration(record.document))
        log.info('configuration taken', {
          revision: fleet.configurationRevision,
          from: source,
          bytes: record.document.document.byteLength,
        });
      return;
    }
    this.faults.noteValid(row);
    if (record.type === 'evacuation') {
      const { zone, isEvacuated } = record;
      return fleet.applyEvacuation({ zone, isEvacuated, revision: row.revision }, 'store');
    }
    const notBefore = this.#isNew(record) ? since : Number.NEGATIVE_INFINITY;
    fleet.applyNamedVersion({ model: record.model, version: record.version, notBefore });
  }

  /** False for a version that is read again, for example after the store lost its history: it was named earlier. */
  #isNew({ model, version }: { model: string; version: number }): boolean {
    if (version <= (this.#versionsRead.get(model) ?? 0)) return false;
    this.#versionsRead.set(model, version);
    return true;
  }

  /** Detects a store restored from an older copy, which starts a new era: what it lacks may have been written after the copy. */
  #checkEra(revision: StoreRevision): void {
    const known = this.#options.fleet.backEnds.revision;
    if (known === 0 || eraOf(revision) <= eraOf(known)) return;
    this.#options.log.warn('store came back from an older copy', { era: eraOf(revision) });
    this.#isHeldForOutage = false;
    this.#removals.begin(revision);
  }

  #applySnapshot({ rows, revision }: RowsSnapshot): void {
    this.#checkEra(revision);
    this.#listed.replace({ rows, revision });
    const present = new Set(rows.map(({ key }) => key));
    this.faults.retainOnly(this.#options.decoder.backEndTable, present);
    const missing = [...this.#options.fleet.backEnds.records.keys()]
      .filter((id) => !present.has(id))
      .map((id): RowChange => ({ change: { type: 'gone', id, revision }, isRemoval: true }));
    this.#apply([...missing, ...this.#decode(rows)], revision);
  }

  #applyChanges({ rows, revision }: RowsSnapshot): void {
    this.#listed.apply({ rows, revision });
    this.#apply(this.#decode(rows), revision);
  }

  #apply(news: readonly RowChange[], revision: number): void {
    const taken: BackEndChange[] = [];
    for (const { change, isRemoval } of news) {
      if (isRemoval && change.type === 'gone' && this.#isHeldBack(change)) continue;
      if (!isRemoval) this.#removals.noteWritten(idOf(change), revisionOf(change));
      taken.push(change);
    }
    this.#options.fleet.applyBackEndChanges(taken, revision);
  }

  #isHeldBack(removal: BackEndRemoval): boolean {
    const { fleet, log } = this.#options;
    if (!fleet.backEnds.records.has(removal.id) || !this.#removals.hold(removal)) return false;
    log.info('removal held back', { backEnd: removal.id });
    return true;
  }

  #decode(rows: readonly StoredRow[]): RowChange[] {
    return rows.map((row) => {
      const { key: id, revision } = row;
      const isRemoval = row.value === undefined;
      const decoded = isRemoval ? undefined : this.#decodeBackEnd(row);
      if (decoded?.ok === false) this.faults.noteRepeated(row, decoded.error);
      else this.faults.noteValid(row);
      return decoded?.ok === true
        ? { change: { type: 'changed', record: decoded.value }, isRemoval }
        : { change: { type: 'gone', id, revision }, isRemoval };
    });
  }

  #decodeOperatorRow(row: StoredRow): Result<OperatorRecord, RecordFault> | undefined {
    const known = this.#decodedOperatorRows.get(row);
    if (known !== undefined) return known;
    const decoded = this.#options.decoder.operatorRecord(row);
    if (decoded !== undefined) this.#decodedOperatorRows.set(row, decoded);
    return decoded;
  }

  async #predecode(rows: readonly StoredRow[]): Promise<void> {
    for (const [index, row] of rows.entries()) {
      if (index > 0 && index % DECODE_BATCH_SIZE === 0) await nextTurn();
      if (row.value !== undefined) this.#decodeBackEnd(row);
    }
  }

  #decodeBackEnd(row: StoredRow): Result<BackEndRecord, RecordFault> {
    const known = this.#decoded.get(row);
    if (known !== undefined) return known;
    const decoded = this.#options.decoder.backEnd(row);
    this.#decoded.set(row, decoded);
    return decoded;
  }
}

function idOf(change: BackEndChange): string {
  return change.type === 'gone' ? change.id : change.record.id;
}

function revisionOf(change: BackEndChange): StoreRevision {
  return change.type === 'gone' ? change.revision : change.record.revision;
}
