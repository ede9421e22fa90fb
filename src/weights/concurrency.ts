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

/** Number of concurrent reads. A fast stage needs few; more of a slow one do not hold up the engine's requests for longer. */
const MIN_READS = 4;
const MAX_READS = 32;
/** Time in which all pieces are to be read, in milliseconds: a fraction of the time for which a check may be acted on. */
const PASS_TIME = 500;
/** Weight of the latest read in the mean duration. */
const LATEST_WEIGHT = 0.2;

/** The mean duration of recent reads, and how many of them to make concurrently. */
export class ReadTime {
  /** In milliseconds; undefined before the first. */
  #mean: number | undefined;

  note(duration: number): void {
    const mean = this.#mean ?? duration;
    this.#mean = mean + LATEST_WEIGHT * (duration - mean);
  }

  /** Number of concurrent reads with which `count` reads end in {@link PASS_TIME}, within bounds. */
  concurrency(count: number): number {
    const needed = Math.ceil((count * (this.#mean ?? 0)) / PASS_TIME);
    return Math.min(MAX_READS, Math.max(MIN_READS, needed));
  }
}
