/**
 * Reports records that cannot be used to the operator: one log line when a record becomes invalid, and a counter by kind of
 * fault. A record that is written again with the same fault, as a back end's record is at each heartbeat, is not reported again.
 */
import type { StoredRow } from '../clients/watched-tables.js';
import type { Log } from '../observability/log.js';
import type { MetricSource } from '../observability/metrics.js';
import type { RecordFault, RecordFaultKind } from './record-decoder.js';

/** Identifies a revision of a record. */
export type RecordLocation = Pick<StoredRow, 'table' | 'key' | 'revision'>;

/** Tracks the invalid records of several tables. */
export class RecordFaults {
  /** Invalid records, and invalid entries of records, reported since the process started. */
  readonly counts: Record<RecordFaultKind, number> = { unreadable: 0, missing: 0, type: 0, value: 0 };
  readonly #log: Log;
  /** What was last reported about each invalid record, by table and key. */
  readonly #reported = new Map<string, Map<string, string>>();

  constructor(log: Log) {
    this.#log = log;
  }

  get metric(): MetricSource {
    return {
      name: 'records_left_out',
      help: 'Records of the store, and entries of them, that could not be used since the start, by what is wrong',
      label: 'kind',
      read: () => ({ ...this.counts }),
    };
  }

  /** Handles a record that is written again at each heartbeat: reported only when its fault changes. */
  noteRepeated(place: RecordLocation, fault: RecordFault): void {
    if (this.#markReported(place, fault.reason)) this.#report(place, fault);
  }

  /** Handles a record that is written only when it changes: reported at each revision. */
  noteRevision(place: RecordLocation, fault: RecordFault): void {
    if (this.#markReported(place, String(place.revision))) this.#report(place, fault);
  }

  /** Handles a valid record some of whose entries were skipped. */
  noteSkippedEntries(place: RecordLocation, faults: readonly RecordFault[]): void {
    if (faults.length === 0) return this.noteValid(place);
    if (!this.#markReported(place, String(place.revision))) return;
    for (const fault of faults) this.#report(place, fault, 'entry of a record left out');
  }

  /** Handles a record that is valid or was deleted. */
  noteValid({ table, key }: Pick<RecordLocation, 'table' | 'key'>): void {
    this.#reported.get(table)?.delete(key);
  }

  /** Forgets the records of `table` whose keys are not in `keys`. */
  retainOnly(table: string, keys: ReadonlySet<string>): void {
    const reported = this.#reported.get(table);
    for (const key of reported?.keys() ?? []) if (!keys.has(key)) reported!.delete(key);
  }

  #markReported({ table, key }: RecordLocation, mark: string): boolean {
    const reported = this.#reported.get(table) ?? new Map<string, string>();
    this.#reported.set(table, reported);
    if (reported.get(key) === mark) return false;
    reported.set(key, mark);
    return true;
  }

  #report({ table, key, revision }: RecordLocation, fault: RecordFault, message = 'record left out'): void {
    this.counts[fault.kind]++;
    this.#log.warn(message, { table, key, revision, kind: fault.kind, reason: fault.reason });
  }
}
