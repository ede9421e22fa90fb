/**
 * Follows one table of the store: reads it whole, then waits for changes. A store that is away is asked again with a
 * jittered, growing pause; where it has forgotten the changes since, the table is read whole again.
 */
import type { ChangesError, RowsSnapshot, StoredRow, WatchedTables } from '../clients/watched-tables.js';
import type { Random } from '../model/random.js';
import type { Result } from '../model/result.js';
import type { Startable } from '../model/startable.js';
import { AnswerLimit } from '../model/time-limit.js';
import type { TableUpdate } from '../protocol/store-update.js';
import type { StoreClock } from './store-clock.js';

/**
 * Time that the store may take to begin an answer, beyond the wait that it was asked for, and from one part of it to the next,
 * in milliseconds. A slow answer is read to its end: asked for again, it would come no sooner and fill the link longer.
 */
const ANSWER_LIMIT = 1_500;
/** While a long answer comes, others are told this often that this process reads the table, in milliseconds. */
const TOLD_INTERVAL = 500;
/**
 * A call that waits is given up sooner than that, so that a connection that went silent is noticed: after this many of the
 * store's latest answer times, but after this time at least, in milliseconds: above a packet that is lost and sent
 * again.
 */
const SILENT_ANSWERS = 4;
const SHORTEST_ANSWER_LIMIT = 400;
/** First and longest pause after a failed call, in milliseconds. */
const FIRST_PAUSE = 150;
const LONGEST_PAUSE = 700;
/**
 * Calls that follow one another within this leave no gap in which a change could have stayed unseen for longer, in
 * milliseconds: the interval between calls (60 ms for what is timed), and one packet that is lost and sent again.
 */
const GAPLESS = 400;

/** Time between two looks whether the table has to be read here, in milliseconds. */
const REST = 150;

/** What a follower tells. */
export interface TableFollowerEvents {
  /** The whole table; what is new in it was written after `since`, in milliseconds of the store's clock. */
  onWhole(rows: RowsSnapshot, since: number): void;
  /** Rows that changed since what was told before, all after `since`. */
  onChanges(rows: RowsSnapshot, since: number): void;
  /**
   * The store answers again, after `silence` milliseconds without an answer. It was not away where `isOutage` is false: one
   * call alone had no answer, and the next one, on a new connection, had.
   */
  onRegained(silence: number, isOutage: boolean): void;
  /** The store does not answer, or answers with an error. */
  onLost(reason: string): void;
  /** Rows have come; what takes long is done here, in parts, before they are told. */
  prepare(rows: readonly StoredRow[]): Promise<void>;
  /** The store has answered; called before the changes are told. */
  onNews(news: TableUpdate): void;
}

/** What to follow, and how often it may be asked for. */
export interface TableFollowerOptions {
  tables: WatchedTables;
  table: string;
  /** Longest wait for a change in one call, in milliseconds. */
  wait: number;
  /** Least time between two calls, in milliseconds: changes of this time come together; read anew at each call. */
  interval: () => number;
  /** True while another process reads the table and passes on what is new. */
  rests: () => boolean;
  /** Learns the store's time from each answer. */
  clock: StoreClock;
  random: Random;
  events: TableFollowerEvents;
}

/** One call to the store. */
interface FollowerCall {
  /** When it was made, in milliseconds of the steady clock. */
  askedAt: number;
  /** Time between the answer before and this call, in milliseconds. */
  gap: number;
  /** Aborted when the follower stops. */
  signal: AbortSignal;
}

/** Follows one table. */
export class TableFollower implements Startable {
  readonly #options: TableFollowerOptions;
  #stopped: AbortController | undefined;
  #revision: number | undefined;
  #answeredAt = performance.now();
  /** The store's time at its latest answer; minus infinity before the first. */
  #storeTime = Number.NEGATIVE_INFINITY;
  #failures = 0;
  /** True where a failed call since the latest answer was refused, and did not just stay without an answer. */
  #wasRefused = false;
  /** What was passed on does not follow on what is known here: the table has to be read. */
  #hasGap = false;
  /** Time of the latest answer beyond the wait that was asked for, in milliseconds. */
  #answerTime = 0;
  /** When others were last told of an answer that was still coming. */
  #toldAt = Number.NEGATIVE_INFINITY;

  constructor(options: TableFollowerOptions) {
    this.#options = options;
  }

  /** False between a failed call and the next answer. */
  get connected(): boolean {
    return this.#failures === 0 && this.#revision !== undefined;
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
      if (this.#mayRest) {
        await sleep(REST, signal);
        continue;
      }
      const askedAt = performance.now();
      const pause = await this.#step(signal);
      await sleep(Math.max(pause, this.#options.interval() - (performance.now() - askedAt)), signal);
    }
  }

  get #mayRest(): boolean {
    return this.#revision !== undefined && !this.#hasGap && this.#options.rests();
  }

