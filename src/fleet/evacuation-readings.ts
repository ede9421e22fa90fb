/**
 * Ends the evacuation of zones whose rows are missing from a complete reading of the operator's table. If the store came back
 * from an older copy, a row may be missing because it was written after the copy: its zone stays out of service for some time,
 * in which the operator can write the row again.
 */
import { eraOf, type StoreRevision } from '../clients/store-revision.js';
import type { Log } from '../observability/log.js';
import type { FleetView } from './fleet-view.js';

/** Time for which a zone stays out of service after its row was missing from an older copy, in milliseconds. */
const HOLD_TIME = 10_000;

export class EvacuationReadings {
  readonly #fleet: FleetView;
  readonly #log: Log;
  /** Zones in service again at the end of the hold, unless their rows have changed since `revision`. */
  readonly #held = new Map<string, StoreRevision>();
  #timer: NodeJS.Timeout | undefined;

  constructor(fleet: FleetView, log: Log) {
    this.#fleet = fleet;
    this.#log = log;
  }

  stop(): void {
    clearTimeout(this.#timer);
  }

  /** Applies a complete reading at `revision`; its rows, of the zones in `listed`, have been applied. */
  apply(listed: ReadonlySet<string>, revision: StoreRevision): void {
    const { evacuations } = this.#fleet;
    for (const { zone, revision: evacuatedAt, isEvacuated } of evacuations.all()) {
      if (!isEvacuated || listed.has(zone)) continue;
      if (eraOf(evacuatedAt) < eraOf(revision)) this.#hold(zone, revision);
      else this.#takeBack(zone, revision);
    }
    evacuations.noteReading(revision);
  }

  #hold(zone: string, revision: StoreRevision): void {
    this.#log.warn('evacuated zone missing from an older copy', { zone, revision, heldMs: HOLD_TIME });
    this.#held.set(zone, revision);
    this.#timer ??= setTimeout(() => this.#release(), HOLD_TIME);
  }

  #release(): void {
    this.#timer = undefined;
    for (const [zone, revision] of this.#held) this.#takeBack(zone, revision);
    this.#held.clear();
  }

  #takeBack(zone: string, revision: StoreRevision): void {
    this.#fleet.applyEvacuation({ zone, revision, isEvacuated: false }, 'store');
  }
}
