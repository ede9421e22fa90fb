/**
 * Paces bytes to a rate: each taker waits for its turn and for its bytes' time on the link. Used for the
 * chunk traffic of an agent and for the links of the stand-ins.
 */

/** Time that may be caught up after a late timer, in milliseconds. */
const CATCH_UP = 50;

/** A link of a fixed rate. */
export class Pacer {
  readonly #bytesPerMillisecond: number;
  readonly #clock: () => number;
  #freeAt = 0;

  constructor(bytesPerSecond: number, clock: () => number = () => performance.now()) {
    this.#bytesPerMillisecond = bytesPerSecond / 1_000;
    this.#clock = clock;
  }

  /** Returns when `bytes` have passed, one taker after another. Aborting does not give the time back. */
  async take(bytes: number, signal: AbortSignal): Promise<void> {
    const wait = this.reserve(bytes);
    if (wait <= 0) return;
    await new Promise<void>((resolve) => {
      const end = () => {
        clearTimeout(timer);
        signal.removeEventListener('abort', end);
        resolve();
      };
      const timer = setTimeout(end, wait);
      signal.addEventListener('abort', end);
    });
  }

  /** Reserves the time for `bytes`; returns the milliseconds until they have passed. */
  reserve(bytes: number): number {
    const now = this.#clock();
    this.#freeAt = Math.max(this.#freeAt, now - CATCH_UP) + bytes / this.#bytesPerMillisecond;
    return this.#freeAt - now;
  }
}
