/**
 * The back ends as the store lists them, which decides what a process that reads the store forwards to others. What this process
 * knows beyond the store does not count, as the others may not know it: statements of back ends in their answers, reports of agents,
 * and lists of other entries.
 */
import type { RowsSnapshot, StoredRow } from '../clients/watched-tables.js';
import type { Result } from '../model/result.js';
import type { BackEndRecord } from '../protocol/back-end-list-state.js';
import { hasSameContent } from './back-end-list.js';
import type { RecordFault } from './record-decoder.js';

type RowsAsOf = Pick<RowsSnapshot, 'rows' | 'revision'>;

/** The latest valid record of each back end in the store. */
export class ListedBackEnds {
  readonly #decode: (row: StoredRow) => Result<BackEndRecord, RecordFault>;
  readonly #records = new Map<string, BackEndRecord>();
  #revision = 0;

  /** @param decode - called for rows with a value */
  constructor(decode: (row: StoredRow) => Result<BackEndRecord, RecordFault>) {
    this.#decode = decode;
  }

  /** Replaces the list by a whole table, unless that is older. */
  replace({ rows, revision }: RowsAsOf): void {
    if (revision < this.#revision) return;
    this.#records.clear();
    for (const row of rows) this.#apply(row);
    this.#revision = revision;
  }

  /**
   * Applies changes, and returns those rows that others need: all but heartbeats. Rows that were applied before, as another process has
   * forwarded them, are among them, since they may be new to some of the others.
   */
  apply({ rows, revision }: RowsAsOf): StoredRow[] {
    const needed = rows.filter((row) => {
      const isNew = row.revision > this.#revision;
      const isChange = isNew && this.#apply(row);
      return !isNew || isChange || row.value === undefined;
    });
    this.#revision = Math.max(this.#revision, revision);
    return needed;
  }

  /** Applies one row; returns whether it changes anything. An invalid row counts as a removal. */
  #apply(row: StoredRow): boolean {
    const known = this.#records.get(row.key);
    const decoded = row.value === undefined ? undefined : this.#decode(row);
    if (decoded?.ok !== true) return this.#records.delete(row.key);
    this.#records.set(row.key, decoded.value);
    return (
      known === undefined || known.start !== decoded.value.start || !hasSameContent(known, decoded.value)
    );
  }
}
