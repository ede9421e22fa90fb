/**
 * Whether the time at which back ends are expected to serve again can be relied on, for those that would wait for it.
 *
 * The load that this answers: an outage of which the end is put off. After a loss of power the expected end holds, to some
 * tenths of a second; where a version cannot be drawn, each new estimate is as far ahead as the one before, and requests that
 * wait for it are held until their callers leave. Times are in milliseconds of the steady clock.
 */

/** An end that is put off by more than this is not waited for: after a loss of power it moved by 0.7 s at the most (measured). */
const MOST_PUT_OFF = 1_000;
/** Without a question for this long the outage was over: requests come several times a second. */
const OVER_AFTER = 1_000;

/** What is expected of one service while it is out. */
export class CapacityForecast {
  /** The earliest end that was expected since the outage began. */
  #earliest = Number.POSITIVE_INFINITY;
  #notedAt = Number.NEGATIVE_INFINITY;

  /** At `now` back ends are expected to serve from `expectedAt` on; returns whether that can be relied on. */
  note(expectedAt: number, now: number): boolean {
    if (now - this.#notedAt > OVER_AFTER) this.#earliest = Number.POSITIVE_INFINITY;
    this.#notedAt = now;
    this.#earliest = Math.min(this.#earliest, expectedAt);
    return expectedAt - this.#earliest <= MOST_PUT_OFF;
  }
}
