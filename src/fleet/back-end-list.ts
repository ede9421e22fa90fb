/**
 * The platform's list of back ends as one process knows it: records with the store's revision, whole as of one
 * revision. It never goes back: older news of a record, of a former start of its back end, or an older list change nothing.
 *
 * A store that comes back from an older copy lists back ends as they were: what is known of them since is believed until they
 * have written themselves anew. One that has gone does not come back with the copy, and one that leaves goes on leaving.
 */

import { eraOf } from '../clients/store-revision.js';
import { type BackEndIdentity, isSameStart } from '../model/back-end-identity.js';
import type { BackEndListState, BackEndRecord } from '../protocol/back-end-list-state.js';
import { BackEndSet } from './back-end-identity.js';
import { BackEndStarts } from './back-end-starts.js';

/** A change of the list: a record that is new or has changed, or an identity that is gone. */
export type BackEndChange =
  | { type: 'changed'; record: BackEndRecord }
  | { type: 'gone'; id: string; revision: number };

/** Back ends that have gone and are remembered: the latest, more than go within the seconds that a copy is old. */
const MOST_GONE = 1_000;

/** The list. */
export class BackEndList {
  readonly records = new Map<string, BackEndRecord>();
  readonly #gone = new BackEndSet();
  readonly #starts = new BackEndStarts();
  #revision = 0;

  /** The list is whole as of this revision of the store; 0 before the first reading. */
  get revision(): number {
    return this.#revision;
  }

  /** Takes changes that lead from the present revision to `revision`; returns those that were news. */
  apply(changes: readonly BackEndChange[], revision: number): BackEndChange[] {
    const news = changes.flatMap((change) => this.#take(change) ?? []);
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

  /**
   * Takes the start that a back end has reported itself; returns what changed by it. One that started again holds nothing,
   * and does not leave: its entry, which is of the former start, says nothing else of it that does not last.
   * @param follows - the start before it, where that is known
   */
  takeStart(identity: BackEndIdentity, follows?: BackEndIdentity['start']): BackEndChange[] {
    const known = this.records.get(identity.id);
    if (known === undefined) return [];
    const news = this.#starts.takeReported(identity, follows);
    const start = this.#starts.presentOf(identity.id);
    if (news === 'older' || start === known.start) return [];
    const record =
      news === 'same' ? { ...known, start } : { ...known, start, leaving: false, layers: undefined };
    this.records.set(record.id, record);
    return [{ type: 'changed', record }];
  }

  /** The whole list. */
  state(): BackEndListState {
    return { revision: this.#revision, records: [...this.records.values()] };
  }

  /** Takes one change; returns what it comes to, undefined where it is no news. */
  #take(change: BackEndChange): BackEndChange | undefined {
    return change.type === 'gone' ? this.#remove(change) : this.#set(change.record);
  }

  #remove(change: BackEndChange & { type: 'gone' }): BackEndChange | undefined {
    const known = this.records.get(change.id);
    if (known === undefined || known.revision > change.revision) return undefined;
    this.#starts.noteGone(change.id);
    this.#gone.add(known);
    this.#gone.keepLatest(MOST_GONE);
    this.records.delete(change.id);
    return change;
  }

  /** Whether a record comes with the first list of an era that is read: it may have been written before the end of the last. */
  #isOfCopy({ revision }: BackEndRecord): boolean {
    return this.#revision > 0 && eraOf(revision) > eraOf(this.#revision);
  }

  #set(told: BackEndRecord): BackEndChange | undefined {
    const known = this.records.get(told.id);
    if (known !== undefined && known.revision >= told.revision) return undefined;
    if (known === undefined && told.revision <= this.#revision) return undefined;
    if (known === undefined && this.#isOfCopy(told) && this.#gone.has(told)) return undefined;
    if (this.#starts.takeListed(told, told.revision) === 'older') return undefined;
    // An entry that tells no start is taken for one of the start that is known.
    const start = this.#starts.presentOf(told.id);
    // The entry that says so may have been lost with the end of an era; it is written again at the next heartbeat.
    const goesOnLeaving =
      known?.leaving === true &&
      eraOf(known.revision) < eraOf(told.revision) &&
      isSameStart(known.start, told.start);
    const record = { ...told, start, leaving: told.leaving || goesOnLeaving };
    this.records.set(record.id, record);
    return { type: 'changed', record };
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
