/**
 * The store's steady clock as this process sees it. Times that several processes reason about are kept in the store's
 * time: an age that is told in a message grows wrong while the message waits for a receiver that stands still.
 */

/** A window of estimates, in milliseconds: clocks that drift by 50 parts in a million part by 30 ms in it. */
const WINDOW = 600_000;

/** Converts between the store's clock and this process's `performance.now()`. Times are in milliseconds. */
export class StoreClock {
  /** Least difference seen of the receiver's time to the store's, of this window and of the one before. */
  #difference = Number.POSITIVE_INFINITY;
  #differenceBefore = Number.POSITIVE_INFINITY;
  #windowEndsAt = Number.NEGATIVE_INFINITY;

  /**
   * Notes that the store's clock stood at `storeTime` at or before `receivedAt`. The way of a message only makes the
   * difference look larger, so the least one is the closest.
   */
  note(storeTime: number, receivedAt: number): void {
    if (!Number.isFinite(storeTime)) return;
    if (receivedAt >= this.#windowEndsAt) {
      this.#differenceBefore = this.#difference;
      this.#difference = Number.POSITIVE_INFINITY;
      this.#windowEndsAt = receivedAt + WINDOW;
    }
    this.#difference = Math.min(this.#difference, receivedAt - storeTime);
  }

  /** False before anybody has told the store's time. */
  get isKnown(): boolean {
    return Number.isFinite(this.#offset);
  }

  /** The store's time at `localTime`, late by the shortest way of a message; minus infinity where it is not known. */
  storeTimeAt(localTime: number): number {
    return localTime - this.#offset;
  }

  /** This process's time at `storeTime`, late by the shortest way of a message; minus infinity where it is not known. */
  localTimeAt(storeTime: number): number {
    return this.isKnown ? storeTime + this.#offset : Number.NEGATIVE_INFINITY;
  }

  get #offset(): number {
    return Math.min(this.#difference, this.#differenceBefore);
  }
}
