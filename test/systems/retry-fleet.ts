/**
 * Many entries that share the repetitions at one service, in virtual time, and a judge that counts what arrives there.
 * Times are in milliseconds.
 */
import { seededRandom } from '../../src/model/random.js';
import {
  createEntryRetryWindow,
  type EntriesKnown,
  type SharedRetryLimits,
} from '../../src/systems/entry-retry-window.js';

/** What one entry uses to count; any kind of budget can be simulated. */
export interface EntryBudget {
  earn(now: number): void;
  spend(now: number): boolean;
}

/** How an entry that was started sees the others. */
export type View =
  /** It hears all. */
  | 'all'
  /** It has heard none since its start, and knows only the seeds. */
  | 'cutFromStart'
  /** It heard all, and hears none any more. */
  | 'cutLater';

/** Longest time from a caller's sending to the entry's count, and from a repetition's payment to its arrival. */
export const REQUEST_LAG = 400;
export const REPETITION_LAG = 450;
const SEEDS = 3;

/** The entries and what they did. */
export class RetryFleet {
  readonly limits: SharedRetryLimits;
  readonly requests: number[] = [];
  readonly repetitions: number[] = [];
  readonly #create: (entry: number, now: number) => EntryBudget;
  readonly #budgets: EntryBudget[] = [];
  readonly #views: View[];
  readonly #random;

  /** @param create - makes the budget of an entry that starts; by default as an entry does */
  constructor(
    limits: SharedRetryLimits,
    size: number,
    seed: number,
    create?: (entry: number, now: number) => EntryBudget,
  ) {
    this.limits = limits;
    this.#random = seededRandom(seed);
    this.#views = new Array<View>(size).fill('all');
    this.#create = create ?? ((entry, now) => createEntryRetryWindow(limits, () => this.#known(entry), now));
    for (let entry = 0; entry < size; entry++) this.#budgets.push(this.#create(entry, 0));
  }

  get size(): number {
    return this.#budgets.length;
  }

  /** The entry's process ends, and the next one begins: it knows nothing of the former. */
  restart(entry: number, now: number, view: View = 'all'): void {
    this.#views[entry] = view;
    this.#budgets[entry] = this.#create(entry, now);
  }

  /** Changes what a running entry hears. */
  hear(entry: number, isCut: boolean): void {
    const view = this.#views[entry];
    if (view !== 'cutFromStart') this.#views[entry] = isCut ? 'cutLater' : 'all';
  }

  /** A caller's request reaches the entry at `now`; it was sent up to `REQUEST_LAG` before. */
  request(entry: number, now: number): void {
    this.requests.push(now - this.#random.below(REQUEST_LAG + 1));
    this.#budgets[entry].earn(now);
  }

  /** The entry makes as many of `wanted` repetitions as it may; they arrive up to `REPETITION_LAG` later. */
  repeat(entry: number, wanted: number, now: number): void {
    for (let index = 0; index < wanted; index++) {
      if (!this.#budgets[entry].spend(now)) return;
      this.repetitions.push(now + this.#random.below(REPETITION_LAG + 1));
    }
  }

  /**
   * The most by which the repetitions of any span go beyond the bound: the share of the requests of that span, the one
   * before it or the one half a span before, whichever has the most, and the slack. Zero or less where it holds.
   */
  worstExcess(): number {
    const { share, slack, span } = this.limits;
    const repetitions = [...this.repetitions].sort((a, b) => a - b);
    const requests = [...this.requests].sort((a, b) => a - b);
    const requestsUntil = (end: number) => countBetween(requests, end - span, end);
    const excesses = repetitions.map((end) => {
      const owed = Math.max(requestsUntil(end), requestsUntil(end - span / 2), requestsUntil(end - span));
      return countBetween(repetitions, end - span, end) - (share * owed + slack);
    });
    return Math.max(Number.NEGATIVE_INFINITY, ...excesses);
  }

  #known(entry: number): EntriesKnown {
    const isCut = this.#views[entry] === 'cutFromStart';
    if (!isCut) return { known: this.size, hasHeardMostSeeds: true };
    return { known: Math.min(this.size, SEEDS + 1), hasHeardMostSeeds: this.size === 1 };
  }
}

/** How many of the ascending `times` lie after `start` and no later than `end`. */
function countBetween(times: readonly number[], start: number, end: number): number {
  return countUntil(times, end) - countUntil(times, start);
}

function countUntil(times: readonly number[], end: number): number {
  let low = 0;
  let high = times.length;
  while (low < high) {
    const middle = (low + high) >> 1;
    if (times[middle] <= end) low = middle + 1;
    else high = middle;
  }
  return low;
}
