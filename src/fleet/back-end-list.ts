/**
 * The platform's list of back ends as known to this process: records with the store's revision, complete as of one revision.
 * The list never goes back: an older update of a record, an update of a former start, or an older list changes nothing.
 *
 * A store that is restored from an older copy lists back ends in an outdated state. What has been learnt since that copy is
 * kept until the back ends have written their records again. A removed back end does not return with the copy, and one that is
 * leaving stays so.
 *
 * A back end can also state itself that it is leaving. It then stays so until it starts again, whatever its record says, and
 * so does one whose record was removed while it was leaving.
 */

import { eraOf } from '../clients/store-revision.js';
import { type BackEndIdentity, isSameStart } from '../model/back-end-identity.js';
import type { BackEndListState, BackEndRecord } from '../protocol/back-end-list-state.js';
import { BackEndSet } from './back-end-identity.js';
import { BackEndStarts } from './back-end-starts.js';

/** A change of the list: a record that is new or has changed, or a back end that was removed. */
export type BackEndChange =
  | { type: 'changed'; record: BackEndRecord }
  | { type: 'gone'; id: string; revision: number };

export type BackEndRemoval = Extract<BackEndChange, { type: 'gone' }>;

/** Number of removed back ends kept, the latest ones; more than are removed in the few seconds by which a copy is old. */
const MAX_REMOVED = 1_000;
/** Number of leaving back ends kept apart from their records, the latest ones; more than leave at the same time. */
const MAX_LEAVING = 1_000;

/** The list of back ends. */
export class BackEndList {
  readonly records = new Map<string, BackEndRecord>();
  readonly #removed = new BackEndSet();
  /** Back ends that are leaving whatever their records say. */
  readonly #leaving = new BackEndSet();
  readonly #starts = new BackEndStarts();
  #revision = 0;

  /** The list is complete as of this revision of the store; 0 before the first read. */
  get revision(): number {
    return this.#revision;
  }

  /** Applies the changes that lead from the current revision to `revision`; returns those that had an effect. */
  apply(changes: readonly BackEndChange[], revision: number): BackEndChange[] {
    const news = changes.flatMap((change) => this.#applyChange(change) ?? []);
    this.#revision = Math.max(this.#revision, revision);
    return news;
  }

  /** Replaces the list; returns what changed. A list older than the current one is ignored. */
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
   * Applies the start that a back end reports itself; returns what changed. A back end that has restarted holds no weights and
   * is not leaving. The other fields of its record, which belongs to the former start, outlast a restart.
   * @param follows - the preceding start, if it is known
   */
  applyReportedStart(identity: BackEndIdentity, follows?: BackEndIdentity['start']): BackEndChange[] {
    const known = this.records.get(identity.id);
    if (known === undefined) return [];
    const news = this.#starts.applyReported(identity, follows);
    const start = this.#starts.currentOf(identity.id);
    if (news === 'older' || start === known.start) return [];
    const record =
      news === 'same' ? { ...known, start } : { ...known, start, leaving: false, layers: undefined };
    return [this.#store(record)];
  }

  /**
   * Applies the statement of a back end that it is leaving; returns what changed. A former start has no effect on the current
   * one.
   */
  applyLeaving({ id, start }: BackEndIdentity): BackEndChange[] {
    const current = this.#starts.currentOf(id);
    if (!isSameStart(current, start)) return [];
    this.#keepLeaving({ id, start: current ?? start });
    const known = this.records.get(id);
    if (known === undefined || known.leaving) return [];
    return [this.#store({ ...known, leaving: true })];
  }

  /** Whether a start of a back end is leaving, or was leaving when it was removed. */
  isLeaving(identity: BackEndIdentity): boolean {
    const known = this.records.get(identity.id);
    if (known?.leaving === true && isSameStart(known.start, identity.start)) return true;
    return this.#leaving.has(identity);
  }

  state(): BackEndListState {
    return { revision: this.#revision, records: [...this.records.values()] };
  }

  #store(record: BackEndRecord): BackEndChange {
    this.records.set(record.id, record);
    // Its start may have become known only now: without it, the next start would count as leaving too.
    if (this.#leaving.has(record)) this.#keepLeaving(record);
    return { type: 'changed', record };
  }

  #keepLeaving(identity: BackEndIdentity): void {
    this.#leaving.add(identity);
    this.#leaving.keepLatest(MAX_LEAVING);
  }

  /** Applies one change; returns its effect, or undefined if it has none. */
  #applyChange(change: BackEndChange): BackEndChange | undefined {
    return change.type === 'gone' ? this.#remove(change) : this.#set(change.record);
  }

  #remove(change: BackEndRemoval): BackEndChange | undefined {
    const known = this.records.get(change.id);
    if (known === undefined || known.revision > change.revision) return undefined;
    this.#starts.noteRemoved(change.id);
    this.#removed.add(known);
    this.#removed.keepLatest(MAX_REMOVED);
    if (known.leaving) this.#keepLeaving(known);
    this.records.delete(change.id);
    return change;
  }

  /** Whether a record is from the first list read in a new era: it may have been written before the end of the previous era. */
  #isFromNewEra({ revision }: BackEndRecord): boolean {
    return this.#revision > 0 && eraOf(revision) > eraOf(this.#revision);
  }

  #set(received: BackEndRecord): BackEndChange | undefined {
    const known = this.records.get(received.id);
    if (known !== undefined && known.revision >= received.revision) return undefined;
    if (known === undefined && received.revision <= this.#revision) return undefined;
    if (known === undefined && this.#isFromNewEra(received) && this.#removed.has(received)) return undefined;
    if (this.#starts.applyListed(received, received.revision) === 'older') return undefined;
    // A record without a start is attributed to the current start.
    const start = this.#starts.currentOf(received.id);
    // The record that marks it as leaving may have been lost with the previous era; the next heartbeat writes it again.
    const isStillLeaving =
      known?.leaving === true &&
      eraOf(known.revision) < eraOf(received.revision) &&
      isSameStart(known.start, received.start);
    const leaving = received.leaving || isStillLeaving || this.#leaving.has({ id: received.id, start });
    return this.#store({ ...received, start, leaving });
  }
}

/** Whether two records have the same content, regardless of their revisions. */
export function hasSameContent(one: BackEndRecord, other: BackEndRecord): boolean {
  return (
    isSameStart(one.start, other.start) &&
    one.service === other.service &&
    one.address === other.address &&
    one.zone === other.zone &&
    one.slots === other.slots &&
    one.leaving === other.leaving &&
    (one.coldLeft ?? 0) === (other.coldLeft ?? 0) &&
    one.layers?.from === other.layers?.from &&
    one.layers?.end === other.layers?.end &&
    one.layers?.version === other.layers?.version
  );
}
