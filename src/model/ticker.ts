/**
 * A timer shared by callbacks with the same interval. With separate timers an idle process would wake up once for each of them,
 * and a wake-up costs more than the work done in it.
 *
 * ```ts
 * const heartbeats = new Ticker(1_000);
 * const stop = heartbeats.add(() => beat());
 * ```
 *
 * Late ticks reveal that this process was stalled.
 */
import { StallDetector } from './stall-detector.js';

/** The shared timer. */
export class Ticker {
  readonly #interval: number;
  readonly #callbacks = new Set<() => void>();
  readonly #stallDetector: StallDetector;
  #timer: NodeJS.Timeout | undefined;

  /** Calls all callbacks every `interval` milliseconds; the timer runs only while there are any. */
  constructor(interval: number) {
    this.#interval = interval;
    this.#stallDetector = new StallDetector(interval, performance.now());
  }

  /** Adds a callback; returns a function that removes it. The first call may come before a full interval. */
  add(callback: () => void): () => void {
    this.#callbacks.add(callback);
    if (this.#timer === undefined) this.#begin();
    return () => this.#remove(callback);
  }

  /** Time since `since` in which this process was running, in milliseconds; known only while there are callbacks. */
  runningTime(since: number, now: number): number {
    return this.#stallDetector.runningTime(since, now);
  }

  #begin(): void {
    this.#stallDetector.reset(performance.now());
    this.#timer = setInterval(() => this.#tick(), this.#interval);
  }

  #tick(): void {
    this.#stallDetector.tick(performance.now());
    for (const callback of [...this.#callbacks]) callback();
  }

  #remove(callback: () => void): void {
    this.#callbacks.delete(callback);
    if (this.#callbacks.size > 0) return;
    clearInterval(this.#timer);
    this.#timer = undefined;
  }
}
