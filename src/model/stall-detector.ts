/**
 * Detects stalls: times in which this process was not scheduled. A process that treats silent peers as failed must not count the
 * time in which it could not have received their messages. After a stall its timers fire before its sockets are read, so all
 * peers would appear to have failed at once.
 *
 * ```ts
 * const stalls = new StallDetector(1_000, performance.now());
 * setInterval(() => {
 *   stalls.tick(performance.now());
 *   if (stalls.runningTime(heardAt, performance.now()) > limit) leave();
 * }, 1_000);
 * ```
 */

/**
 * A tick later than this indicates a stall, in milliseconds. Timers of a busy event loop are late by the length of one turn,
 * some tens of milliseconds.
 */
const MAX_TIMER_LATENESS = 100;
/** Retention time of detected stalls, in milliseconds; longer than any silence that is evaluated. */
const RETENTION_TIME = 60_000;

interface Stall {
  from: number;
  to: number;
}

/** The stalls of this process, detected by ticks at a regular interval. Times are in milliseconds. */
export class StallDetector {
  readonly #interval: number;
  #tickedAt: number;
  #stalls: Stall[] = [];

  /** @param interval - interval of the ticks, in milliseconds */
  constructor(interval: number, now: number) {
    this.#interval = interval;
    this.#tickedAt = now;
  }

  /** Restarts the ticks after a time without them, which does not count as a stall. */
  reset(now: number): void {
    this.#tickedAt = now;
  }

  /** Handles a tick; returns the length of the stall that preceded it, in milliseconds. */
  tick(now: number): number {
    const current = this.#currentStall(now);
    if (current !== undefined) this.#stalls.push(current);
    this.#tickedAt = now;
    if (this.#stalls.length > 0) this.#stalls = this.#stalls.filter(({ to }) => now - to < RETENTION_TIME);
    return current === undefined ? 0 : current.to - current.from;
  }

  /** Time since `since` in which this process was running. */
  runningTime(since: number, now: number): number {
    const current = this.#currentStall(now);
    const all = current === undefined ? this.#stalls : [...this.#stalls, current];
    const stalledTime = all.reduce((sum, { from, to }) => sum + Math.max(0, to - Math.max(from, since)), 0);
    return now - since - stalledTime;
  }

  /** A stall that is in progress: the next tick is overdue. */
  #currentStall(now: number): Stall | undefined {
    const dueAt = this.#tickedAt + this.#interval;
    return now - dueAt > MAX_TIMER_LATENESS ? { from: dueAt, to: now } : undefined;
  }
}
