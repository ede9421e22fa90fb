/**
 * How long a try to reach an entry may take, and when it is made again. A machine without power answers nothing, and what
 * was sent to it before it came back is sent again only after a second: a short try that is made anew finds it sooner.
 * Later tries are longer and rarer, for entries that are slow and machines that stay away. Times are in milliseconds.
 */

/** Limit of the first try: a busy entry has answered within 0.1 s wherever that was measured. */
const INITIAL_TIMEOUT = 250;
const MAX_TIMEOUT = 700;
/** Pause after the first failed try. */
const INITIAL_PAUSE = 100;
/** Each failed try makes the next limit and pause longer by this factor. */
const GROWTH_FACTOR = 1.5;

/** The tries of one address, or of one round over several. */
export class DialBackoff {
  readonly #maxPause: number;
  #failures = 0;

  /** @param maxPause - between two tries, in milliseconds */
  constructor(maxPause: number) {
    this.#maxPause = maxPause;
  }

  /** Time that the next try may take; a whole number, as abort signals take no other. */
  get timeout(): number {
    return Math.round(Math.min(MAX_TIMEOUT, INITIAL_TIMEOUT * GROWTH_FACTOR ** this.#failures));
  }

  /** A try has failed; returns the pause before the next. */
  noteFailure(): number {
    const pause = Math.min(this.#maxPause, INITIAL_PAUSE * GROWTH_FACTOR ** this.#failures);
    this.#failures++;
    return pause;
  }

  /** A try was answered. */
  noteSuccess(): void {
    this.#failures = 0;
  }
}
