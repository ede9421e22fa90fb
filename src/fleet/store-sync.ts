/**
 * Keeps the fleet view in step with the store. Back ends whose records lapsed while the store was away are kept for a
 * moment after its return: those that live write themselves again.
 */
import { setImmediate as nextTurn } from 'node:timers/promises';
import { eraOf, type StoreRevision } from '../clients/store-revision.js';
import type { RowsSnapshot, StoredRow, WatchedTables } from '../clients/watched-tables.js';
import { isSameStart } from '../model/back-end-identity.js';
import type { Random } from '../model/random.js';
import type { Result } from '../model/result.js';
import { type Startable, StartableGroup } from '../model/startable.js';
import type { Log } from '../observability/log.js';
import type { BackEndRecord } from '../protocol/back-end-list-state.js';
import type { FollowedTable, StoreUpdate, TableUpdate } from '../protocol/store-update.js';
import { type BackEndChange, isAlike } from './back-end-list.js';
import type { FleetView } from './fleet-view.js';
import type { OperatorRecord, RecordDecoder, RecordFault } from './record-decoder.js';
import { RecordFaults } from './record-faults.js';
import { TableFollower, type TableFollowerEvents } from './table-follower.js';

/**
 * Longest wait for changes in one call, in milliseconds: those that this process reads for hear of it at least that often,
 * and read by themselves when they do not. A connection that goes silent is noticed after it and the time for an answer.
 */
const LONGEST_WAIT = 900;
/** The operator's changes of this time come together, in milliseconds. */
const OPERATOR_INTERVAL = 60;
/** Changes of back ends of this time come together, in milliseconds. */
const BACK_END_INTERVAL = 500;
/**
 * After the store's return removals wait this long, in milliseconds, and after the return of an older copy of it: back ends
 * that live write themselves again within two seconds.
 */
const REMOVAL_HOLD = 1_900;
/** A silence up to this is no outage: nothing lapses in it, in milliseconds. */
const SHORT_SILENCE = 900;

/**
 * Rows that are decoded at a time, with other work in between: the first 2,300 rows take 30 to 35 ms of a whole core (least
 * of six processes, `tools/decoding-bench.mjs`), and four times that on a quarter of one.
 */
const ROWS_AT_A_TIME = 100;

/** What the sync works with. */
export interface StoreSyncOptions {
  tables: WatchedTables;
  decoder: RecordDecoder;
  fleet: FleetView;
  random: Random;
  log: Log;
}

/** What a row says of a back end. */
interface RowNews {
  /** A row that cannot be used names no back end, as one that is gone. */
  change: BackEndChange;
  /** The row is gone: only such news are held back after the store's return, as rows also lapse while it is away. */
  isRemoval: boolean;
}

/** Follows the store's tables. */
export class StoreSync implements Startable {
  readonly #options: StoreSyncOptions;
  readonly #operator: TableFollower;
  readonly #backEnds: TableFollower;
  readonly #followers: StartableGroup;
  /** False while another process reads a table and passes on what is new. */
  isReader: (table: FollowedTable) => boolean = () => true;
  /** Takes what this process has read, for others. */
  onNews: (news: StoreUpdate) => void = () => {};
  /** The store has come back from an older copy: what this process wrote there lately may be lost. */
  onOlderCopy: () => void = () => {};
  /** The records that cannot be used. */
  readonly faults: RecordFaults;
  /** The newest version of each model that the store has told of. */
  readonly #versionsRead = new Map<string, number>();
  readonly #held = new Map<string, BackEndChange>();
  /** What rows say: one that is passed on as news and then taken is decoded once. */
  readonly #decoded = new WeakMap<StoredRow, Result<BackEndRecord, RecordFault>>();
  /** Back ends whose latest entry that was passed on had another start than the present one here. */
  readonly #restartsPassed = new Set<string>();
  #holdUntil = 0;
  #holdTimer: NodeJS.Timeout | undefined;

