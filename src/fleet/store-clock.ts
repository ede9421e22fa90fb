/**
 * An estimate of the store's monotonic clock. Times that several processes reason about are kept in store time: an age sent
 * in a message becomes wrong while the message waits for a receiver that is suspended.
 */

/** Length of an estimation window, in milliseconds; clocks that drift by 50 ppm diverge by 30 ms in it. */
const ESTIMATION_WINDOW = 600_000;
/**
 * Once a response of the store has bounded the network delay, a store time is estimated at most this much later than it was,
 * in milliseconds. Work that must not start after a deadline is withdrawn 250 ms before it; the remaining time covers the
 * timer tick that notices the deadline (50 ms) and the delay of closing.
 */
export const CLOCK_TOLERANCE = 100;

/** Converts between the store's clock and this process's `performance.now()`. Times are in milliseconds. */
export class StoreClock {
  /** Upper bounds of the offset, local time minus store time, from the current and the previous window. */
  #upperBound = Number.POSITIVE_INFINITY;
  #previousUpperBound = Number.POSITIVE_INFINITY;
  /** Lower bounds of the offset, from the calls of the current and the previous window. */
  #lowerBound = Number.NEGATIVE_INFINITY;
  #previousLowerBound = Number.NEGATIVE_INFINITY;
  #windowEndsAt = Number.NEGATIVE_INFINITY;

  /**
   * Adds a sample: the store's clock read `storeTime` at or before `receivedAt`. Message delay can only increase the apparent
   * offset, so the smallest one is the closest.
   * @param requestedAt - if the sample is a response to a call, when the call was made; the store read its clock no earlier
   */
  addSample(storeTime: number, receivedAt: number, requestedAt = Number.NEGATIVE_INFINITY): void {
    if (!Number.isFinite(storeTime)) return;
    if (receivedAt >= this.#windowEndsAt) {
      this.#previousUpperBound = this.#upperBound;
      this.#upperBound = Number.POSITIVE_INFINITY;
      this.#previousLowerBound = this.#lowerBound;
      this.#lowerBound = Number.NEGATIVE_INFINITY;
      this.#windowEndsAt = receivedAt + ESTIMATION_WINDOW;
    }
    this.#upperBound = Math.min(this.#upperBound, receivedAt - storeTime);
    this.#lowerBound = Math.max(this.#lowerBound, requestedAt - storeTime);
  }

  /** False until the first sample. */
  get isKnown(): boolean {
    return Number.isFinite(this.#offset);
  }

  /** The store's time at `localTime`, behind by the shortest message delay; minus infinity if it is not known. */
  storeTimeAt(localTime: number): number {
    return localTime - this.#offset;
  }

  /**
   * This process's time at `storeTime`, late by the shortest message delay, and by at most `CLOCK_TOLERANCE` once a call has
   * bounded the offset. Without this limit, a process that starts while all its links are slow would treat deadlines that have
   * passed as still ahead. Minus infinity if the store's time is not known.
   */
  localTimeAt(storeTime: number): number {
    if (!this.isKnown) return Number.NEGATIVE_INFINITY;
    const lowerBound = Math.max(this.#lowerBound, this.#previousLowerBound);
    const latest = Number.isFinite(lowerBound) ? lowerBound + CLOCK_TOLERANCE : Number.POSITIVE_INFINITY;
    return storeTime + Math.min(this.#offset, latest);
  }

  get #offset(): number {
    return Math.min(this.#upperBound, this.#previousUpperBound);
  }
}
