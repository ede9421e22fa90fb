/**
 * Hybrid logical clock: stamps follow the machine's clock, and a stamp created after a message was received is greater than the
 * message's stamp. Stamps order events of all processes causally; they are no proof of when an event happened.
 */

/** Resolution of stamps: a stamp is the time in milliseconds times this, plus a counter. */
const STAMPS_PER_MILLISECOND = 1_000;

/** A point in the causal order of events. */
export type Stamp = number;

/** The clock of one process. */
export class HybridClock {
  #last: Stamp = 0;
  readonly #wallClock: () => number;

  constructor(wallClock: () => number = Date.now) {
    this.#wallClock = wallClock;
  }

  /** Returns a stamp greater than all previous ones. */
  next(): Stamp {
    this.#last = Math.max(this.#last + 1, this.#wallClock() * STAMPS_PER_MILLISECOND);
    return this.#last;
  }

  /** Merges the stamp of a received message. */
  observe(stamp: Stamp): void {
    if (stamp > this.#last) this.#last = stamp;
  }
}

/** The approximate wall-clock time of a stamp, in milliseconds since the Unix epoch. */
export function stampTime(stamp: Stamp): number {
  return Math.floor(stamp / STAMPS_PER_MILLISECOND);
}
