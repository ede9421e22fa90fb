/**
 * The versions of weights that the operator has named, and since when. A version must serve everywhere within a bound
 * from its naming; from then on no request may start on an older one.
 *
 * Nobody is told when a version was named. Each process knows a time before which it cannot have been: the store's time
 * at the last answer that did not hold it yet. The latest of all such times is the closest to the truth and never after
 * it, so processes exchange them and keep the maximum. A process that has just started knows none (minus infinity) and
 * forbids older versions at once, until the store's history or a peer tells it more.
 */
import type { NamedVersion } from '../protocol/reports.js';
import type { StoreClock } from './store-clock.js';

/** Versions of a model that are remembered at least. */
const REMEMBERED = 4;
/**
 * The oldest of more is forgotten only once the one after it was named this long ago, in milliseconds: until that one's bound the
 * oldest alone forbids what was before it. It is far above the bounds in use (8 s).
 */
const FORGOTTEN_AFTER = 60_000;

/** All named versions that matter. */
export class NamedVersions {
  readonly #clock: StoreClock;
  readonly #byModel = new Map<string, NamedVersion[]>();

  constructor(clock: StoreClock) {
    this.#clock = clock;
  }

  /** Notes a version, or that one was named later than was known. Returns true for a new version. */
  note(named: NamedVersion): boolean {
    const versions = this.#byModel.get(named.model) ?? [];
    this.#byModel.set(named.model, versions);
    const known = versions.find(({ version }) => version === named.version);
    if (known !== undefined) {
      known.notBefore = Math.max(known.notBefore, named.notBefore);
      return false;
    }
    versions.push({ ...named });
    versions.sort((a, b) => a.version - b.version);
    while (versions.length > REMEMBERED && isOldestReplaced(versions)) versions.shift();
    return true;
  }

  /** The newest version of `model` that was named. */
  newest(model: string): NamedVersion | undefined {
    return this.#byModel.get(model)?.at(-1);
  }

  /** The lowest version of `model` that requests may start on at `now`, `bound` milliseconds after a naming. */
  lowestAllowed(model: string, now: number, bound: number): number {
    let lowest = 0;
    for (const named of this.#byModel.get(model) ?? []) {
      if (this.namedAt(named) + bound <= now) lowest = Math.max(lowest, named.version);
    }
    return lowest;
  }

  /** Until when requests may start on `version` of `model`, `bound` milliseconds after a newer one was named. */
  expiryOf(model: string, version: number, bound: number): number {
    const newer = (this.#byModel.get(model) ?? []).filter((named) => named.version > version);
    return Math.min(...newer.map((named) => this.namedAt(named) + bound));
  }

  /** The earliest time at which a version can have been named, in milliseconds of this process's steady clock. */
  namedAt({ notBefore }: NamedVersion): number {
    return this.#clock.localTimeAt(notBefore);
  }

  /** Everything that is remembered. */
  all(): NamedVersion[] {
    return [...this.#byModel.values()].flat();
  }
}

/** Whether the second of `versions` forbids by now all that the first one does. */
function isOldestReplaced([, second, ...newer]: readonly NamedVersion[]): boolean {
  const latest = Math.max(...newer.map(({ notBefore }) => notBefore));
  return second.notBefore === Number.NEGATIVE_INFINITY || latest - second.notBefore > FORGOTTEN_AFTER;
}
