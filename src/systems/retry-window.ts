/**
 * How many repetitions an entry may make within any span of a given length: half of a share of the requests of two such
 * spans, and a few besides. What many entries make together then never exceeds the share of all requests of the span or
 * of the one before it, whichever has more, however requests move from one entry to another: half of both together is
 * no more than the greater, and sums of halves are halves of sums. (An allowance by the requests of one span does not
 * add up so: repetitions early in a span rest on requests before it, and those of other entries on requests in it.)
 */

/** What a window allows. Times are in milliseconds. */
export interface RetryWindowLimits {
  /** The span in which repetitions are counted. */
  span: number;
  /** Repetitions for each request, where requests come evenly. */
  share: number;
  /** Repetitions besides, at `now`: read anew at each, as the entries that share them become known. */
  slack: (now: number) => number;
}

/** Parts of the span in which counts are kept together. */
const PARTS = 20;
/**
 * Longest time from a repetition's payment to its arrival at the back end, in milliseconds: a new connection is given up
 * after 400, at the next look 50 later.
 */
export const LONGEST_TO_ARRIVE = 500;
/** Longest time from a caller's sending to its count here, in milliseconds: some ways of 3 and a short queue. */
const LONGEST_TO_COUNT = 500;

interface Part {
  /** Number of the part since the beginning of time. */
  index: number;
  requests: number;
  repetitions: number;
}

/** The repetitions of one entry at one service. */
export class RetryWindow {
  readonly #limits: RetryWindowLimits;
  /** Parts after which a repetition has arrived, for certain. */
  readonly #arrivalParts: number;
  /** A span that begins in a part rests on the requests from this many parts before on. */
  readonly #earningParts: number;
  #parts: Part[] = [];
  #granted = 0;
  #denied = 0;

  constructor(limits: RetryWindowLimits) {
    this.#limits = limits;
    const partLength = limits.span / PARTS;
    this.#arrivalParts = Math.ceil(LONGEST_TO_ARRIVE / partLength);
    const countParts = Math.ceil(LONGEST_TO_COUNT / partLength);
    this.#earningParts = Math.max(0, PARTS - this.#arrivalParts - countParts - 1);
  }

  /** Repetitions that were granted since the start. */
  get granted(): number {
    return this.#granted;
  }

  /** How often a repetition was asked for and denied since the start. */
  get denied(): number {
    return this.#denied;
  }

  /** A request was routed. */
  earn(now: number): void {
    this.#partAt(now).requests++;
  }

  /** Whether there is one more repetition at `now`. */
  allows(now: number): boolean {
    const allowed = this.#isWithin(this.#partAt(now).index, this.#limits.slack(now));
    if (!allowed) this.#denied++;
    return allowed;
  }

  /** Takes one repetition, if there is one. */
  spend(now: number): boolean {
    if (!this.allows(now)) return false;
    this.#partAt(now).repetitions++;
    this.#granted++;
    return true;
  }

  /** Whether one more repetition in the part `newest` is within what each span allows that may hold it. */
  #isWithin(newest: number, slack: number): boolean {
    const halfShare = this.#limits.share / 2;
    // The span may end now or later: nothing is known of the requests that are to come.
    for (let first = newest - this.#repetitionParts; first <= newest; first++) {
      const earned = halfShare * this.#sumFrom(first - this.#earningParts, 'requests');
      if (this.#sumFrom(first, 'repetitions') + 1 > earned + slack) return false;
    }
    return true;
  }

  /** Parts before the newest whose repetitions may arrive within one span with one of the newest. */
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
