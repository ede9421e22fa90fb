/**
 * Fetches the missing pieces of one version from sources in order of preference. A source that fails or gives corrupt
 * bytes rests for a while; a dear one is asked only when nothing comes from the others.
 */

import { sleep } from '../fleet/table-follower.js';
import type { Random } from '../model/random.js';
import { withLimit } from '../model/time-limit.js';
import type { Log } from '../observability/log.js';
import type { HeldWeights, WeightsLibrary } from './held-weights.js';
import type { PieceSource } from './piece-source.js';

/** Longest time between two looks at the sources, in milliseconds. */
const TICK = 60;
/** First and longest rest of a source that failed, in milliseconds. */
const FIRST_REST = 150;
const LONGEST_REST = 500;

/** A source that was resorted to and gives is asked on for this long after its latest piece, in milliseconds. */
const RESORTED = 2_000;

interface SourceRow {
  open: number;
  /** Until when it is asked without waiting for its patience to end. */
  resortedUntil: number;
  failures: number;
  restsUntil: number;
}

/** How fast pieces are asked for, so that other traffic of the link does not wait behind them. */
export interface FetchPace {
  /** Batches that are open at the same time, over all sources. */
  open: number;
  /** Pieces of one batch. */
  batch: number;
  /** Share of the time in which batches are on their way, above 0 and up to 1. */
  share: number;
}

const UNLIMITED: FetchPace = { open: Number.POSITIVE_INFINITY, batch: Number.POSITIVE_INFINITY, share: 1 };

/** What a fetcher works with. */
export interface PieceFetcherOptions {
  held: HeldWeights;
  library: WeightsLibrary;
  /** In order of preference; read anew at each look, as sources come and go. */
  sources: () => PieceSource[];
  /** False while others go first. */
  mayAsk: () => boolean;
  /** Pieces are drawn from the origin now: others are to leave them. */
  onDrawing?: () => void;
  /** How much of the link may be used; read anew at each look. Without it there is no limit. */
  pace?: () => FetchPace;
  /** A piece that is on its way for longer may be asked of another source, in milliseconds. */
  overdue: number;
  random: Random;
  log: Log;
}

/** Fetches one version. */
export class PieceFetcher {
  readonly #options: PieceFetcherOptions;
  readonly #rows = new Map<string, SourceRow>();
  /** When each piece that is on its way was asked for. */
  readonly #asked = new Map<number, number>();
  readonly #counts = new Map<string, number>();
  /** Pieces that are on their way from the origin. */
  readonly #drawing = new Set<number>();
  #progressAt = performance.now();
  #wake: () => void = () => {};
  #startedAt = 0;
  #took = 0;
  #sizeAtStart = 0;
  #open = 0;
  #batchTime = 0;
  #pausesUntil = 0;

  constructor(options: PieceFetcherOptions) {
    this.#options = options;
  }

  /** When a piece came last, in milliseconds of the steady clock. */
  get progressAt(): number {
    return this.#progressAt;
  }

