/** Concurrent calls, as many as it takes to end in time. */

/** Runs `work` for each item; `limit` tells how many may run at the same time and is asked again after each. */
export async function forEachConcurrently<T>(
  items: readonly T[],
  limit: () => number,
  work: (item: T) => Promise<void>,
): Promise<void> {
  const rest = [...items];
  const running = new Set<Promise<void>>();
  while (rest.length > 0 || running.size > 0) {
    while (rest.length > 0 && running.size < limit()) {
      const one: Promise<void> = work(rest.shift()!).finally(() => running.delete(one));
      running.add(one);
    }
    await Promise.race(running);
  }
}

/**
 * Bounds of the number of concurrent calls. A quick server needs few. The upper bound leaves connections to other calls to it:
 * a pool has 32.
 */
const MIN_CALLS = 4;
const MAX_CALLS = 24;
/** Time in which a series of calls is to end, in milliseconds: a fraction of the time for which a check may be acted on. */
const SERIES_TIME = 500;
/** Weight of the latest call in the mean duration. */
const LATEST_WEIGHT = 0.2;

/** The mean duration of recent calls of one kind, and how many of them to make concurrently. */
export class CallTime {
  /** In milliseconds; undefined before the first. */
  #mean: number | undefined;

  note(duration: number): void {
    const mean = this.#mean ?? duration;
    this.#mean = mean + LATEST_WEIGHT * (duration - mean);
  }

  /** Number of concurrent calls with which `count` calls end in {@link SERIES_TIME}, within bounds. */
  concurrency(count: number): number {
    const needed = Math.ceil((count * (this.#mean ?? 0)) / SERIES_TIME);
    return Math.min(MAX_CALLS, Math.max(MIN_CALLS, needed));
  }
}
