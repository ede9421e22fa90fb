/**
 * Limits the retries of an entry in any time span of a given length to half of a share of the requests of
 * two such spans, plus a slack. The total over many entries then never exceeds the share of all requests of the span or
 * of the span before it, whichever has more, however requests move between entries: half of the sum of two spans is at most the
 * larger one, and halves add up over entries. A limit based on the requests of one span would not add up: retries early
 * in a span are based on requests before it, while those of other entries are based on requests in it.
 */

/** Limits of a retry window. Times are in milliseconds. */
export interface RetryWindowLimits {
  /** Length of the time span. */
  span: number;
  /** Retries for each request, at a constant request rate. */
  share: number;
  /** Additional retries at `now`. Evaluated each time, as the known entries that share them change. */
  slack: (now: number) => number;
}

/** Number of parts into which the span is divided for counting. */
const PARTS = 20;
/**
 * Longest time from the grant of a retry to its arrival at the back end, in milliseconds: a new connection is abandoned
 * after 400 ms, by a check that runs every 50 ms, and an attempt is not sent on one that opens later than this.
 */
export const MAX_ARRIVAL_DELAY = 500;
/** Longest time from sending by a caller to being counted here, in milliseconds: several hops of 3 ms and a short queue. */
const MAX_COUNT_DELAY = 500;

interface Part {
  /** Number of the part, counted from time 0. */
  index: number;
  requests: number;
  repetitions: number;
}

/** Counts the requests and retries of one entry for one service. */
export class RetryWindow {
  readonly #limits: RetryWindowLimits;
  /** Number of parts after which a retry has certainly arrived. */
  readonly #arrivalParts: number;
  /** Number of parts before a span whose requests count towards the retries of that span. */
  readonly #earningParts: number;
  #parts: Part[] = [];
  #granted = 0;
  #denied = 0;

  constructor(limits: RetryWindowLimits) {
    this.#limits = limits;
    const partLength = limits.span / PARTS;
    this.#arrivalParts = Math.ceil(MAX_ARRIVAL_DELAY / partLength);
    const countParts = Math.ceil(MAX_COUNT_DELAY / partLength);
    this.#earningParts = Math.max(0, PARTS - this.#arrivalParts - countParts - 1);
  }

  /** Number of retries granted since the start. */
  get granted(): number {
    return this.#granted;
  }

  /** Number of retries denied since the start. */
  get denied(): number {
    return this.#denied;
  }

  /** Records a routed request. */
  earn(now: number): void {
    this.#partAt(now).requests++;
  }

  /** Whether one more retry is permitted at `now`; counts a denial if not. */
  allows(now: number): boolean {
    const allowed = this.#isWithin(this.#partAt(now).index, this.#limits.slack(now));
    if (!allowed) this.#denied++;
    return allowed;
  }

  /** Takes one retry; false if none is permitted. */
  spend(now: number): boolean {
    if (!this.allows(now)) return false;
    this.#partAt(now).repetitions++;
    this.#granted++;
    return true;
  }

  /** Whether one more retry in the part `newest` stays within the limit of every span that may contain it. */
  #isWithin(newest: number, slack: number): boolean {
    const halfShare = this.#limits.share / 2;
    // A span may end now or later. Requests yet to come are unknown and do not count.
    for (let first = newest - this.#repetitionParts; first <= newest; first++) {
      const earned = halfShare * this.#sumFrom(first - this.#earningParts, 'requests');
      if (this.#sumFrom(first, 'repetitions') + 1 > earned + slack) return false;
    }
    return true;
  }

  /** Number of parts before the newest whose retries may arrive within the same span as a retry of the newest. */
  get #repetitionParts(): number {
    return PARTS + this.#arrivalParts;
  }

  #sumFrom(index: number, what: 'requests' | 'repetitions'): number {
    let total = 0;
    for (const part of this.#parts) if (part.index >= index) total += part[what];
    return total;
  }

  #partAt(now: number): Part {
    const index = Math.floor((now / this.#limits.span) * PARTS);
    const newest = this.#parts.at(-1);
    if (newest?.index === index) return newest;
    const oldest = index - this.#repetitionParts - this.#earningParts;
    const part: Part = { index, requests: 0, repetitions: 0 };
    this.#parts = [...this.#parts.filter((one) => one.index >= oldest), part];
    return part;
  }
}