  constructor(options: StoreSyncOptions) {
    this.#options = options;
    this.faults = new RecordFaults(options.log);
    const { tables, random, decoder, fleet } = options;
    const { clock } = fleet;
    this.#operator = new TableFollower({
      tables,
      random,
      clock,
      table: decoder.operatorTable,
      wait: LONGEST_WAIT,
      interval: () => OPERATOR_INTERVAL,
      rests: () => !this.isReader('operator'),
      events: this.#events('operator', {
        onWhole: (rows, since) => this.#takeOperatorRows(rows, since),
        onChanges: (rows, since) => this.#takeOperatorRows(rows, since),
      }),
    });
    this.#backEnds = new TableFollower({
      tables,
      random,
      clock,
      table: decoder.backEndTable,
      wait: LONGEST_WAIT,
      interval: () => BACK_END_INTERVAL,
      rests: () => !this.isReader('backEnds'),
      events: this.#events('backEnds', {
        onWhole: (rows) => this.#takeWholeList(rows),
        onChanges: (rows) => this.#takeChanges(rows),
      }),
    });
    this.#followers = new StartableGroup([this.#operator, this.#backEnds]);
  }

  /** False while the store does not answer this process. */
  get connected(): boolean {
    return this.#backEnds.connected && this.#operator.connected;
  }

  async start(): Promise<void> {
    await this.#followers.start();
  }

  async stop(): Promise<void> {
    clearTimeout(this.#holdTimer);
    await this.#followers.stop();
  }

  /** Takes what another process has read of the store. */
  take({ table, holdsRemovalsFor, ...news }: StoreUpdate): void {
    if (holdsRemovalsFor > 0)
      this.#holdUntil = Math.max(this.#holdUntil, performance.now() + holdsRemovalsFor);
    (table === 'operator' ? this.#operator : this.#backEnds).take(news);
  }

  /** Passes on what is new to others; that a back end still lives is none of it. */
  #pass(table: FollowedTable, news: TableUpdate): void {
    if (!this.isReader(table)) return;
    const holdsRemovalsFor = Math.max(0, this.#holdUntil - performance.now());
    const rows = table === 'operator' ? news.rows : news.rows.filter((row) => this.#isNews(row));
    this.onNews({ ...news, rows, table, holdsRemovalsFor });
  }

  #isNews(row: StoredRow): boolean {
    if (row.value === undefined) return true;
    const known = this.#options.fleet.backEnds.records.get(row.key);
    const decoded = this.#backEnd(row);
    // A bad row is news when it turns bad, not at each heartbeat.
    if (!decoded.ok) return known !== undefined || this.#held.has(row.key);
    if (known === undefined) return true;
    if (!isSameStart(decoded.value.start, known.start)) {
      this.#restartsPassed.add(row.key);
      return true;
    }
    // Others may have held its removal back as well, or have taken a start for newer that was passed over here.
    const wasContested = this.#restartsPassed.delete(row.key);
    return wasContested || !isAlike(decoded.value, known) || this.#held.has(row.key);
  }

  #events(
    table: FollowedTable,
    taking: Pick<TableFollowerEvents, 'onWhole' | 'onChanges'>,
  ): TableFollowerEvents {
    const { log } = this.#options;
    return {
      ...taking,
      prepare: async (rows) => {
        if (table === 'backEnds') await this.#decodeAhead(rows);
      },
      onNews: (news) => this.#pass(table, news),
      onLost: (reason) => log.warn('store lost', { table, reason }),
      onRegained: (silence, isOutage) => {
        log.info('store regained', { table, silenceMs: Math.round(silence), isOutage });
        if (isOutage && silence > SHORT_SILENCE) this.#holdUntil = performance.now() + REMOVAL_HOLD;
      },
    };
  }

  /** @param since - what is new was written after this, in milliseconds of the store's clock */
  #takeOperatorRows({ rows }: RowsSnapshot, since: number): void {
    for (const row of rows) {
      const decoded = this.#options.decoder.operatorRecord(row);
      if (decoded === undefined) continue;
      if (decoded.ok) this.#takeOperatorRecord(row, decoded.value, since);
      else this.faults.noteRevision(row, decoded.error);
    }
  }

  #takeOperatorRecord(row: StoredRow, record: OperatorRecord, since: number): void {
    const { fleet, log } = this.#options;
    if (record.type === 'configuration') {
      this.faults.noteLeftOut(row, record.document.leftOut ?? []);
      if (fleet.takeConfiguration(record.document))
        log.info('configuration taken', { revision: fleet.configurationRevision, from: 'store' });
      return;
    }
    this.faults.noteGood(row);
    const notBefore = this.#isNew(record) ? since : Number.NEGATIVE_INFINITY;
    fleet.takeNamedVersion({ model: record.model, version: record.version, notBefore });
  }

  /** False for a version that is read again, as after lost history: it was named before. */
  #isNew({ model, version }: { model: string; version: number }): boolean {
    if (version <= (this.#versionsRead.get(model) ?? 0)) return false;
    this.#versionsRead.set(model, version);
    return true;
  }

  /** The store's history begins anew with a copy of it: what is missing there may have been written after it. */
  #noteEra(revision: StoreRevision): void {
    const known = this.#options.fleet.backEnds.revision;
    if (known === 0 || eraOf(revision) <= eraOf(known)) return;
    this.#options.log.warn('store came back from an older copy', { era: eraOf(revision) });
    this.#holdUntil = performance.now() + REMOVAL_HOLD;
    this.onOlderCopy();
  }

  #takeWholeList({ rows, revision }: RowsSnapshot): void {
    this.#noteEra(revision);
    const present = new Set(rows.map(({ key }) => key));
    this.faults.keepOnly(this.#options.decoder.backEndTable, present);
    const missing = [...this.#options.fleet.backEnds.records.keys()]
      .filter((id) => !present.has(id))
      .map((id): RowNews => ({ change: { type: 'gone', id, revision }, isRemoval: true }));
    this.#apply([...missing, ...this.#decode(rows)], revision);
  }

  #takeChanges({ rows, revision }: RowsSnapshot): void {
    this.#apply(this.#decode(rows), revision);
  }

  #apply(news: readonly RowNews[], revision: number): void {
    const isHolding = performance.now() < this.#holdUntil;
    const taken: BackEndChange[] = [];
    for (const { change, isRemoval } of news) {
      if (isRemoval && isHolding) {
        this.#hold(change);
        continue;
      }
      if (!isRemoval) this.#held.delete(idOf(change));
      taken.push(change);
    }
    this.#options.fleet.takeBackEndChanges(taken, revision);
  }

  #hold(change: BackEndChange): void {
    const id = idOf(change);
    if (!this.#options.fleet.backEnds.records.has(id)) return;
    this.#options.log.info('removal held back', { backEnd: id });
    this.#held.set(id, change);
    this.#holdTimer ??= setTimeout(() => this.#endHold(), this.#holdUntil - performance.now());
  }

  #endHold(): void {
    const left = this.#holdUntil - performance.now();
    this.#holdTimer = left > 0 ? setTimeout(() => this.#endHold(), left) : undefined;
    if (left > 0) return;
    this.#options.fleet.takeHeldRemovals([...this.#held.values()]);
    this.#held.clear();
  }

  #decode(rows: readonly StoredRow[]): RowNews[] {
    return rows.map((row) => {
      const { key: id, revision } = row;
      const isRemoval = row.value === undefined;
      const decoded = isRemoval ? undefined : this.#backEnd(row);
      if (decoded?.ok === false) this.faults.noteRepeated(row, decoded.error);
      else this.faults.noteGood(row);
      return decoded?.ok === true
        ? { change: { type: 'changed', record: decoded.value }, isRemoval }
        : { change: { type: 'gone', id, revision }, isRemoval };
    });
  }

  async #decodeAhead(rows: readonly StoredRow[]): Promise<void> {
    for (const [index, row] of rows.entries()) {
      if (index > 0 && index % ROWS_AT_A_TIME === 0) await nextTurn();
      if (row.value !== undefined) this.#backEnd(row);
    }
  }

  #backEnd(row: StoredRow): Result<BackEndRecord, RecordFault> {
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
