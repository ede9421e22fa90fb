/**
 * Limits a byte stream to a rate: each caller waits for the callers before it and for the transfer time of its own bytes. Used
 * for the chunk traffic of agents and for emulated links.
 */

/** Unused link time that may be made up for after a late timer, in milliseconds. */
const MAX_CATCH_UP = 50;

/** A link with a fixed rate. */
export class Pacer {
  readonly #bytesPerMillisecond: number;
  readonly #clock: () => number;
  #freeAt = 0;

  constructor(bytesPerSecond: number, clock: () => number = () => performance.now()) {
    this.#bytesPerMillisecond = bytesPerSecond / 1_000;
    this.#clock = clock;
  }

  /** Resolves when `bytes` have been transferred; callers are served in order. Aborting does not return the reserved time. */
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

  /** Reserves transfer time for `bytes`; returns the milliseconds until they have been transferred. */
  reserve(bytes: number): number {
    const now = this.#clock();
    this.#freeAt = Math.max(this.#freeAt, now - MAX_CATCH_UP) + bytes / this.#bytesPerMillisecond;
    return this.#freeAt - now;
  }
}
