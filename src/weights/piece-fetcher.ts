/**
 * Fetches the missing pieces of one version from sources in order of preference. A source that fails or
 * returns corrupt bytes is not used for a while; an expensive one is used only when no pieces arrive from the
 * others.
 */

import { sleep } from '../fleet/table-follower.js';
import type { Random } from '../model/random.js';
import { withLimit } from '../model/time-limit.js';
import type { Log } from '../observability/log.js';
import type { HeldWeights, WeightsLibrary } from './held-weights.js';
import type { PieceSource } from './piece-source.js';

/** Longest time between two checks of the sources, in milliseconds. */
const MAX_WAIT = 60;
/** Initial and longest backoff of a source that failed, in milliseconds. */
const INITIAL_BACKOFF = 150;
const MAX_BACKOFF = 500;

/**
 * A fallback source that has delivered a piece is used for this long without waiting for its patience again,
 * in milliseconds.
 */
const FALLBACK_PREFERRED_TIME = 2_000;

/** Number of intervals between pieces from which the current rate is taken. */
const RATE_WINDOW = 8;

interface SourceState {
  openBatches: number;
  /**
   * Until when it is used without waiting for its patience to elapse, in milliseconds of the monotonic clock.
   */
  preferredUntil: number;
  failures: number;
  backOffUntil: number;
}

/** Limits on concurrent requests, so that other traffic on the link is not delayed. */
export interface FetchLimits {
  /** Concurrent batches over all sources. */
  open: number;
  /** Pieces per batch. */
  batch: number;
  /** Share of the time in which batches are in flight, above 0 and up to 1. */
  share: number;
}

const UNLIMITED: FetchLimits = { open: Number.POSITIVE_INFINITY, batch: Number.POSITIVE_INFINITY, share: 1 };

export interface PieceFetcherOptions {
  held: HeldWeights;
  library: WeightsLibrary;
  /** In order of preference; called at each check, as sources come and go. */
  sources: () => PieceSource[];
  /** False while other versions are fetched first. */
  mayFetch: () => boolean;
  /** Called when pieces are requested from the origin, which other entries should then leave to this one. */
  onDrawing?: () => void;
  /** How much of the link may be used; called at each check. Unlimited by default. */
  limits?: () => FetchLimits;
  /** A piece in flight for longer than this may be requested from another source, in milliseconds. */
  overdueAfter: number;
  random: Random;
  log: Log;
}

/** Fetches one version. */
export class PieceFetcher {
  readonly #options: PieceFetcherOptions;
  readonly #sourceStates = new Map<string, SourceState>();
  /** When each piece in flight was requested, by index. */
  readonly #requestedAt = new Map<number, number>();
  readonly #piecesBySource = new Map<string, number>();
  /** Pieces in flight from the origin. */
  readonly #drawing = new Set<number>();
  #lastPieceAt = performance.now();
  #wake: () => void = () => {};
  /** The latest times between two pieces, in milliseconds. */
  readonly #intervals: number[] = [];
  #startedAt = performance.now();
  #duration = 0;
  #sizeAtStart = 0;
  #openBatches = 0;
  #isIdle = false;
  #lastBatchDuration = 0;
  #pausedUntil = 0;

  constructor(options: PieceFetcherOptions) {
    this.#options = options;
  }

  /** When the last piece arrived, in milliseconds of the monotonic clock. */
  get lastPieceAt(): number {
    return this.#lastPieceAt;
  }

  /** When the fetch began, in milliseconds of the monotonic clock. */
  get startedAt(): number {
    return this.#startedAt;
  }

