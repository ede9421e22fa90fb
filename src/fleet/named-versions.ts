/**
 * The versions of weights that the operator has named as the target of a model, and when. A named version must be served
 * everywhere within a bound after its naming; after that no request may start on an older version.
 *
 * The store does not say when a version was named. Each process knows a lower bound: the store's time at the last answer that
 * did not contain the version yet. The highest of these bounds is the closest to the actual time and never later than it, so
 * processes exchange them and keep the maximum. A process that has just started knows no bound (minus infinity) and forbids
 * older versions at once, until the store's history or a peer supplies one.
 */
import type { NamedVersion } from '../protocol/reports.js';
import type { StoreClock } from './store-clock.js';

/** Minimum number of versions kept for each model. */
const MIN_VERSIONS_KEPT = 4;
/**
 * Beyond that number, the oldest version is dropped only when the next one was named this long before the latest, in
 * milliseconds. Until the bound of that next version has passed, only the oldest one forbids the versions before it. The value
 * is far above the bounds in use (8 s).
 */
const SUPERSEDED_RETENTION = 60_000;

/** The named versions that still affect requests. */
export class NamedVersions {
  readonly #clock: StoreClock;
  readonly #byModel = new Map<string, NamedVersion[]>();

  constructor(clock: StoreClock) {
    this.#clock = clock;
  }

  /** Adds a version, or raises the lower bound of its naming time if it is known. Returns true for a new version. */
  add(named: NamedVersion): boolean {
    const versions = this.#byModel.get(named.model) ?? [];
    this.#byModel.set(named.model, versions);
    const known = versions.find(({ version }) => version === named.version);
    if (known !== undefined) {
      known.notBefore = Math.max(known.notBefore, named.notBefore);
      return false;
    }
    versions.push({ ...named });
    versions.sort((a, b) => a.version - b.version);
    while (versions.length > MIN_VERSIONS_KEPT && isOldestSuperseded(versions)) versions.shift();
    return true;
  }

  /** The newest named version of `model`. */
  newest(model: string): NamedVersion | undefined {
    return this.#byModel.get(model)?.at(-1);
  }

  /** The lowest version of `model` on which requests may start at `now`, with versions enforced `bound` ms after their naming. */
  lowestAllowed(model: string, now: number, bound: number): number {
    let lowest = 0;
    for (const named of this.#byModel.get(model) ?? []) {
      if (this.namedAt(named) + bound <= now) lowest = Math.max(lowest, named.version);
    }
    return lowest;
  }

  /** The time until which requests may start on `version` of `model`: `bound` ms after the naming of a newer version. */
  expiryOf(model: string, version: number, bound: number): number {
    const newer = (this.#byModel.get(model) ?? []).filter((named) => named.version > version);
    return Math.min(...newer.map((named) => this.namedAt(named) + bound));
  }

  /** The earliest time at which a version can have been named, in milliseconds of this process's monotonic clock. */
  namedAt({ notBefore }: NamedVersion): number {
    return this.#clock.localTimeAt(notBefore);
  }

  all(): NamedVersion[] {
    return [...this.#byModel.values()].flat();
  }
}

/** Whether the second of `versions` already forbids everything that the first one does. */
function isOldestSuperseded([, second, ...newer]: readonly NamedVersion[]): boolean {
  const latest = Math.max(...newer.map(({ notBefore }) => notBefore));
  return second.notBefore === Number.NEGATIVE_INFINITY || latest - second.notBefore > SUPERSEDED_RETENTION;
}
