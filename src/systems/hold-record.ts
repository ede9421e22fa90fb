/**
 * Tracks how often holding requests for a free back end has succeeded lately. While back ends stay full, it is better to
 * refuse a caller at once than after a wait; a few requests are still held as probes to detect when this is over.
 */

/** Weight of the newest wait in the moving average: seven in a row with the same result change the decision. */
const OUTCOME_WEIGHT = 0.1;
/** Share of waits that must have ended with a send for more requests to be held. */
const MIN_SENT_SHARE = 0.5;
/** Number of requests that may be held at the same time as probes, whatever the share. */
const MAX_PROBES = 2;

/** Share of the first slots after an outage that requests may wait for whose callers could also retry by then. */
const RETURNING_SHARE = 0.5;

/** How a wait ended. */
export type HoldOutcome =
  /** The request was sent to a back end. */
  | 'sent'
  /** The request was not sent to any back end in its time. */
  | 'unserved'
  /** The caller closed its connection. */
  | 'left'
  /** No longer needed, as an open attempt has answered. */
  | 'cancelled';

/** The waits for free back ends of one service. */
export class HoldRecord {
  #held = 0;
  #sentShare = 1;
  #reservedPlaces = 0;

  /** False if the next request must be refused at once. */
  get allowsMore(): boolean {
    return this.#sentShare >= MIN_SENT_SHARE || this.#held < MAX_PROBES;
  }

  /** Records the start of a wait. */
  begin(): void {
    this.#held++;
  }

  /** Records the end of a wait. */
  end(outcome: HoldOutcome): void {
    this.#held--;
    if (outcome === 'left' || outcome === 'cancelled') return;
    const sample = outcome === 'sent' ? 1 : 0;
    this.#sentShare += OUTCOME_WEIGHT * (sample - this.#sentShare);
  }

  /**
   * Reserves a place for a request that waits until back ends serve again; returns false if as many requests wait as this
   * process can expect slots. Requests beyond that would be held, and refused in the end: after a power loss, 816 of credit
   * was held in vain on a site of 42 entries, 150 without such waits.
   * @param slots - slots that become free at once, divided among all entries
   * @param mayReturn - whether the caller also reaches these slots by retrying; a part of the places is kept for callers that
   * do not
   */
  reservePlace(slots: number, mayReturn = false): boolean {
    const places = mayReturn ? RETURNING_SHARE * slots : slots;
    if (this.#reservedPlaces >= Math.max(1, places)) return false;
    this.#reservedPlaces++;
    return true;
  }

  /** Releases a place that `reservePlace` has reserved. */
  releasePlace(): void {
    this.#reservedPlaces--;
  }
}
