/**
 * Tells the operator of records that cannot be used: a log line when one turns bad, and a count by what is wrong. A record
 * that is written again with the same fault, as a back end's is at each heartbeat, is not told of again.
 */
import type { StoredRow } from '../clients/watched-tables.js';
import type { Log } from '../observability/log.js';
import type { MetricSource } from '../observability/metrics.js';
import type { RecordFault, RecordFaultKind } from './record-decoder.js';

/** Where a record lies. */
export type RecordPlace = Pick<StoredRow, 'table' | 'key' | 'revision'>;

/** The records of some tables that cannot be used. */
export class RecordFaults {
  /** Records and entries of records told of since the start. */
  readonly counts: Record<RecordFaultKind, number> = { unreadable: 0, missing: 0, type: 0, value: 0 };
  readonly #log: Log;
  /** What was told last of each bad record, by table and key. */
  readonly #told = new Map<string, Map<string, string>>();

  constructor(log: Log) {
    this.#log = log;
  }

  /** The counts as a metric. */
  get metric(): MetricSource {
    return {
      name: 'records_left_out',
      help: 'Records of the store, and entries of them, that could not be used since the start, by what is wrong',
      label: 'kind',
      read: () => ({ ...this.counts }),
    };
  }

  /** Notes a record that is written again at every heartbeat: told of when its fault changes. */
  noteRepeated(place: RecordPlace, fault: RecordFault): void {
    if (this.#isNews(place, fault.reason)) this.#tell(place, fault);
  }

  /** Notes a record that is written when it changes: told of at each revision. */
  noteRevision(place: RecordPlace, fault: RecordFault): void {
    if (this.#isNews(place, String(place.revision))) this.#tell(place, fault);
  }

  /** Notes the entries that are left out of a record which holds but for them. */
  noteLeftOut(place: RecordPlace, faults: readonly RecordFault[]): void {
    if (faults.length === 0) return this.noteGood(place);
    if (!this.#isNews(place, String(place.revision))) return;
    for (const fault of faults) this.#tell(place, fault, 'entry of a record left out');
  }

  /** Notes a record that can be used, or is gone. */
  noteGood({ table, key }: Pick<RecordPlace, 'table' | 'key'>): void {
    this.#told.get(table)?.delete(key);
  }

  /** Forgets the records of `table` that are not among `keys`. */
  keepOnly(table: string, keys: ReadonlySet<string>): void {
    const told = this.#told.get(table);
    for (const key of told?.keys() ?? []) if (!keys.has(key)) told!.delete(key);
  }

  #isNews({ table, key }: RecordPlace, mark: string): boolean {
    const told = this.#told.get(table) ?? new Map<string, string>();
    this.#told.set(table, told);
    if (told.get(key) === mark) return false;
    told.set(key, mark);
    return true;
  }

  #tell({ table, key, revision }: RecordPlace, fault: RecordFault, message = 'record left out'): void {
    this.counts[fault.kind]++;
    this.#log.warn(message, { table, key, revision, kind: fault.kind, reason: fault.reason });
  }
}
