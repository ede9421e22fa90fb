/**
 * Rate limiter that uses the generic cell rate algorithm: permits become due one interval apart, and idle time saves up at
 * most one. Any time span therefore has at most two permits more than its length allows. Times are in milliseconds of the
 * caller's clock.
 */

/**
 * Lower bound of the rate, in requests per second. Only an answer can show that a limit has been lifted, so even a back end
 * with a limit of 0 is sent a request from time to time.
 */
const MIN_RATE = 0.2;
const MILLISECONDS = 1_000;
/** Burst tolerance: intervals of idle time whose permits are saved up. */
const BURST_INTERVALS = 1;

/** Time between two permits at `rate` requests per second. */
export function permitInterval(rate: number): number {
  return MILLISECONDS / Math.max(MIN_RATE, rate);
}

/**
 * When the permit after one acquired at `now` is due; undefined if the permit due at `dueAt` is not available yet.
 * @param burstIntervals - intervals of idle time whose permits are saved up
 */
export function nextPermitAt(
  dueAt: number,
  interval: number,
  now: number,
  burstIntervals: number,
): number | undefined {
  if (now < dueAt) return undefined;
  return Math.max(dueAt, now - burstIntervals * interval) + interval;
}

/** Limits the rate of requests from one process to one back end. */
export class RateLimiter {
  #interval: number;
  /** When the next permit is due. */
  #dueAt: number;

  /** Starts without a permit, because requests sent before the limit was known also count towards it. */
  constructor(rate: number, now: number) {
    this.#interval = permitInterval(rate);
    this.#dueAt = now + this.#interval;
  }

  /** When the permit after `permitsAhead` others is due. After idle time, it may become available later than that. */
  dueAt(permitsAhead = 0): number {
    return this.#dueAt + permitsAhead * this.#interval;
  }

  /** Changes the rate. The next permit is due at most one interval of the new rate from now. */
  setRate(rate: number, now: number): void {
    const interval = permitInterval(rate);
    // A lower rate also lengthens the current interval.
    const lengthened = this.#dueAt + Math.max(0, interval - this.#interval);
    this.#interval = interval;
    this.#dueAt = Math.min(lengthened, now + interval);
  }

  /** Acquires a permit; false if none is available. */
  tryAcquire(now: number): boolean {
    const next = nextPermitAt(this.#dueAt, this.#interval, now, BURST_INTERVALS);
    if (next !== undefined) this.#dueAt = next;
    return next !== undefined;
  }

  /** Returns a permit that was acquired but not used. */
  returnPermit(): void {
    this.#dueAt -= this.#interval;
  }
}