  /** Takes what another process has read. */
  take({ after, revision, storeTime, since, rows }: TableUpdate): void {
    if (this.#revision === undefined || revision <= this.#revision) return;
    this.#hasGap = after > this.#revision;
    if (this.#hasGap) return;
    this.#revision = revision;
    this.#noteAnswer(storeTime);
    this.#options.events.onChanges({ rows, revision, storeTime }, since);
  }

  /** One call; returns the least pause before the next, in milliseconds. */
  async #step(signal: AbortSignal): Promise<number> {
    const { tables, table, wait, events, clock } = this.#options;
    const askedAt = performance.now();
    const gap = clock.isKnown ? clock.storeTimeAt(askedAt) - this.#storeTime : Number.POSITIVE_INFINITY;
    const call = { askedAt, gap, signal };
    if (this.#revision === undefined) {
      const limit = new AnswerLimit(signal, { first: ANSWER_LIMIT, next: ANSWER_LIMIT });
      const read = await this.#timed(0, () =>
        tables.read(table, '', limit.signal, () => this.#onPart(limit)),
      );
      limit.end();
      if (read.ok) await events.prepare(read.value.rows);
      return this.#take(read, limit.signal, call, (rows, since) => events.onWhole(rows, since));
    }
    // A store that was lost is asked for an answer at once: that it is back must not wait for a change.
    const patience = this.#failures > 0 ? 0 : wait;
    const first = patience === 0 ? ANSWER_LIMIT : patience + this.#answerLimit;
    const limit = new AnswerLimit(signal, { first, next: ANSWER_LIMIT });
    const query = { table, after: this.#revision, wait: patience };
    const changes = await this.#timed(patience, () =>
      tables.changes(query, limit.signal, () => this.#onPart(limit)),
    );
    limit.end();
    if (changes.ok) await events.prepare(changes.value.rows);
    return this.#take(changes, limit.signal, call, (rows, since) => events.onChanges(rows, since));
  }

  /** A part of an answer has come: those for whom this process reads need not read themselves. */
  #onPart(limit: AnswerLimit): void {
    limit.notePart();
    const now = performance.now();
    if (this.#revision === undefined || now - this.#toldAt < TOLD_INTERVAL) return;
    this.#toldAt = now;
    const [revision, storeTime] = [this.#revision, this.#storeTime];
    this.#options.events.onNews({ after: revision, revision, storeTime, since: storeTime, rows: [] });
  }

  /** Time that the store may take for an answer beyond the wait, in milliseconds. */
  get #answerLimit(): number {
    return Math.min(ANSWER_LIMIT, Math.max(SHORTEST_ANSWER_LIMIT, SILENT_ANSWERS * this.#answerTime));
  }

  /** Calls the store, and notes the time that its answer took where it was not waiting for a change. */
  async #timed<T extends Result<RowsSnapshot, ChangesError>>(
    wait: number,
    call: () => Promise<T>,
  ): Promise<T> {
    const askedAt = performance.now();
    const answer = await call();
    const beyond = performance.now() - askedAt - wait;
    if (answer.ok && beyond >= 0) this.#answerTime = beyond;
    return answer;
  }

  #take(
    answer: Result<RowsSnapshot, ChangesError>,
    limit: AbortSignal,
    { askedAt, gap, signal }: FollowerCall,
    tell: (rows: RowsSnapshot, since: number) => void,
  ): number {
    if (signal.aborted) return 0;
    if (answer.ok) {
      const since = this.#writtenSince(answer.value, gap);
      const { rows, storeTime } = answer.value;
      this.#noteAnswer(storeTime, askedAt);
      const after = this.#revision;
      // What was passed on meanwhile may be newer.
      const revision = Math.max(after ?? 0, answer.value.revision);
      this.#revision = revision;
      this.#hasGap = false;
      if (after !== undefined) this.#options.events.onNews({ after, revision, storeTime, since, rows });
      tell(answer.value, since);
      return 0;
    }
    if (answer.error.type === 'historyForgotten') {
      this.#revision = undefined;
      return 0;
    }
    this.#wasRefused ||= !limit.aborted;
    if (this.#failures++ === 0)
      this.#options.events.onLost('reason' in answer.error ? answer.error.reason : answer.error.type);
    const longest = Math.min(LONGEST_PAUSE, FIRST_PAUSE * 2 ** Math.min(this.#failures, 4));
    return longest * (0.5 + this.#options.random.fraction() / 2);
  }

  /**
   * After when that which is new in an answer was written, in the store's time. The store answers a waiting call as soon
   * as there is a change, so without a gap before the call it was written just before the answer.
   * @param gap - time between the answer before and this call, in milliseconds
   */
  #writtenSince({ storeTime }: RowsSnapshot, gap: number): number {
    return gap <= GAPLESS ? Math.max(this.#storeTime, storeTime - GAPLESS) : this.#storeTime;
  }

  /** @param askedAt - when the store was asked; undefined where another process was */
  #noteAnswer(storeTime: number, askedAt?: number): void {
    const now = performance.now();
    this.#options.clock.note(storeTime, now, askedAt);
    this.#storeTime = Math.max(this.#storeTime, storeTime);
    const isOutage = this.#wasRefused || this.#failures > 1;
    if (this.#failures > 0) this.#options.events.onRegained(now - this.#answeredAt, isOutage);
    this.#failures = 0;
    this.#wasRefused = false;
    this.#answeredAt = now;
  }
}

/** Waits for `milliseconds`, or until `signal`. */
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
