/**
 * Decides whether the estimated end of an outage is reliable enough for requests to wait for it.
 *
 * It handles outages whose estimated end keeps moving. After a power loss, the estimate is accurate to a few tenths of a
 * second. If a version cannot be fetched from the origin, however, each new estimate is as far ahead as the one before,
 * and requests that wait for it would be held until their callers leave. Times are in milliseconds of the monotonic
 * clock.
 */

/** An estimate that has moved by more than this is unreliable. After a power loss it moves by 0.7 s at most. */
const MAX_POSTPONEMENT = 1_000;
/** If no estimate was queried for this long, the outage is over: requests arrive several times per second. */
const OUTAGE_OVER_AFTER = 1_000;

/** Tracks the estimated end of an outage of one service. */
export class CapacityForecast {
  /** The earliest end estimated since the outage began. */
  #earliest = Number.POSITIVE_INFINITY;
  #notedAt = Number.NEGATIVE_INFINITY;

  /** Records that, as of `now`, back ends are expected to serve from `expectedAt`; returns whether this is reliable. */
  note(expectedAt: number, now: number): boolean {
    if (now - this.#notedAt > OUTAGE_OVER_AFTER) this.#earliest = Number.POSITIVE_INFINITY;
    this.#notedAt = now;
    this.#earliest = Math.min(this.#earliest, expectedAt);
    return expectedAt - this.#earliest <= MAX_POSTPONEMENT;
  }
}
