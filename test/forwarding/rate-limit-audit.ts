/** Counts what a back end gets against the rate limit that it names. Times are in milliseconds. */

/** Length of the windows in which arrivals are counted. */
const WINDOW = 4_000;
/** Arrivals in a window beyond those of the rate, and the share of the rate that is tolerated on top. */
const SLACK = 5;
const TOLERANCE = 1.5;

/** Most arrivals within any window, of `times` in any order. */
export function mostInWindow(times: readonly number[]): number {
  const sorted = [...times].sort((one, other) => one - other);
  let first = 0;
  let most = 0;
  for (let last = 0; last < sorted.length; last++) {
    while (sorted[last] - sorted[first] > WINDOW) first++;
    most = Math.max(most, last - first + 1);
  }
  return most;
}

/** Arrivals in a window that a limit of `rate` requests a second allows. */
export function allowedInWindow(rate: number): number {
  return (TOLERANCE * rate * WINDOW) / 1_000 + SLACK;
}
