/**
 * Follows one table of the store: reads it completely, then waits for changes. Failed calls are repeated with a jittered
 * exponential backoff. If the store no longer has the history of changes, the table is read completely again.
 */
import type { ChangesError, RowsSnapshot, StoredRow, WatchedTables } from '../clients/watched-tables.js';
import type { Random } from '../model/random.js';
import type { Result } from '../model/result.js';
import type { Startable } from '../model/startable.js';
import { ResponseLimit } from '../model/time-limit.js';
import type { TableState } from '../protocol/reports.js';
import type { TableUpdate } from '../protocol/store-update.js';
import { FROM_STORE } from './list-freshness.js';
import type { StoreClock } from './store-clock.js';
import type { StoreAnswer } from './store-outages.js';

/**
 * Response timeout of the store, in milliseconds: the time until the first part of a response, beyond the requested wait, and
 * from one part to the next. A slow response is read to its end: a repeated request would return no sooner and load the link
 * for longer.
 */
const RESPONSE_TIMEOUT = 1_500;
/** Interval at which others are notified while a long response arrives, in milliseconds. */
const PROGRESS_INTERVAL = 500;
/**
 * A waiting call is given up earlier than that, so that a connection that has gone silent is noticed: after this multiple of
 * the store's latest response time, but no earlier than the minimum, in milliseconds. The minimum allows for one lost and
 * retransmitted packet.
 */
const TIMEOUT_RESPONSE_TIMES = 4;
const MIN_RESPONSE_TIMEOUT = 400;
/**
 * A table of large rows is read whole if nothing has arrived for this time and what is known of it is as old, in milliseconds: the store
 * may list each version of a row since then, so that the answer would be the longer the later it is requested. Two calls can fail before.
 */
const MAX_HISTORY = 2_500;
/** Initial and maximum backoff after a failed call, in milliseconds. */
const INITIAL_BACKOFF = 150;
const MAX_BACKOFF = 700;
/**
 * Maximum gap between two calls at which a change still counts as written just before the response, in milliseconds. It covers
 * the interval between calls (60 ms for the table whose changes are dated) and one lost and retransmitted packet.
 */
const MAX_CONTIGUOUS_GAP = 400;

/** Longest interval at which a paused follower checks whether it has to read the table itself, in milliseconds. */
const MAX_PAUSE_CHECK_INTERVAL = 150;
/** A process that has not read the table does so unless another one knows it as of this time ago, in milliseconds. */
const MAX_ADOPTED_AGE = 1_100;
/** Interval at which a follower that has not read the table checks whether it still has to, in milliseconds. */
const FIRST_READ_CHECK_INTERVAL = 20;

/** Events of a follower. */
export interface TableFollowerEvents {
  /** The complete table; changes in it were written after `since`, in milliseconds of the store's clock. */
  onSnapshot(rows: RowsSnapshot, since: number): void;
  /**
   * Rows changed since the previous event, all written after `since`.
   * @param source - the process that has read them; `store` if this one has
   */
  onChanges(rows: RowsSnapshot, since: number, source: string): void;
  /** The store has answered a call of this process; called before the other events of the answer. */
  onAnswer(answer: StoreAnswer): void;
  /**
   * The table is complete here as of `storeTime`; called before the changes that make it so.
   * @param source - the process that has read it; `store` if this one has
   */
  onComplete(storeTime: number, source: string): void;
  /**
   * This process begins to read the table itself, or leaves that to another one.
   * @param age - time of the store since the table was complete here, in milliseconds; infinite if it never was
   */
  onReading(isReading: boolean, age: number): void;
  /** The store answers again after `silence` milliseconds. */
  onStoreRegained(silence: number): void;
  /** The store does not answer, or answers with an error. */
  onStoreLost(reason: string): void;
  /** Called with received rows before they are passed to the other events, for expensive work that yields to the event loop. */
  prepare(rows: readonly StoredRow[]): Promise<void>;
  /** Changes to be forwarded to other processes; called before `onSnapshot` and `onChanges`. */
  onForward(news: TableUpdate): void;
}

