/**
 * The versions of weights that the operator has named, and since when. A version must serve everywhere within a bound
 * from its naming; from then on no request may start on an older one.
 */

/** One version of a model that was named. */
export interface NamedVersion {
  model: string;
  version: number;
  /** Latest time at which it can have been named, in milliseconds of this process's steady clock. */
  namedAt: number;
}

/** Versions of a model that are remembered. */
const REMEMBERED = 4;

/** All named versions that matter. */
export class NamedVersions {
  readonly #byModel = new Map<string, NamedVersion[]>();

  /** Notes a version; of two times the earlier one counts, as each is a latest possible one. Returns true for news. */
  note(named: NamedVersion): boolean {
    const versions = this.#byModel.get(named.model) ?? [];
    this.#byModel.set(named.model, versions);
    const known = versions.find(({ version }) => version === named.version);
    if (known !== undefined) {
      known.namedAt = Math.min(known.namedAt, named.namedAt);
      return false;
    }
    versions.push({ ...named });
    versions.sort((a, b) => a.version - b.version);
    if (versions.length > REMEMBERED) versions.shift();
    return true;
  }

  /** The newest version of `model` that was named. */
  newest(model: string): NamedVersion | undefined {
    return this.#byModel.get(model)?.at(-1);
  }

  /** The lowest version of `model` that requests may start on at `now`, `bound` milliseconds after a naming. */
  lowestAllowed(model: string, now: number, bound: number): number {
    let lowest = 0;
    for (const { version, namedAt } of this.#byModel.get(model) ?? []) {
      if (namedAt + bound <= now) lowest = Math.max(lowest, version);
    }
    return lowest;
  }

  /** Everything that is remembered. */
  all(): NamedVersion[] {
    return [...this.#byModel.values()].flat();
  }
}
