/**
 * How many repetitions an entry may make within any span of a given length: a share of the requests of that span, and a
 * few besides. Unlike a bucket that fills, it allows as many at once as the whole span does, as when an engine drops all
 * that runs there.
 */

/** What a window allows. Times are in milliseconds. */
export interface RetryWindowLimits {
  /** The span in which repetitions are counted. */
  span: number;
  /** Repetitions for each request of the span. */
  share: number;
  /** Repetitions besides; read anew at each, as the entries that share them come and go. */
  slack: () => number;
}

/** Parts of the span in which counts are kept together. */
const PARTS = 20;

interface Part {
  /** Number of the part since the beginning of time. */
  index: number;
  requests: number;
  repetitions: number;
}

/** The repetitions of one entry at one service. */
export class RetryWindow {
  readonly #limits: RetryWindowLimits;
  #parts: Part[] = [];
  #granted = 0;
  #denied = 0;

  constructor(limits: RetryWindowLimits) {
    this.#limits = limits;
  }

  /** Repetitions that were granted since the start. */
  get granted(): number {
    return this.#granted;
  }

  /** Repetitions that were asked for and denied since the start. */
  get denied(): number {
    return this.#denied;
  }

  /** A request was routed. */
  earn(now: number): void {
    this.#partAt(now).requests++;
  }

  /** Takes one repetition, if there is one. */
  spend(now: number): boolean {
    const isGranted = this.#take(now);
    if (isGranted) this.#granted++;
    else this.#denied++;
    return isGranted;
  }

  #take(now: number): boolean {
    const part = this.#partAt(now);
    const { share, slack } = this.#limits;
    // A span that ends now begins inside the oldest part: its repetitions count, its requests do not.
    const requests = this.#parts.filter(({ index }) => index > part.index - PARTS);
    const allowed = share * sum(requests, 'requests') + slack();
    if (sum(this.#parts, 'repetitions') + 1 > allowed) return false;
    part.repetitions++;
    return true;
  }

  #partAt(now: number): Part {
    const index = Math.floor((now / this.#limits.span) * PARTS);
    const newest = this.#parts.at(-1);
    if (newest?.index === index) return newest;
    const part: Part = { index, requests: 0, repetitions: 0 };
    this.#parts = [...this.#parts.filter((one) => one.index >= index - PARTS), part];
    return part;
  }
}

function sum(parts: readonly Part[], what: 'requests' | 'repetitions'): number {
  return parts.reduce((total, part) => total + part[what], 0);
}