  /** Pieces in flight from the origin. */
  get drawing(): number[] {
    return [...this.#drawing];
  }

  /** The sources had nothing more to request at the last check; another fetch may use the link. */
  get isIdle(): boolean {
    return this.#isIdle;
  }

  /** Duration of the last batch, in milliseconds. */
  get lastBatchDuration(): number {
    return this.#lastBatchDuration;
  }

  /**
   * When the version will be complete at the average rate since the start, in milliseconds of the monotonic
   * clock; infinite if no piece has arrived. Time without pieces counts, so that a stalled fetch does not
   * appear to come close to its end.
   */
  get expectedEnd(): number {
    const { size, capacity } = this.#options.held.have;
    const received = size - this.#sizeAtStart;
    if (received <= 0) return Number.POSITIVE_INFINITY;
    const now = performance.now();
    return now + ((now - this.#startedAt) / received) * (capacity - size);
  }

  /**
   * When the version will be complete at the rate of the latest pieces, in milliseconds of the monotonic clock;
   * infinite if none has arrived. A pause between pieces has no effect on the rate.
   */
  get imminentEnd(): number {
    const intervals = [...this.#intervals].sort((a, b) => a - b);
    if (intervals.length === 0) return Number.POSITIVE_INFINITY;
    const { size, capacity } = this.#options.held.have;
    return performance.now() + intervals[Math.floor(intervals.length / 2)] * (capacity - size);
  }

  /**
   * Duration of the fetch of all pieces, in milliseconds; 0 if it has not ended or nothing had to be fetched.
   */
  get duration(): number {
    return this.#duration;
  }

  /** Returns when the version is complete or `signal` aborts. */
  async run(signal: AbortSignal): Promise<void> {
    const { held, log } = this.#options;
    const startedAt = performance.now();
    this.#startedAt = startedAt;
    this.#sizeAtStart = held.have.size;
    this.#lastPieceAt = startedAt;
    while (!held.complete && !signal.aborted) {
      if (this.#options.mayFetch()) this.#requestPieces(signal);
      await this.#waitForProgress(signal);
    }
    if (!held.complete) return;
    const { model, version } = held.manifest;
    const from = Object.fromEntries(this.#piecesBySource);
    const wasComplete = this.#piecesBySource.size === 0;
    this.#duration = wasComplete ? 0 : performance.now() - startedAt;
    log.info('version fetched', { model, version, from, tookMs: Math.round(this.#duration) });
  }

  /** Waits until a batch has ended, {@link MAX_WAIT} has passed or `signal` aborts. */
  #waitForProgress(signal: AbortSignal): Promise<void> {
    return new Promise((resolve) => {
      const end = () => {
        clearTimeout(timer);
        signal.removeEventListener('abort', end);
        resolve();
      };
      const timer = setTimeout(end, MAX_WAIT);
      signal.addEventListener('abort', end);
      this.#wake = end;
    });
  }

  #requestPieces(signal: AbortSignal): void {
    const now = performance.now();
    const limits = this.#limits();
    if (now < this.#pausedUntil) return;
    for (const source of this.#options.sources()) {
      const row = this.#stateOf(source);
      if (now - this.#lastPieceAt < source.patience && now >= row.preferredUntil) continue;
      while (
        row.openBatches < concurrencyOf(source, row) &&
        now >= row.backOffUntil &&
        this.#openBatches < limits.open
      ) {
        const next = source.nextBatch(this.#requestable(now));
        const batch = source.isDivisible ? next.slice(0, limits.batch) : next;
        if (batch.length === 0) break;
        void this.#fetch(source, row, batch, signal);
      }
    }
    this.#isIdle = this.#openBatches === 0;
  }

  #requestable(now: number): number[] {
    const { held, overdueAfter } = this.#options;
    return held
      .missing()
      .filter((index) => now - (this.#requestedAt.get(index) ?? -overdueAfter) >= overdueAfter);
  }

  async #fetch(
    source: PieceSource,
    row: SourceState,
    batch: readonly number[],
    signal: AbortSignal,
  ): Promise<void> {
    row.openBatches++;
    this.#openBatches++;
    const batchStartedAt = performance.now();
    for (const index of batch) this.#requestedAt.set(index, batchStartedAt);
    if (source.isOrigin) this.#beginDrawing(batch);
    const batchSignal = withLimit(signal, source.batchTimeout);
    const answer = await source.fetch(batch, batchSignal);
    for (const index of batch) this.#drawing.delete(index);
    row.openBatches--;
    this.#openBatches--;
    this.#lastBatchDuration = performance.now() - batchStartedAt;
    this.#pause(this.#lastBatchDuration, signal);
    for (const index of batch)
      if (this.#requestedAt.get(index) === batchStartedAt) this.#requestedAt.delete(index);
    const kept = answer.ok
      ? answer.value.filter(([index, bytes]) => this.#store(source, index, bytes)).length
      : 0;
    if (kept > 0) row.preferredUntil = performance.now() + FALLBACK_PREFERRED_TIME;
    if (kept === batch.length) row.failures = 0;
    else if (!signal.aborted)
      this.#backOff(source, row, answer.ok ? 'missing or corrupt pieces' : answer.error.reason);
    this.#wake();
  }

  #beginDrawing(batch: readonly number[]): void {
    for (const index of batch) this.#drawing.add(index);
    this.#options.onDrawing?.();
  }

  /** Leaves the link to other traffic after a batch. */
  #pause(batchDuration: number, signal: AbortSignal): void {
    const pause = batchDuration * (1 / this.#limits().share - 1);
    if (pause <= 0) return;
    this.#pausedUntil = performance.now() + pause;
    void sleep(pause, signal).then(() => this.#wake());
  }

  #limits(): FetchLimits {
    return this.#options.limits?.() ?? UNLIMITED;
  }

  #store(source: PieceSource, index: number, bytes: Buffer): boolean {
    const { held, library } = this.#options;
    const isNew = !held.have.has(index);
    if (!library.add(held, index, bytes)) return false;
    const now = performance.now();
    this.#intervals.push(now - this.#lastPieceAt);
    if (this.#intervals.length > RATE_WINDOW) this.#intervals.shift();
    this.#lastPieceAt = now;
    if (isNew) this.#piecesBySource.set(source.name, (this.#piecesBySource.get(source.name) ?? 0) + 1);
    return true;
  }

  #backOff(source: PieceSource, row: SourceState, reason: string): void {
    const longest = source.longestBackOff ?? MAX_BACKOFF;
    const backOff = Math.min(longest, INITIAL_BACKOFF * 2 ** row.failures++);
    row.backOffUntil = performance.now() + backOff * (0.5 + this.#options.random.fraction() / 2);
    const { model, version } = this.#options.held.manifest;
    this.#options.log.info('piece source failed', { source: source.name, model, version, reason });
  }

  #stateOf(source: PieceSource): SourceState {
    const known = this.#sourceStates.get(source.name);
    if (known !== undefined) return known;
    const row = { openBatches: 0, preferredUntil: 0, failures: 0, backOffUntil: 0 };
    this.#sourceStates.set(source.name, row);
    return row;
  }
}

/** Concurrent batches from a source; a source that has failed gets one until it delivers again. */
function concurrencyOf({ concurrency }: PieceSource, { failures }: SourceState): number {
  return failures > 0 ? 1 : concurrency;
}
