/**
 * Keeps the fleet view in step with the store. Back ends whose records lapsed while the store was away are kept for a
 * moment after its return: those that live write themselves again.
 */
import type { RowsAt, StoredRow, WatchedTables } from '../clients/watched-tables.js';
import type { Random } from '../model/random.js';
import { type Startable, StartableGroup } from '../model/startable.js';
import type { Log } from '../observability/log.js';
import { isSameStart } from './back-end-identity.js';
import { type BackEndChange, isAlike } from './back-end-list.js';
import type { FleetView } from './fleet-view.js';
import type { RecordDecoder } from './record-decoder.js';
import { TableFollower, type TableFollowerEvents, type TableNews } from './table-follower.js';

/**
 * Longest wait for changes in one call, in milliseconds: those that this process reads for hear of it at least that often,
 * and read by themselves when they do not. A connection that goes silent is noticed after it and the time for an answer.
 */
const LONGEST_WAIT = 900;
/** The operator's changes of this time come together, in milliseconds. */
const OPERATOR_INTERVAL = 60;
/** Changes of back ends of this time come together, in milliseconds. */
const BACK_END_INTERVAL = 500;
/** After the store's return removals wait this long, in milliseconds. */
const REMOVAL_HOLD = 1_900;
/** A silence up to this is no outage: nothing lapses in it, in milliseconds. */
const SHORT_SILENCE = 900;

/** What the sync works with. */
export interface StoreSyncOptions {
  tables: WatchedTables;
  decoder: RecordDecoder;
  fleet: FleetView;
  random: Random;
  log: Log;
}

/** The tables that are followed. */
export type FollowedTable = 'operator' | 'backEnds';

/** What is new in the store, as one process passes it on to others. */
export interface StoreNews extends TableNews {
  table: FollowedTable;
  /** Back ends that seem to be gone are kept for this long yet, in milliseconds. */
  holdsRemovalsFor: number;
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
  onNews: (news: StoreNews) => void = () => {};
  /** The newest version of each model that the store has told of. */
  readonly #versionsRead = new Map<string, number>();
  readonly #held = new Map<string, BackEndChange>();
  /** Back ends whose latest entry that was passed on had another start than the present one here. */
  readonly #restartsPassed = new Set<string>();
  #holdUntil = 0;
  #holdTimer: NodeJS.Timeout | undefined;

  constructor(options: StoreSyncOptions) {
    this.#options = options;
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
  take({ table, holdsRemovalsFor, ...news }: StoreNews): void {
    if (holdsRemovalsFor > 0)
      this.#holdUntil = Math.max(this.#holdUntil, performance.now() + holdsRemovalsFor);
    (table === 'operator' ? this.#operator : this.#backEnds).take(news);
  }

  /** Passes on what is new to others; that a back end still lives is none of it. */
  #pass(table: FollowedTable, news: TableNews): void {
    if (!this.isReader(table)) return;
    const holdsRemovalsFor = Math.max(0, this.#holdUntil - performance.now());
    const rows = table === 'operator' ? news.rows : news.rows.filter((row) => this.#isNews(row));
    this.onNews({ ...news, rows, table, holdsRemovalsFor });
  }

  #isNews(row: StoredRow): boolean {
    const { decoder, fleet } = this.#options;
    const known = fleet.backEnds.records.get(row.key);
    const record = row.value === undefined ? undefined : decoder.backEnd(row);
    if (record === undefined || known === undefined) return true;
    if (!isSameStart(record.start, known.start)) {
      this.#restartsPassed.add(row.key);
      return true;
    }
    // Others may have held its removal back as well, or have taken a start for newer that was passed over here.
    const wasContested = this.#restartsPassed.delete(row.key);
    return wasContested || !isAlike(record, known) || this.#held.has(row.key);
  }

  #events(
    table: FollowedTable,
    taking: Pick<TableFollowerEvents, 'onWhole' | 'onChanges'>,
  ): TableFollowerEvents {
    const { log } = this.#options;
    return {
      ...taking,
      onNews: (news) => this.#pass(table, news),
      onLost: (reason) => log.warn('store lost', { table, reason }),
      onRegained: (silence, isOutage) => {
        log.info('store regained', { table, silenceMs: Math.round(silence), isOutage });
        if (isOutage && silence > SHORT_SILENCE) this.#holdUntil = performance.now() + REMOVAL_HOLD;
      },
    };
  }

  /** @param since - what is new was written after this, in milliseconds of the store's clock */
  #takeOperatorRows({ rows }: RowsAt, since: number): void {
    const { decoder, fleet, log } = this.#options;
    for (const row of rows) {
      const record = decoder.operatorRecord(row);
      if (record === undefined) continue;
      if (record.type === 'configuration') {
        if (fleet.takeConfiguration(record.document))
          log.info('configuration taken', { revision: fleet.configurationRevision, from: 'store' });
        continue;
      }
      const notBefore = this.#isNew(record) ? since : Number.NEGATIVE_INFINITY;
      fleet.takeNamedVersion({ model: record.model, version: record.version, notBefore });
    }
  }

  /** False for a version that is read again, as after lost history: it was named before. */
  #isNew({ model, version }: { model: string; version: number }): boolean {
    if (version <= (this.#versionsRead.get(model) ?? 0)) return false;
    this.#versionsRead.set(model, version);
    return true;
  }

  #takeWholeList({ rows, revision }: RowsAt): void {
    const present = new Set(rows.map(({ key }) => key));
    const missing = [...this.#options.fleet.backEnds.records.keys()]
      .filter((id) => !present.has(id))
      .map((id): BackEndChange => ({ type: 'gone', id, revision }));
    this.#apply([...missing, ...this.#decode(rows)], revision);
  }

  #takeChanges({ rows, revision }: RowsAt): void {
    this.#apply(this.#decode(rows), revision);
  }

  #apply(changes: BackEndChange[], revision: number): void {
    const now = performance.now();
    for (const change of changes) {
      if (change.type === 'changed') this.#held.delete(change.record.id);
    }
    const isHolding = now < this.#holdUntil;
    const taken = changes.filter((change) => !isHolding || change.type === 'changed');
    for (const change of changes) if (!taken.includes(change) && change.type === 'gone') this.#hold(change);
    this.#options.fleet.takeBackEndChanges(taken, revision);
  }

  #hold(change: BackEndChange & { type: 'gone' }): void {
    if (!this.#options.fleet.backEnds.records.has(change.id)) return;
    this.#options.log.info('removal held back', { backEnd: change.id, revision: change.revision });
    this.#held.set(change.id, change);
    this.#holdTimer ??= setTimeout(() => this.#endHold(), this.#holdUntil - performance.now());
  }

  #endHold(): void {
    this.#holdTimer = undefined;
    this.#options.fleet.takeHeldRemovals([...this.#held.values()]);
    this.#held.clear();
  }

  #decode(rows: readonly StoredRow[]): BackEndChange[] {
    const changes: BackEndChange[] = [];
    for (const row of rows) {
      if (row.value === undefined) {
        changes.push({ type: 'gone', id: row.key, revision: row.revision });
        continue;
      }
      const record = this.#options.decoder.backEnd(row);
      if (record !== undefined) changes.push({ type: 'changed', record });
    }
    return changes;
  }
}
