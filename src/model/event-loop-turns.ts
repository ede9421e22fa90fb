/**
 * Remembers when the event loop last handled what had arrived. A process that gets no processor notices signals and messages late;
 * whatever it handles may have been sent at any time since then.
 */

/** Interval at which the time is noted, in milliseconds. A signal may be dated that much too early. */
const NOTE_INTERVAL = 100;

export class EventLoopTurns {
  #handledUntil = performance.now();

  constructor() {
    setInterval(() => this.#note(), NOTE_INTERVAL).unref();
  }

  /** All signals that arrived before this time have been handled, in milliseconds of the monotonic clock. */
  get handledUntil(): number {
    return this.#handledUntil;
  }

  /** The event loop handles signals between timers and immediates. */
  #note(): void {
    const now = performance.now();
    setImmediate(() => {
      this.#handledUntil = now;
    });
  }
}
