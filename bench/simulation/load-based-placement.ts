/** Placement by what an entry believes about the load of engines: the ways before agents granted slots. */
import type { Caller } from './placement-callers.js';
import {
  OTHER_ZONE_COST,
  type PlacementContext,
  type PlacementEngine,
  type PlacementEntry,
  RETRY_AFTER,
  type RequestPlacement,
} from './placement-machines.js';

/** A first request waits for this share of its objective; one that comes again for `LONGEST_WAIT`, in milliseconds. */
const WAIT_SHARE = 0.6;
const LONGEST_WAIT = 1_800;
/** Entries report to those of their zone and to others after this, in milliseconds. */
const NEAR_REPORTS = 1_500;
const FAR_REPORTS = 4_500;
/** Usual time of a stream, by which waits are reckoned, in milliseconds. */
const USUAL_DURATION = 1_150;
const FULLNESS_COST = 25;
/** Urgency of a request that comes again. */
const REPEATED_URGENCY = 4;

/** Chooses the engine that costs least by believed loads. */
export class LoadBasedPlacement implements RequestPlacement {
  readonly #context: PlacementContext;
  readonly #areLoadsReported: boolean;

  /** @param areLoadsReported - whether entries report loads to one another, and so consider all engines instead of two */
  constructor(context: PlacementContext, areLoadsReported: boolean) {
    this.#context = context;
    this.#areLoadsReported = areLoadsReported;
  }

  begin(): void {
    if (!this.#areLoadsReported) return;
    const { clock, entries, random } = this.#context;
    for (const entry of entries) {
      for (const [isNear, interval] of [
        [true, NEAR_REPORTS],
        [false, FAR_REPORTS],
      ] as const)
        clock.schedule(random.fraction() * interval, () => this.#reportLoads(entry, isNear, interval));
    }
  }

  place(caller: Caller, entry: PlacementEntry): void {
    const context = this.#context;
    const engines = context.living();
    const near = engines.filter(({ zone }) => zone === entry.zone);
    const considered = this.#areLoadsReported ? engines : [this.#oneOf(near), this.#oneOf(engines)];
    const costs = considered.map((engine) => this.#cost(engine, entry));
    const chosen = considered[costs.indexOf(Math.min(...costs))];
    const isRepeated = caller.refusals > 0;
    const longestWait = isRepeated ? LONGEST_WAIT : WAIT_SHARE * caller.kind.objective;
    if (this.#waitAt(believedLoad(chosen, entry)) > longestWait)
      return context.refuse(caller, RETRY_AFTER * (1 + context.random.fraction()));
    context.send(caller, entry, chosen, isRepeated ? REPEATED_URGENCY : 0, () => {});
  }

  #cost(engine: PlacementEngine, entry: PlacementEntry): number {
    const { site, random } = this.#context;
    const load = believedLoad(engine, entry);
    const distance = engine.zone === entry.zone ? 0 : OTHER_ZONE_COST;
    // Ties go by chance.
    return distance + this.#waitAt(load) + (load / site.pace.slots) * FULLNESS_COST + random.fraction();
  }

  #waitAt(load: number): number {
    const { slots } = this.#context.site.pace;
    return (Math.max(0, load + 1 - slots) * USUAL_DURATION) / slots;
  }

  #oneOf(engines: readonly PlacementEngine[]): PlacementEngine {
    return engines[this.#context.random.below(engines.length)];
  }

  #reportLoads(entry: PlacementEntry, isNear: boolean, interval: number): void {
    const { clock, entries } = this.#context;
    const loads = [...entry.own];
    for (const other of entries) {
      if (other !== entry && (other.zone === entry.zone) === isNear) other.told.set(entry.number, loads);
    }
    clock.schedule(clock.now + interval, () => this.#reportLoads(entry, isNear, interval));
  }
}

function believedLoad({ number }: PlacementEngine, entry: PlacementEntry): number {
  let load = entry.own[number];
  for (const loads of entry.told.values()) load += loads[number] ?? 0;
  return load;
}
