/**
 * The platform's list of back ends as one process knows it: records with the store's revision, whole as of one
 * revision. It never goes back: older news of a record, or an older list, changes nothing.
 */

import { type BackEndIdentity, isSameStart } from './back-end-identity.js';

/** Layers of a model that a back end holds. */
export interface HeldLayers {
  from: number;
  /** The first layer after those held. */
  end: number;
  version: number;
}

/** One start of a back end, as it tells of itself. */
export interface BackEndRecord extends BackEndIdentity {
  service: string;
  address: string;
  zone: string;
  /** Requests that it runs at the same time. */
  slots: number;
  leaving: boolean;
  /** Undefined where the service has no weights, or none are held. */
  layers: HeldLayers | undefined;
  /** The store's revision of this record. */
  revision: number;
}

/** A change of the list: a record that is new or has changed, or an identity that is gone. */
export type BackEndChange =
  | { type: 'changed'; record: BackEndRecord }
  | { type: 'gone'; id: string; revision: number };

/** The records as of `revision`. */
export interface BackEndListState {
  revision: number;
  records: BackEndRecord[];
}

/** The list. */
export class BackEndList {
  readonly records = new Map<string, BackEndRecord>();
  #revision = 0;

  /** The list is whole as of this revision of the store; 0 before the first reading. */
  get revision(): number {
    return this.#revision;
  }

  /** Takes changes that lead from the present revision to `revision`; returns those that were news. */
  apply(changes: readonly BackEndChange[], revision: number): BackEndChange[] {
    const news = changes.filter((change) => this.#take(change));
    this.#revision = Math.max(this.#revision, revision);
    return news;
  }

  /** Takes a whole list; returns what changed by it. An older one is passed over. */
  replace(state: BackEndListState): BackEndChange[] {
    if (state.revision <= this.#revision) return [];
    const present = new Set(state.records.map(({ id }) => id));
    const gone = [...this.records.keys()]
      .filter((id) => !present.has(id))
      .map((id): BackEndChange => ({ type: 'gone', id, revision: state.revision }));
    const changed = state.records.map((record): BackEndChange => ({ type: 'changed', record }));
    return this.apply([...gone, ...changed], state.revision);
  }

  /** The whole list. */
  state(): BackEndListState {
    return { revision: this.#revision, records: [...this.records.values()] };
  }

  #take(change: BackEndChange): boolean {
    if (change.type === 'gone') {
      const known = this.records.get(change.id);
      if (known === undefined || known.revision > change.revision) return false;
      return this.records.delete(change.id);
    }
    const { record } = change;
    const known = this.records.get(record.id);
    if (known !== undefined && known.revision >= record.revision) return false;
    if (known === undefined && record.revision <= this.#revision) return false;
    this.records.set(record.id, record);
    return true;
  }
}

/** Whether two records say the same of a back end, whenever they were written. */
export function isAlike(one: BackEndRecord, other: BackEndRecord): boolean {
  return (
    isSameStart(one.start, other.start) &&
    one.service === other.service &&
    one.address === other.address &&
    one.zone === other.zone &&
    one.slots === other.slots &&
    one.leaving === other.leaving &&
    one.layers?.from === other.layers?.from &&
    one.layers?.end === other.layers?.end &&
    one.layers?.version === other.layers?.version
  );
}
