/**
 * Retry budget of an entry: a share of the requests it routes plus a small reserve, so that retries do not overload back
 * ends that are failing.
 */

/** Limits of a retry budget. */
export interface RetryBudgetLimits {
  /** Retries earned by each request. */
  earnedPerRequest: number;
  /** Maximum number of retries that can be saved up. */
  maxSaved: number;
}

const DEFAULT_LIMITS: RetryBudgetLimits = { earnedPerRequest: 0.1, maxSaved: 20 };

/** The budget of one entry. */
export class RetryBudget {
  readonly #limits: RetryBudgetLimits;
  #saved: number;

  constructor(limits: RetryBudgetLimits = DEFAULT_LIMITS) {
    this.#limits = limits;
    this.#saved = limits.maxSaved;
  }

  /** Records a routed request. */
  earn(): void {
    this.#saved = Math.min(this.#limits.maxSaved, this.#saved + this.#limits.earnedPerRequest);
  }

  /** Takes one retry from the budget; false if none is left. */
  spend(): boolean {
    if (this.#saved < 1) return false;
    this.#saved--;
    return true;
  }
}
