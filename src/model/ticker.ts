/**
 * One timer for many that want to be called at the same interval: each timer of its own would wake an idle process at
 * a time of its own, and a wake-up costs more than what is done in it.
 *
 * ```ts
 * const heartbeats = new Ticker(1_000);
 * const stop = heartbeats.add(() => beat());
 * ```
 *
 * Ticks that are late tell when this process stood still.
 */
import { Standstills } from './standstills.js';

/** The timer. */
export class Ticker {
  readonly #interval: number;
  readonly #callbacks = new Set<() => void>();
  readonly #standstills: Standstills;
  #timer: NodeJS.Timeout | undefined;

  /** Calls everyone every `interval` milliseconds, as long as there is anyone. */
  constructor(interval: number) {
    this.#interval = interval;
    this.#standstills = new Standstills(interval, performance.now());
  }

  /** Calls `callback` from now on; returns the end of it. The first call may come early. */
  add(callback: () => void): () => void {
    this.#callbacks.add(callback);
    if (this.#timer === undefined) this.#begin();
    return () => this.#remove(callback);
  }

  /** Time since `since` in which this process ran, in milliseconds; known only while there is anyone to call. */
  runningTime(since: number, now: number): number {
    return this.#standstills.runningTime(since, now);
  }

  #begin(): void {
    this.#standstills.begin(performance.now());
    this.#timer = setInterval(() => this.#tick(), this.#interval);
  }

  #tick(): void {
    this.#standstills.tick(performance.now());
    for (const callback of [...this.#callbacks]) callback();
  }

  #remove(callback: () => void): void {
    this.#callbacks.delete(callback);
    if (this.#callbacks.size > 0) return;
    clearInterval(this.#timer);
    this.#timer = undefined;
  }
}
