/**
 * The store's steady clock as this process sees it. Times that several processes reason about are kept in the store's
 * time: an age that is told in a message grows wrong while the message waits for a receiver that stands still.
 */

/** A window of estimates, in milliseconds: clocks that drift by 50 parts in a million part by 30 ms in it. */
const WINDOW = 600_000;
/**
 * A time of the store is believed to be later than it was by this at the most, in milliseconds, once a call has told how long
 * its answer can have been under way. What must not begin after a bound is taken back 250 ms before it: the rest of that is for
 * the tick in which it is noticed (50 ms) and for the way of the close.
 */
export const CLOCK_TOLERANCE = 100;

/** Converts between the store's clock and this process's `performance.now()`. Times are in milliseconds. */
export class StoreClock {
  /** Least difference seen of the receiver's time to the store's, of this window and of the one before. */
  #difference = Number.POSITIVE_INFINITY;
  #differenceBefore = Number.POSITIVE_INFINITY;
  /** The difference is no less than this, by the calls of this window and of the one before. */
  #least = Number.NEGATIVE_INFINITY;
  #leastBefore = Number.NEGATIVE_INFINITY;
  #windowEndsAt = Number.NEGATIVE_INFINITY;

  /**
   * Notes that the store's clock stood at `storeTime` at or before `receivedAt`. The way of a message only makes the
   * difference look larger, so the least one is the closest.
   * @param askedAt - where the store told it in answer to a call: when that was made, which the store's time is not before
   */
  note(storeTime: number, receivedAt: number, askedAt = Number.NEGATIVE_INFINITY): void {
    if (!Number.isFinite(storeTime)) return;
    if (receivedAt >= this.#windowEndsAt) {
      this.#differenceBefore = this.#difference;
      this.#difference = Number.POSITIVE_INFINITY;
      this.#leastBefore = this.#least;
      this.#least = Number.NEGATIVE_INFINITY;
      this.#windowEndsAt = receivedAt + WINDOW;
    }
    this.#difference = Math.min(this.#difference, receivedAt - storeTime);
    this.#least = Math.max(this.#least, askedAt - storeTime);
  }

  /** False before anybody has told the store's time. */
  get isKnown(): boolean {
    return Number.isFinite(this.#offset);
  }

  /** The store's time at `localTime`, late by the shortest way of a message; minus infinity where it is not known. */
  storeTimeAt(localTime: number): number {
    return localTime - this.#offset;
  }

  /**
   * This process's time at `storeTime`, late by the shortest way of a message, but by `CLOCK_TOLERANCE` at the most where a call
   * tells: a process that starts while all its links are slow would otherwise believe in bounds that have passed. Minus
   * infinity where the store's time is not known.
   */
  localTimeAt(storeTime: number): number {
    if (!this.isKnown) return Number.NEGATIVE_INFINITY;
    const least = Math.max(this.#least, this.#leastBefore);
    const latest = Number.isFinite(least) ? least + CLOCK_TOLERANCE : Number.POSITIVE_INFINITY;
    return storeTime + Math.min(this.#offset, latest);
  }

  get #offset(): number {
    return Math.min(this.#difference, this.#differenceBefore);
  }
}
