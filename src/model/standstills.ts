/**
 * When this process itself got no processor. A process that judges others by their silence must not count the time in
 * which it could not have heard them: after a standstill its timers fire before what waits in its sockets is read, and
 * all others would seem to be dead at once.
 *
 * ```ts
 * const standstills = new Standstills(1_000, performance.now());
 * setInterval(() => {
 *   standstills.tick(performance.now());
 *   if (standstills.runningTime(heardAt, performance.now()) > limit) leave();
 * }, 1_000);
 * ```
 */

/**
 * A tick that is late by more than this tells of a standstill, in milliseconds: timers of a busy event loop are late by
 * the length of one turn, which is some tens of milliseconds.
 */
const USUAL_LATENESS = 100;
/** Standstills are kept for this long, in milliseconds: longer than any silence that is judged here. */
const KEPT_TIME = 60_000;

interface Standstill {
  from: number;
  to: number;
}

/** The standstills of this process, as seen by a tick at a regular interval. Times are in milliseconds. */
export class Standstills {
  readonly #interval: number;
  #tickedAt: number;
  #known: Standstill[] = [];

  /** @param interval - time between two ticks, in milliseconds */
  constructor(interval: number, now: number) {
    this.#interval = interval;
    this.#tickedAt = now;
  }

  /** Ticks begin, after a time without: that time is no standstill. */
  begin(now: number): void {
    this.#tickedAt = now;
  }

  /** The tick that was due has come; returns for how long this process stood still before it, in milliseconds. */
  tick(now: number): number {
    const current = this.#current(now);
    if (current !== undefined) this.#known.push(current);
    this.#tickedAt = now;
    if (this.#known.length > 0) this.#known = this.#known.filter(({ to }) => now - to < KEPT_TIME);
    return current === undefined ? 0 : current.to - current.from;
  }

  /** Time since `since` in which this process ran. */
  runningTime(since: number, now: number): number {
    const current = this.#current(now);
    const all = current === undefined ? this.#known : [...this.#known, current];
    const stoodStill = all.reduce((sum, { from, to }) => sum + Math.max(0, to - Math.max(from, since)), 0);
    return now - since - stoodStill;
  }

  /** The standstill that no tick has told of yet. */
  #current(now: number): Standstill | undefined {
    const dueAt = this.#tickedAt + this.#interval;
    return now - dueAt > USUAL_LATENESS ? { from: dueAt, to: now } : undefined;
  }
}