export interface TableFollowerOptions {
  tables: WatchedTables;
  table: string;
  /** Longest wait for a change in one call, in milliseconds. */
  wait: number;
  /** Minimum time between two calls, in milliseconds; evaluated before each call. Changes in between arrive together. */
  interval: () => number;
  /**
   * Time until this process reads the table itself unless another process forwards changes before, in milliseconds; 0 if it
   * reads the table now.
   */
  timeUntilReading: () => number;
  /** The same for a process that lacks some of the changes that another one forwards, and may read from `begin` on. */
  timeUntilTurn: (begin: number) => number;
  /** Time for which others may still provide the table, so that this process need not read it, in milliseconds. */
  timeUntilFirstRead?: () => number;
  /** Time for which missed changes may still be provided by others, in milliseconds; the table is read after that. */
  gapPatience: number;
  /** Whether changes may be missing that others have forwarded, so that the whole table has to be read. */
  isIncomplete?: () => boolean;
  /** The rows are large: others are told that a long answer is arriving, and long histories of changes are not requested. */
  hasLargeRows: boolean;
  /** Receives the store's time from each response. */
  clock: StoreClock;
  random: Random;
  events: TableFollowerEvents;
}

interface FollowerCall {
  /** When it was made, in milliseconds of the monotonic clock. */
  requestedAt: number;
  /** Time between the previous response and this call, in milliseconds. */
  gap: number;
  /** Changes after this revision are requested; undefined if the whole table is. */
  after: number | undefined;
  /** Others rely on this process to forward the response, also if another takes over before it arrives. */
  isReader: boolean;
  /** Aborted when the follower stops. */
  signal: AbortSignal;
}

export class TableFollower implements Startable {
  readonly #options: TableFollowerOptions;
  #stopped: AbortController | undefined;
  #revision: number | undefined;
  #answeredAt = performance.now();
  /** When an answer of the store last arrived, also through another process; minus infinity before the first. */
  #receivedAt = Number.NEGATIVE_INFINITY;
  /** The store's time at its latest response; minus infinity before the first. */
  #storeTime = Number.NEGATIVE_INFINITY;
  #failures = 0;
  /** Since when changes are missing, as forwarded ones did not follow on the revision known here; undefined if none are. */
  #gapSince: number | undefined;
  /** Duration of the latest response beyond the requested wait, in milliseconds. */
  #responseTime = 0;
  #isReading = false;
  /** This process has called the store. */
  #hasCalled = false;
  /** The store no longer had the history: the table is known completely only once it has been read. */
  #mustRead = false;
  /** When others were last notified of a response still arriving. */
  #notifiedAt = Number.NEGATIVE_INFINITY;

  constructor(options: TableFollowerOptions) {
    this.#options = options;
  }

  /** False while the table is unknown, and between a failed call and the next response. */
  get connected(): boolean {
    return this.#failures === 0 && this.#revision !== undefined;
  }

  /** What is known of the table; undefined before the first read. */
  get state(): TableState | undefined {
    return this.#revision === undefined ? undefined : { revision: this.#revision, asOf: this.#storeTime };
  }

  async start(): Promise<void> {
    const stopped = new AbortController();
    this.#stopped = stopped;
    void this.#run(stopped.signal);
  }

  async stop(): Promise<void> {
    this.#stopped?.abort();
  }

  async #run(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      const firstReadIn = this.#revision === undefined ? (this.#options.timeUntilFirstRead?.() ?? 0) : 0;
      if (firstReadIn > 0) {
        await sleep(Math.min(firstReadIn, FIRST_READ_CHECK_INTERVAL), signal);
        continue;
      }
      const pauseTime = this.#pauseTime;
      this.#noteReading(pauseTime === 0);
      if (pauseTime > 0) {
        await sleep(Math.min(pauseTime, MAX_PAUSE_CHECK_INTERVAL), signal);
        continue;
      }
      const requestedAt = performance.now();
      const pause = await this.#poll(signal);
      await sleep(Math.max(pause, this.#options.interval() - (performance.now() - requestedAt)), signal);
    }
  }

  #noteReading(isReading: boolean): void {
    if (isReading === this.#isReading) return;
    this.#isReading = isReading;
    this.#options.events.onReading(isReading, this.#ageAt(performance.now()));
  }

