/**
 * Keeps less urgent requests from being starved under lasting overload. Strictly by urgency, the least urgent kind of requests
 * would get nothing while more urgent ones take all slots. So that no kind and no tenant falls below a quarter of the service
 * that all get, a random part of the requests of each rank goes with the most urgent ones. The part is as large as the rank
 * lacks: a quarter of the share of requests that this entry has lately seen served, less what the others of that rank get
 * anyway; where a rank is served anyway, nothing is drawn. Each kind, tenant and size of a rank gets its part, without state
 * for any of them. Counts by tenant cannot replace it, as a rare tenant asks an entry too seldom. Times are in milliseconds of
 * the monotonic clock.
 *
 * ```ts
 * const isDrawn = floor.draws(rank, now);
 * floor.note({ rank, isDrawn, isServed }, now);
 * ```
 */
import type { Random } from '../model/random.js';

/** Least service of a kind or a tenant, as a share of the service that all get. */
const FLOOR = 0.25;
/** Service of drawn requests that is assumed at least, so that a few outcomes do not decide. */
const MIN_DRAWN_SERVICE = 0.4;
/** Largest part of the requests of a rank that is drawn. */
const MAX_DRAWN = 0.3;
/** The window of outcomes has this many parts, each of this length. */
const WINDOW_PARTS = 8;
const PART_LENGTH = 500;

/** How a request ended. */
export interface RankedOutcome {
  /** 0 is the most urgent. */
  rank: number;
  /** Whether it went with the most urgent ones by a draw. */
  isDrawn: boolean;
  /** False if it was refused. */
  isServed: boolean;
}

interface Count {
  served: number;
  ended: number;
}

interface WindowPart {
  /** Number of the part since the start of the clock. */
  number: number;
  all: Count;
  drawn: Count;
  /** Those that were not drawn, by rank. */
  undrawn: Map<number, Count>;
}

/** The floor of service at one entry. */
export class ServiceFloor {
  readonly #random: Random;
  #parts: WindowPart[] = [];

  constructor(random: Random) {
    this.#random = random;
  }

  /** Whether a request of `rank` is to go with the most urgent ones. */
  draws(rank: number, now: number): boolean {
    return rank > 0 && this.#random.fraction() < this.drawnShare(rank, now);
  }

  /** Records the end of a request. */
  note({ rank, isDrawn, isServed }: RankedOutcome, now: number): void {
    const part = this.#partAt(now);
    addTo(part.all, isServed);
    if (isDrawn) return addTo(part.drawn, isServed);
    const ofRank = part.undrawn.get(rank) ?? { served: 0, ended: 0 };
    part.undrawn.set(rank, ofRank);
    addTo(ofRank, isServed);
  }

  /** Share of the requests of `rank` that go with the most urgent ones. */
  drawnShare(rank: number, now: number): number {
    this.#forgetBefore(now);
    const aim = FLOOR * servedShare(this.#parts.map(({ all }) => all));
    const undrawn = servedShare(this.#parts.flatMap((part) => part.undrawn.get(rank) ?? []));
    const drawn = Math.max(MIN_DRAWN_SERVICE, servedShare(this.#parts.map((part) => part.drawn)));
    return undrawn >= aim ? 0 : Math.min(MAX_DRAWN, (aim - undrawn) / (drawn - undrawn));
  }

  #partAt(now: number): WindowPart {
    this.#forgetBefore(now);
    const number = Math.floor(now / PART_LENGTH);
    const latest = this.#parts.at(-1);
    if (latest?.number === number) return latest;
    const part = { number, all: { served: 0, ended: 0 }, drawn: { served: 0, ended: 0 }, undrawn: new Map() };
    this.#parts.push(part);
    return part;
  }

  #forgetBefore(now: number): void {
    const oldest = Math.floor(now / PART_LENGTH) - WINDOW_PARTS + 1;
    if (this.#parts.length > 0 && this.#parts[0].number < oldest)
      this.#parts = this.#parts.filter(({ number }) => number >= oldest);
  }
}

function addTo(count: Count, isServed: boolean): void {
  count.ended++;
  if (isServed) count.served++;
}

/** 1 before anything has been observed: then nothing needs a floor. */
function servedShare(counts: readonly Count[]): number {
  const served = counts.reduce((sum, count) => sum + count.served, 0);
  const ended = counts.reduce((sum, count) => sum + count.ended, 0);
  return ended === 0 ? 1 : served / ended;
}
