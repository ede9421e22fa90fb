/**
 * How many repetitions an entry may make: a share of what it routes, and a few besides, so that back ends which
 * fail get no storm on top.
 */

/** Repetitions earned by each request. */
const EARNED_BY_REQUEST = 0.1;
/** Most repetitions that can be saved up. */
const SAVED_AT_MOST = 20;

/** The budget of one entry. */
export class RetryBudget {
  #saved = SAVED_AT_MOST;

  /** A request was routed. */
  earn(): void {
    this.#saved = Math.min(SAVED_AT_MOST, this.#saved + EARNED_BY_REQUEST);
  }

  /** Takes one repetition, if there is one. */
  spend(): boolean {
    if (this.#saved < 1) return false;
    this.#saved--;
    return true;
  }
}
