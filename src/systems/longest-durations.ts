/**
 * The longest times that requests of a kind and size have taken lately: how long the next one may take. Requests of one
 * kind differ by the length of their answers, so sizes, by powers of two, are told apart. Times are in milliseconds.
 */

/** What is older than one to two of these is forgotten: back ends that were slow are not held to be so for ever. */
const PERIOD = 10_000;
/** The next request may take longer than each of those seen, by this factor: 2.3 s was followed by 3.1 s within 10 s. */
const PROLONGATION = 1.35;
/** Fewer requests than this say too little: of so many, the next is longer than all with a chance of 1 in 17. */
const ENOUGH_REQUESTS = 16;

/** Requests of one kind and size within a period. */
interface Seen {
  /** Since when such requests have been sent without a longer gap. */
  since: number;
  count: number;
  longest: number;
}

/** The longest times. */
export class LongestDurations {
  #current = new Map<string, Seen>();
  #previous = new Map<string, Seen>();
  #periodEndsAt = Number.NEGATIVE_INFINITY;
  #largestSize = 0;

  /** A request of `kind` for an answer of `tokens` is sent. */
  noteSent(kind: string, tokens: number, now: number): void {
    this.#seen(kind, tokens, now);
  }

  /** One that is in progress has taken `duration` so far. */
  noteAge(kind: string, tokens: number, duration: number, now: number): void {
    const seen = this.#seen(kind, tokens, now);
    seen.longest = Math.max(duration, seen.longest);
  }

  /** One has ended after `duration`. */
  noteEnded(kind: string, tokens: number, duration: number, now: number): void {
    this.#seen(kind, tokens, now).count++;
    this.noteAge(kind, tokens, duration, now);
  }

  /**
   * How long one that begins now may take, by those of its size and, where these are few, of larger ones.
   * @param limit - the longest that any takes: while requests have been sent for a shorter time, only short ones have ended
   * @returns undefined where too little is known
   */
  expected(kind: string, tokens: number, limit: number, now: number): number | undefined {
    this.#forget(now);
    let count = 0;
    let longest = 0;
    for (let size = sizeOf(tokens); size <= this.#largestSize && count < ENOUGH_REQUESTS; size++) {
      const key = keyOf(kind, size);
      const both = [this.#current.get(key), this.#previous.get(key)].filter((seen) => seen !== undefined);
      if (both.length === 0 || now - both[0].since < limit) continue;
      for (const seen of both) {
        count += seen.count;
        longest = Math.max(longest, seen.longest);
      }
    }
    return count < ENOUGH_REQUESTS ? undefined : longest * PROLONGATION;
  }

  #seen(kind: string, tokens: number, now: number): Seen {
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

/** The power of two that `tokens` do not exceed. */
function sizeOf(tokens: number): number {
  return tokens <= 1 ? 0 : Math.ceil(Math.log2(tokens));
}

function keyOf(kind: string, size: number): string {
  return `${size} ${kind}`;
}