  /** Time of the store since the table was complete here, in milliseconds; infinite before the first read. */
  #ageAt(now: number): number {
    return now - this.#options.clock.localTimeAt(this.#storeTime);
  }

  get #pauseTime(): number {
    if (this.#revision === undefined || this.#isIncomplete) return 0;
    const { timeUntilReading, timeUntilTurn, gapPatience } = this.#options;
    if (this.#gapSince === undefined) return timeUntilReading();
    return Math.min(timeUntilReading(), timeUntilTurn(this.#gapSince + gapPatience));
  }

  get #isIncomplete(): boolean {
    return this.#options.isIncomplete?.() === true;
  }

  /** Whether changes may be longer than the whole table. What has arrived just now may be old because it is long. */
  #isHistoryLong(now: number): boolean {
    const isLate = this.#ageAt(now) > MAX_HISTORY && now - this.#receivedAt > MAX_HISTORY;
    return this.#options.hasLargeRows && isLate;
  }

  /** Applies changes that another process, `source`, has read. */
  applyForwarded({ after, revision, storeTime, since, rows }: TableUpdate, source: string): void {
    if (this.#revision === undefined || revision < this.#revision) return;
    if (revision === this.#revision) return this.#noteUnchanged(storeTime, source);
    if (after > this.#revision) {
      this.#gapSince ??= performance.now();
      return;
    }
    this.#gapSince = undefined;
    this.#revision = revision;
    this.#noteResponse(storeTime, source);
    this.#options.events.onChanges({ rows, revision, storeTime }, since, source);
  }

  /**
   * Another process, `source`, knows the table up to `revision`, and all of it that is used has been applied here. Whether the store
   * answers this process, and when it has to, does not depend on that.
   */
  adopt({ revision, asOf }: TableState, source: string): void {
    const isFirst = this.#revision === undefined;
    if (isFirst && !this.#maySkipReading(asOf)) return;
    // Those for which this process reads need all changes after the last ones that it forwarded.
    if (!isFirst && this.#options.timeUntilReading() === 0) return;
    if (revision < (this.#revision ?? 0)) return;
    this.#revision = revision;
    this.#gapSince = undefined;
    this.#storeTime = Math.max(this.#storeTime, asOf);
    this.#options.events.onComplete(asOf, source);
  }

  /**
   * Whether a process that has not read the table takes what another one knows as of `asOf`: if that is current, or once the store has not
   * answered. Then it reads in its turn, as the others do, in place of reading the whole table again and again beside them.
   */
  #maySkipReading(asOf: number): boolean {
    const { clock } = this.#options;
    if (this.#mustRead || !clock.isKnown) return false;
    if (this.#hasCalled) return this.#failures > 0;
    return performance.now() - clock.localTimeAt(asOf) <= MAX_ADOPTED_AGE;
  }

  /**
   * Another process has read that nothing has changed; a message that is no newer than what is known here proves nothing. One that
   * reads itself goes by its own calls.
   */
  #noteUnchanged(storeTime: number, source: string): void {
    if (storeTime > this.#storeTime && this.#options.timeUntilReading() > 0)
      this.#noteResponse(storeTime, source);
  }

  /** Makes one call; returns the minimum pause before the next, in milliseconds. */
  async #poll(signal: AbortSignal): Promise<number> {
    const { tables, table, wait, events, clock } = this.#options;
    this.#hasCalled = true;
    const requestedAt = performance.now();
    const gap = clock.isKnown ? clock.storeTimeAt(requestedAt) - this.#storeTime : Number.POSITIVE_INFINITY;
    const isReader = this.#options.timeUntilReading() === 0;
    const isIncomplete = this.#isIncomplete || this.#isHistoryLong(requestedAt);
    const after = isIncomplete ? undefined : this.#revision;
    const call = { requestedAt, gap, after, isReader, signal };
    if (after === undefined) {
      const limit = new ResponseLimit(signal, { first: RESPONSE_TIMEOUT, next: RESPONSE_TIMEOUT });
      const read = await this.#measureResponse(0, () =>
        tables.read(table, '', limit.signal, () => this.#onPart(limit, call)),
      );
      limit.end();
      if (read.ok) await events.prepare(read.value.rows);
      return this.#handleResponse(read, call, (rows, since) => events.onSnapshot(rows, since));
    }
    const patience = this.#waitOf(wait, requestedAt);
    const first = patience === 0 ? RESPONSE_TIMEOUT : patience + this.#responseTimeout;
    const limit = new ResponseLimit(signal, { first, next: RESPONSE_TIMEOUT });
    const query = { table, after, wait: patience };
    const changes = await this.#measureResponse(patience, () =>
      tables.changes(query, limit.signal, () => this.#onPart(limit, call)),
    );
    limit.end();
    if (changes.ok) await events.prepare(changes.value.rows);
    return this.#handleResponse(changes, call, (rows, since) => events.onChanges(rows, since, FROM_STORE));
  }

  /**
   * Longest wait for a change in a call, in milliseconds. The answer is due `wait` after the store gave the one before, whoever got
   * that, so that the state of the processes for which this one reads does not become too old. After a failure the call does not
   * wait, so that the store's return is noticed at once.
   */
  #waitOf(wait: number, requestedAt: number): number {
    if (this.#failures > 0) return 0;
    return Math.min(wait, Math.max(0, Math.round(wait - this.#ageAt(requestedAt))));
  }

  /** Handles a part of a response. */
  #onPart(limit: ResponseLimit, { isReader }: FollowerCall): void {
    limit.notePart();
    const now = performance.now();
    if (!this.#options.hasLargeRows || !isReader || this.#revision === undefined) return;
    if (now - this.#notifiedAt < PROGRESS_INTERVAL) return;
    this.#notifiedAt = now;
    const [revision, storeTime] = [this.#revision, this.#storeTime];
    const unchanged = { after: revision, revision, storeTime, since: storeTime, rows: [] };
    this.#options.events.onForward({ ...unchanged, isLongAnswerArriving: true });
  }

  /** Timeout of a waiting call beyond its wait, in milliseconds. */
  get #responseTimeout(): number {
    return Math.min(
      RESPONSE_TIMEOUT,
      Math.max(MIN_RESPONSE_TIMEOUT, TIMEOUT_RESPONSE_TIMES * this.#responseTime),
    );
  }

  /** Makes a call, and records the response time unless the response came before the end of the wait. */
  async #measureResponse<T extends Result<RowsSnapshot, ChangesError>>(
    wait: number,
    call: () => Promise<T>,
  ): Promise<T> {
    const requestedAt = performance.now();
    const answer = await call();
    const beyond = performance.now() - requestedAt - wait;
    if (answer.ok && beyond >= 0) this.#responseTime = beyond;
    return answer;
  }

  #handleResponse(
    answer: Result<RowsSnapshot, ChangesError>,
    { requestedAt, gap, after, isReader, signal }: FollowerCall,
    tell: (rows: RowsSnapshot, since: number) => void,
  ): number {
    if (signal.aborted) return 0;
    if (answer.ok) {
      const since = this.#writtenSince(answer.value, gap);
      const { rows, storeTime } = answer.value;
      this.#options.events.onAnswer(answer.value);
      this.#noteResponse(storeTime, FROM_STORE, requestedAt);
      // Changes forwarded by another process meanwhile may be newer.
      this.#revision = Math.max(this.#revision ?? 0, answer.value.revision);
      this.#gapSince = undefined;
      this.#mustRead = false;
      if (after !== undefined && isReader)
        this.#options.events.onForward({ after, revision: answer.value.revision, storeTime, since, rows });
      tell(answer.value, since);
      return 0;
    }
    if (answer.error.type === 'historyForgotten') {
      this.#revision = undefined;
      this.#mustRead = true;
      return 0;
    }
    if (this.#failures++ === 0)
      this.#options.events.onStoreLost('reason' in answer.error ? answer.error.reason : answer.error.type);
    const longest = Math.min(MAX_BACKOFF, INITIAL_BACKOFF * 2 ** Math.min(this.#failures, 4));
    return longest * (0.5 + this.#options.random.fraction() / 2);
  }

  /**
   * Lower bound, in store time, of when the changes in a response were written. The store answers a waiting call as soon as
   * there is a change, so if no gap precedes the call, the change was written just before the response.
   * @param gap - time between the previous response and this call, in milliseconds
   */
  #writtenSince({ storeTime }: RowsSnapshot, gap: number): number {
    return gap <= MAX_CONTIGUOUS_GAP
      ? Math.max(this.#storeTime, storeTime - MAX_CONTIGUOUS_GAP)
      : this.#storeTime;
  }

  /** @param requestedAt - when the store was called; undefined if another process called it */
  #noteResponse(storeTime: number, source: string, requestedAt?: number): void {
    const now = performance.now();
    this.#options.clock.addSample(storeTime, now, requestedAt);
    this.#storeTime = Math.max(this.#storeTime, storeTime);
    this.#options.events.onComplete(storeTime, source);
    if (this.#failures > 0) this.#options.events.onStoreRegained(now - this.#answeredAt);
    this.#failures = 0;
    this.#answeredAt = now;
    this.#receivedAt = now;
  }
}

/** Resolves after `milliseconds`, or as soon as `signal` is aborted. */
export function sleep(milliseconds: number, signal: AbortSignal): Promise<void> {
  if (milliseconds <= 0 || signal.aborted) return Promise.resolve();
  return new Promise((resolve) => {
    const end = () => {
      clearTimeout(timer);
      signal.removeEventListener('abort', end);
      resolve();
    };
    const timer = setTimeout(end, milliseconds);
    signal.addEventListener('abort', end);
  });
}
