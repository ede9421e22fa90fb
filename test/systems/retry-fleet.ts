/**
 * Simulates many entries that share the retry limit of one service in virtual time, and measures the retries that arrive
 * there. Times are in milliseconds.
 */
import { seededRandom } from '../../src/model/random.js';
import {
  createEntryRetryWindow,
  type EntriesKnown,
  type SharedRetryLimits,
} from '../../src/systems/entry-retry-window.js';

/** The retry budget of one entry; any implementation can be simulated. */
export interface EntryBudget {
  earn(now: number): void;
  spend(now: number): boolean;
}

/** Which other entries a started entry is in contact with. */
export type View =
  /** All of them. */
  | 'all'
  /** None since its start; it knows only the seeds. */
  | 'cutFromStart'
  /** None any more, but all of them earlier. */
  | 'cutLater';

/** Longest time from sending by a caller to being counted at the entry, and from the grant of a retry to its arrival. */
export const REQUEST_LAG = 400;
export const REPETITION_LAG = 450;
const SEEDS = 3;

/** The simulated entries and the requests and retries they made. */
export class RetryFleet {
  readonly limits: SharedRetryLimits;
  readonly requests: number[] = [];
  readonly repetitions: number[] = [];
  readonly #create: (entry: number, now: number) => EntryBudget;
  readonly #budgets: EntryBudget[] = [];
  readonly #views: View[];
  readonly #random;

  /** @param create - creates the budget of an entry that starts; by default the production one */
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

  /** Replaces the entry's process by a new one without its state. */
  restart(entry: number, now: number, view: View = 'all'): void {
    this.#views[entry] = view;
    this.#budgets[entry] = this.#create(entry, now);
  }

  /** Disconnects a running entry from the others, or connects it again. */
  setPartitioned(entry: number, isCut: boolean): void {
    const view = this.#views[entry];
    if (view !== 'cutFromStart') this.#views[entry] = isCut ? 'cutLater' : 'all';
  }

  /** A caller's request arrives at the entry at `now`; it was sent up to `REQUEST_LAG` earlier. */
  request(entry: number, now: number): void {
    this.requests.push(now - this.#random.below(REQUEST_LAG + 1));
    this.#budgets[entry].earn(now);
  }

  /** The entry makes up to `wanted` retries, as far as its budget permits; they arrive up to `REPETITION_LAG` later. */
  repeat(entry: number, wanted: number, now: number): void {
    for (let index = 0; index < wanted; index++) {
      if (!this.#budgets[entry].spend(now)) return;
      this.repetitions.push(now + this.#random.below(REPETITION_LAG + 1));
    }
  }

  /**
   * The largest excess of the retries of any span over the limit. The limit is the slack plus the share of the requests of
   * that span, the span before it or the one half a span before, whichever has the most. Not positive if the limit holds.
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
    if (!isCut) return { known: this.size, hasSeedMajority: true };
    return { known: Math.min(this.size, SEEDS + 1), hasSeedMajority: this.size === 1 };
  }
}

/** Number of the sorted `times` that are after `start` and not after `end`. */
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
