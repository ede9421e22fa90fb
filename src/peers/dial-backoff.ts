/**
 * Timeouts and pauses of attempts to connect to an entry. A machine without power does not answer, and
 * packets sent to it before it is back are retransmitted only after a second, so a short attempt that is
 * repeated connects sooner. Later attempts are longer and less frequent, for entries that are slow and
 * machines that stay away. Times are in milliseconds.
 */

/** Timeout of the first attempt: a busy entry answers within 0.1 s. */
const INITIAL_TIMEOUT = 250;
const MAX_TIMEOUT = 700;
/** Pause after the first failed attempt. */
const INITIAL_PAUSE = 100;
/** Each failed attempt makes the next timeout and pause longer by this factor. */
const GROWTH_FACTOR = 1.5;

/** Tracks the attempts to connect to one address, or rounds over several addresses. */
export class DialBackoff {
  readonly #maxPause: number;
  #failures = 0;

  /** @param maxPause - longest pause between two attempts, in milliseconds */
  constructor(maxPause: number) {
    this.#maxPause = maxPause;
  }

  /** Timeout of the next attempt; an integer, as abort signals accept no other number. */
  get timeout(): number {
    return Math.round(Math.min(MAX_TIMEOUT, INITIAL_TIMEOUT * GROWTH_FACTOR ** this.#failures));
  }

  /** Records a failed attempt; returns the pause before the next one. */
  noteFailure(): number {
    const pause = Math.min(this.#maxPause, INITIAL_PAUSE * GROWTH_FACTOR ** this.#failures);
    this.#failures++;
    return pause;
  }

  /** Records a successful attempt. */
  noteSuccess(): void {
    this.#failures = 0;
  }
}
