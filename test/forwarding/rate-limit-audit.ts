/** Checks the requests that a back end receives against its rate limit. Times are in milliseconds. */

/** Length of the sliding window in which arrivals are counted. */
const WINDOW = 4_000;
/** Arrivals allowed in a window in addition to those of the tolerated rate. */
const SLACK = 5;
/** Tolerated rate as a multiple of the limit. */
const TOLERANCE = 1.5;

/** Maximum number of arrivals in any window of `length`; `times` need not be sorted. */
export function mostInWindow(times: readonly number[], length = WINDOW): number {
  const sorted = [...times].sort((one, other) => one - other);
  let first = 0;
  let most = 0;
  for (let last = 0; last < sorted.length; last++) {
    while (sorted[last] - sorted[first] > length) first++;
    most = Math.max(most, last - first + 1);
  }
  return most;
}

/** Maximum number of arrivals in a window that is accepted for a limit of `rate` requests per second. */
export function allowedInWindow(rate: number): number {
  return (TOLERANCE * rate * WINDOW) / 1_000 + SLACK;
}
