/**
 * Estimates how long a request may take, from the longest recent durations of requests of the same kind and size. As the
 * duration depends on the length of the answer, sizes are distinguished by powers of two. Times are in milliseconds.
 */

/** Durations older than one to two periods are dropped, so that back ends are not considered slow for ever. */
const PERIOD = 10_000;
/** A request may take longer than all previous ones by this factor: a maximum of 2.3 s can rise to 3.1 s within 10 s. */
const SAFETY_FACTOR = 1.35;
/** Minimum number of requests for an estimate: after this many, the next is longer than all with a probability of 1/17. */
const MIN_REQUESTS = 16;

/** Durations of the requests of one kind and size within a period. */
interface DurationStats {
  /** Since when such requests have been sent, without a gap of a whole period. */
  since: number;
  count: number;
  longest: number;
}

/** The longest recent durations by kind and size. */
export class LongestDurations {
  #current = new Map<string, DurationStats>();
  #previous = new Map<string, DurationStats>();
  #periodEndsAt = Number.NEGATIVE_INFINITY;
  #largestSize = 0;

  /** Records that a request of `kind` for an answer of `tokens` is sent. */
  noteSent(kind: string, tokens: number, now: number): void {
    this.#seen(kind, tokens, now);
  }

  /** Records that a request in progress has taken `duration` so far. */
  noteAge(kind: string, tokens: number, duration: number, now: number): void {
    const seen = this.#seen(kind, tokens, now);
    seen.longest = Math.max(duration, seen.longest);
  }

  /** Records that a request has ended after `duration`. */
  noteEnded(kind: string, tokens: number, duration: number, now: number): void {
    this.#seen(kind, tokens, now).count++;
    this.noteAge(kind, tokens, duration, now);
  }

  /**
   * How long a request that starts now may take, by the requests of its size and, if these are few, of larger sizes.
   * @param limit - upper bound of all durations. Sizes whose requests have been sent for less time are ignored, as only
   * short requests have ended there yet.
   * @returns undefined if there are too few requests
   */
  expected(kind: string, tokens: number, limit: number, now: number): number | undefined {
    this.#forget(now);
    let count = 0;
    let longest = 0;
    for (let size = sizeOf(tokens); size <= this.#largestSize && count < MIN_REQUESTS; size++) {
      const key = keyOf(kind, size);
      const periods = [this.#current.get(key), this.#previous.get(key)].filter((seen) => seen !== undefined);
      if (periods.length === 0 || now - periods[0].since < limit) continue;
      for (const seen of periods) {
        count += seen.count;
        longest = Math.max(longest, seen.longest);
      }
    }
    return count < MIN_REQUESTS ? undefined : longest * SAFETY_FACTOR;
  }

  #seen(kind: string, tokens: number, now: number): DurationStats {
    this.#forget(now);
    const size = sizeOf(tokens);
    this.#largestSize = Math.max(this.#largestSize, size);
    const key = keyOf(kind, size);
    const known = this.#current.get(key);
    if (known !== undefined) return known;
    const created = { since: this.#previous.get(key)?.since ?? now, count: 0, longest: 0 };
    this.#current.set(key, created);
    return created;
  }

  #forget(now: number): void {
    if (now < this.#periodEndsAt) return;
    const isRecent = now < this.#periodEndsAt + PERIOD;
    this.#previous = isRecent ? this.#current : new Map();
    this.#current = new Map();
    this.#periodEndsAt = now + PERIOD;
  }
}

/** Exponent of the smallest power of two that is not less than `tokens`. */
function sizeOf(tokens: number): number {
  return tokens <= 1 ? 0 : Math.ceil(Math.log2(tokens));
}

function keyOf(kind: string, size: number): string {
  return `${size} ${kind}`;
}
