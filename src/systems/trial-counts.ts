/** Counts the trials of quarantined contents and prompt parts. Times are in milliseconds of the monotonic clock. */

/** Maximum duration of a trial, in milliseconds: above the time to the first response of an engine under load. */
const TRIAL_TIME = 3_000;

interface Trials {
  count: number;
  /** When the latest trial ends at the latest. */
  endsAt: number;
}

export class TrialCounts {
  readonly #trials = new Map<string, Trials>();

  /** Number of trials made. */
  countOf(key: string): number {
    return this.#trials.get(key)?.count ?? 0;
  }

  /** When the latest trial ends at the latest; minus infinity if none is in progress. */
  endOf(key: string): number {
    return this.#trials.get(key)?.endsAt ?? Number.NEGATIVE_INFINITY;
  }

  /** A trial begins, here or at another entry. */
  begin(key: string, now: number): void {
    this.#trials.set(key, { count: this.countOf(key) + 1, endsAt: now + TRIAL_TIME });
  }

  /** A trial did not reach a back end. */
  withdraw(key: string): void {
    const count = this.countOf(key) - 1;
    if (count >= 0) this.#trials.set(key, { count, endsAt: Number.NEGATIVE_INFINITY });
  }

  /** Raises the number of trials to the number reported by the store or another entry. */
  raise(key: string, count: number): void {
    if (count > this.countOf(key)) this.#trials.set(key, { count, endsAt: Number.NEGATIVE_INFINITY });
  }

  forget(key: string): void {
    this.#trials.delete(key);
  }
}
