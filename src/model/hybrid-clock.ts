/**
 * A hybrid logical clock: stamps follow the machine's clock, and a stamp made after a message came is always
 * greater than the message's. It orders events of all processes by cause; it proves nothing about time.
 */

/** Stamps a millisecond; a stamp is the time in milliseconds times this, plus a counter. */
const STAMPS_PER_MILLISECOND = 1_000;

/** A point in the causal order. */
export type Stamp = number;

/** The clock of one process. */
export class HybridClock {
  #last: Stamp = 0;
  readonly #wallClock: () => number;

  constructor(wallClock: () => number = Date.now) {
    this.#wallClock = wallClock;
  }

  /** A stamp greater than all before it. */
  next(): Stamp {
    this.#last = Math.max(this.#last + 1, this.#wallClock() * STAMPS_PER_MILLISECOND);
    return this.#last;
  }

  /** Takes in the stamp of a message from another process. */
  observe(stamp: Stamp): void {
    if (stamp > this.#last) this.#last = stamp;
  }
}

/** The wall-clock time that a stamp was near, in milliseconds since 1970. */
export function stampTime(stamp: Stamp): number {
  return Math.floor(stamp / STAMPS_PER_MILLISECOND);
}
