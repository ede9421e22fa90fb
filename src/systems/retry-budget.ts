/**
 * How many repetitions an entry may make: a share of what it routes, and a few besides, so that back ends which
 * fail get no storm on top.
 */

/** What a budget allows. */
export interface RetryBudgetLimits {
  /** Repetitions earned by each request. */
  earnedByRequest: number;
  /** Most repetitions that can be saved up. */
  savedAtMost: number;
}

const DEFAULT_LIMITS: RetryBudgetLimits = { earnedByRequest: 0.1, savedAtMost: 20 };

/** The budget of one entry. */
export class RetryBudget {
  readonly #limits: RetryBudgetLimits;
  #saved: number;

  constructor(limits: RetryBudgetLimits = DEFAULT_LIMITS) {
    this.#limits = limits;
    this.#saved = limits.savedAtMost;
  }

  /** A request was routed. */
  earn(): void {
    this.#saved = Math.min(this.#limits.savedAtMost, this.#saved + this.#limits.earnedByRequest);
  }

  /** Takes one repetition, if there is one. */
  spend(): boolean {
    if (this.#saved < 1) return false;
    this.#saved--;
    return true;
  }
}
