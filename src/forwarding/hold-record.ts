/**
 * Whether it has been worth the wait lately to hold requests for a free back end. While back ends stay full, a caller is
 * better refused at once than after a wait; a few requests are held all the same, and tell when that is over.
 */

/** Weight of the newest end of a wait: seven in a row change what is done. */
const END_WEIGHT = 0.1;
/** Share of waits that must have ended at a back end. */
const LEAST_SENT_SHARE = 0.5;
/** Requests that may be held at the same time whatever became of others. */
const MOST_TRIALS = 2;

/** How a wait ended. */
export type HoldEnd =
  /** A back end has taken the request. */
  | 'sent'
  /** None has in its time. */
  | 'inVain'
  /** Its caller left before. */
  | 'left'
  /** No longer needed, as an open attempt has answered. */
  | 'cancelled';

/** The waits for back ends of one service. */
export class HoldRecord {
  #held = 0;
  #sentShare = 1;
  #placesTaken = 0;

  /** False where one more request is to be refused at once. */
  get allowsMore(): boolean {
    return this.#sentShare >= LEAST_SENT_SHARE || this.#held < MOST_TRIALS;
  }

  /** A request waits from now on. */
  begin(): void {
    this.#held++;
  }

  /** A request waits no more. */
  end(how: HoldEnd): void {
    this.#held--;
    if (how === 'left' || how === 'cancelled') return;
    const sample = how === 'sent' ? 1 : 0;
    this.#sentShare += END_WEIGHT * (sample - this.#sentShare);
  }

  /**
   * A request is to wait until back ends serve again; false where as many wait as this process has slots of them to expect.
   * Those beyond would be held, and refused in the end: after a loss of power 816 of credit was held in vain on a site of 42
   * entries, 150 without such waits.
   * @param places - slots that come free at once, divided among all entries
   */
  takePlace(places: number): boolean {
    if (this.#placesTaken >= Math.max(1, places)) return false;
    this.#placesTaken++;
    return true;
  }

  /** A request that had a place waits no more. */
  freePlace(): void {
    this.#placesTaken--;
  }
}
