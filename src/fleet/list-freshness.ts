/**
 * How current the list of back ends is: the store's time as of which it is complete, and which process has read it. A message that
 * merely arrives says nothing about that, as it may have waited for any time.
 */
import type { StoreClock } from './store-clock.js';

/**
 * Highest age of a list that is current, in milliseconds: what another entry of the zone forwards is usually younger (`StoreReaders`).
 */
const MAX_AGE = 1_100;

/** Source of what this process has read from the store itself. */
export const FROM_STORE = 'store';

/** Times are in milliseconds, of the store's clock or of the monotonic clock of this process. */
export class ListFreshness {
  readonly #clock: StoreClock;
  #completeAsOf = Number.NEGATIVE_INFINITY;
  #source = FROM_STORE;
  #longestAgeAtSend = 0;

  constructor(clock: StoreClock) {
    this.#clock = clock;
  }

  /** The list is complete as of this time of the store; minus infinity before the first read. */
  get completeAsOf(): number {
    return this.#completeAsOf;
  }

  /** `store`, or the process that has read the latest changes from it. */
  get source(): string {
    return this.#source;
  }

  /** The largest age of the list at which a request was sent. */
  get longestAgeAtSend(): number {
    return this.#longestAgeAtSend;
  }

  /** Records that the list is complete as of `storeTime`. */
  noteComplete(storeTime: number, source: string): void {
    if (storeTime <= this.#completeAsOf) return;
    this.#completeAsOf = storeTime;
    this.#source = source;
  }

  /** Time of the store that has passed since the list was complete; infinite before the first read. */
  age(now: number): number {
    if (!this.#clock.isKnown) return Number.POSITIVE_INFINITY;
    return Math.max(0, this.#clock.storeTimeAt(now) - this.#completeAsOf);
  }

  /** Since when the list has not been current, in milliseconds of the monotonic clock; undefined if it is. */
  outdatedSince(now: number): number | undefined {
    const excess = this.age(now) - MAX_AGE;
    return excess > 0 ? now - excess : undefined;
  }

  /** Records that a request is sent; returns the age of the list, by which that was decided. */
  noteSend(now: number): number {
    const age = this.age(now);
    if (Number.isFinite(age)) this.#longestAgeAtSend = Math.max(this.#longestAgeAtSend, age);
    return age;
  }
}
