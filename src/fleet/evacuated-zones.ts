/**
 * The zones that the operator has taken out of service: their back ends get no new requests until they are taken back. Changes
 * come from the store and from peers, in any order; for each zone, the one at the higher store revision is in force.
 */
import { eraOf, type StoreRevision } from '../clients/store-revision.js';
import type { ZoneEvacuation } from '../protocol/reports.js';

/** Maximum number of zones kept, of the latest changes; those in service are dropped first. */
const MAX_ZONES = 1_000;

/** The zones of which an evacuation is or was known. */
export class EvacuatedZones {
  readonly #byZone = new Map<string, ZoneEvacuation>();
  /** Revision of the latest complete reading of the operator's table; 0 if there was none. All later changes are known. */
  #readAt: StoreRevision = 0;

  /** Whether the back ends of `zone` get no new requests. */
  has(zone: string): boolean {
    return this.#byZone.get(zone)?.isEvacuated === true;
  }

  /** The zones that are out of service now. */
  evacuated(): string[] {
    return this.all().flatMap(({ zone, isEvacuated }) => (isEvacuated ? zone : []));
  }

  /** The latest changes of all zones of which any is known. */
  all(): ZoneEvacuation[] {
    return [...this.#byZone.values()];
  }

  /** The latest change of `zone`; if none is known, that it was in service at the latest reading. Undefined before the first. */
  stateOf(zone: string): ZoneEvacuation | undefined {
    const known = this.#byZone.get(zone);
    if (known !== undefined || this.#readAt === 0) return known;
    return { zone, revision: this.#readAt, isEvacuated: false };
  }

  /** Records a complete reading of the operator's table. Its rows, and the changes that follow from it, are applied beside. */
  noteReading(revision: StoreRevision): void {
    this.#readAt = Math.max(this.#readAt, revision);
  }

  /** Applies a change unless a later one is known; returns whether the zone went out of service or was taken back. */
  apply(change: ZoneEvacuation): boolean {
    const { zone, revision } = change;
    const known = this.#byZone.get(zone);
    if (known === undefined && revision <= this.#readAt) {
      // It is older than the reading, which did not list the zone. Noted, so that the peer that told it learns of that.
      if (eraOf(revision) === eraOf(this.#readAt))
        this.#keep({ zone, revision: this.#readAt, isEvacuated: false });
      return false;
    }
    if (revision <= (known?.revision ?? 0)) return false;
    const wasEvacuated = this.has(zone);
    this.#keep(change);
    return change.isEvacuated !== wasEvacuated;
  }

  #keep({ zone, revision, isEvacuated }: ZoneEvacuation): void {
    this.#byZone.set(zone, { zone, revision, isEvacuated });
    if (this.#byZone.size <= MAX_ZONES) return;
    const [first] = this.all().sort(
      (a, b) => Number(a.isEvacuated) - Number(b.isEvacuated) || a.revision - b.revision,
    );
    this.#byZone.delete(first.zone);
  }
}