  /** Pieces that are on their way from the origin. */
  get drawing(): number[] {
    return [...this.#drawing];
  }

  /** Time that the latest batch took, in milliseconds. */
  get batchTime(): number {
    return this.#batchTime;
  }

  /**
   * When the version will be whole at the rate since the start, in milliseconds of the steady clock; infinite without
   * one. Time without a piece counts: an end that drew near while nothing came would be believed by those who wait.
   */
  get expectedEnd(): number {
    const { size, capacity } = this.#options.held.have;
    const got = size - this.#sizeAtStart;
    if (got <= 0) return Number.POSITIVE_INFINITY;
    const now = performance.now();
    return now + ((now - this.#startedAt) / got) * (capacity - size);
  }

  /** Time that it took to fetch all pieces, in milliseconds; 0 where that has not happened. */
  get took(): number {
    return this.#took;
  }

  /** Returns when the version is whole, or at `signal`. */
  async run(signal: AbortSignal): Promise<void> {
    const { held, log } = this.#options;
    const startedAt = performance.now();
    this.#startedAt = startedAt;
    this.#sizeAtStart = held.have.size;
    this.#progressAt = startedAt;
    while (!held.complete && !signal.aborted) {
      if (this.#options.mayAsk()) this.#ask(signal);
      await this.#nextLook(signal);
    }
    if (!held.complete) return;
    const { model, version } = held.manifest;
    const from = Object.fromEntries(this.#counts);
    const wasWhole = this.#counts.size === 0;
    this.#took = wasWhole ? 0 : performance.now() - startedAt;
    log.info('version fetched', { model, version, from, tookMs: Math.round(this.#took) });
  }

  /** Waits for a tick, or until something has come. */
  #nextLook(signal: AbortSignal): Promise<void> {
    return new Promise((resolve) => {
      const end = () => {
        clearTimeout(timer);
        signal.removeEventListener('abort', end);
        resolve();
      };
      const timer = setTimeout(end, TICK);
      signal.addEventListener('abort', end);
      this.#wake = end;
    });
  }

  #ask(signal: AbortSignal): void {
    const now = performance.now();
    const pace = this.#pace();
    if (now < this.#pausesUntil) return;
    for (const source of this.#options.sources()) {
      const row = this.#row(source);
      if (now - this.#progressAt < source.patience && now >= row.resortedUntil) continue;
      while (row.open < source.concurrency && now >= row.restsUntil && this.#open < pace.open) {
        const next = source.nextBatch(this.#wanted(now));
        const batch = source.isDivisible ? next.slice(0, pace.batch) : next;
        if (batch.length === 0) break;
        void this.#fetch(source, row, batch, signal);
      }
    }
  }

  #wanted(now: number): number[] {
    const { held, overdue } = this.#options;
    return held.missing().filter((index) => now - (this.#asked.get(index) ?? -overdue) >= overdue);
  }

  async #fetch(
    source: PieceSource,
    row: SourceRow,
    batch: readonly number[],
    signal: AbortSignal,
  ): Promise<void> {
    row.open++;
    this.#open++;
    const askedAt = performance.now();
    for (const index of batch) this.#asked.set(index, askedAt);
    if (source.isOrigin) this.#beginDrawing(batch);
    const limit = withLimit(signal, source.batchTimeout);
    const answer = await source.fetch(batch, limit);
    for (const index of batch) this.#drawing.delete(index);
    row.open--;
    this.#open--;
    this.#batchTime = performance.now() - askedAt;
    this.#pause(this.#batchTime, signal);
    for (const index of batch) if (this.#asked.get(index) === askedAt) this.#asked.delete(index);
    const kept = answer.ok
      ? answer.value.filter(([index, bytes]) => this.#keep(source, index, bytes)).length
      : 0;
    if (kept > 0) row.resortedUntil = performance.now() + RESORTED;
    if (kept === batch.length) row.failures = 0;
    else if (!signal.aborted)
      this.#rest(source, row, answer.ok ? 'missing or corrupt pieces' : answer.error.reason);
    this.#wake();
  }

  #beginDrawing(batch: readonly number[]): void {
    for (const index of batch) this.#drawing.add(index);
    this.#options.onDrawing?.();
  }

  /** After a batch the link is left to others for a while. */
  #pause(tookMilliseconds: number, signal: AbortSignal): void {
    const pause = tookMilliseconds * (1 / this.#pace().share - 1);
    if (pause <= 0) return;
    this.#pausesUntil = performance.now() + pause;
    void sleep(pause, signal).then(() => this.#wake());
  }

  #pace(): FetchPace {
    return this.#options.pace?.() ?? UNLIMITED;
  }

  #keep(source: PieceSource, index: number, bytes: Buffer): boolean {
    const { held, library } = this.#options;
    const isNew = !held.have.has(index);
    if (!library.add(held, index, bytes)) return false;
    this.#progressAt = performance.now();
    if (isNew) this.#counts.set(source.name, (this.#counts.get(source.name) ?? 0) + 1);
    return true;
  }

  #rest(source: PieceSource, row: SourceRow, reason: string): void {
    const rest = Math.min(LONGEST_REST, FIRST_REST * 2 ** row.failures++);
    row.restsUntil = performance.now() + rest * (0.5 + this.#options.random.fraction() / 2);
    const { model, version } = this.#options.held.manifest;
    this.#options.log.info('piece source failed', { source: source.name, model, version, reason });
  }

  #row(source: PieceSource): SourceRow {
    const known = this.#rows.get(source.name);
    if (known !== undefined) return known;
    const row = { open: 0, resortedUntil: 0, failures: 0, restsUntil: 0 };
    this.#rows.set(source.name, row);
    return row;
  }
}
