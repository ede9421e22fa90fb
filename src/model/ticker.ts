/**
 * One timer for many that want to be called at the same interval: each timer of its own would wake an idle process at
 * a time of its own, and a wake-up costs more than what is done in it.
 *
 * ```ts
 * const heartbeats = new Ticker(1_000);
 * const stop = heartbeats.add(() => beat());
 * ```
 */
export class Ticker {
  readonly #interval: number;
  readonly #callbacks = new Set<() => void>();
  #timer: NodeJS.Timeout | undefined;

  /** Calls everyone every `interval` milliseconds, as long as there is anyone. */
  constructor(interval: number) {
    this.#interval = interval;
  }

  /** Calls `callback` from now on; returns the end of it. The first call may come early. */
  add(callback: () => void): () => void {
    this.#callbacks.add(callback);
    this.#timer ??= setInterval(() => this.#tick(), this.#interval);
    return () => this.#remove(callback);
  }

  #tick(): void {
    for (const callback of [...this.#callbacks]) callback();
  }

  #remove(callback: () => void): void {
    this.#callbacks.delete(callback);
    if (this.#callbacks.size > 0) return;
    clearInterval(this.#timer);
    this.#timer = undefined;
  }
}
