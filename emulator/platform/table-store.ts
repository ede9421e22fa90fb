/** The tables of the stand-in: rows with revisions, conditional transactions, a log of operations. */
import type { Changes, Row, Transaction, TransactionOutcome } from '../../src/clients/table-service.js';

/** A transactional table store in memory. */
export class TableStore {
  readonly #rows = new Map<string, Row>();
  readonly #operations = new Map<string, number>();
  #revision = 0;

  get revision(): number {
    return this.#revision;
  }

  /** Commits all of the writes, or none. The same operation id commits once. */
  transact(transaction: Transaction): TransactionOutcome {
    const earlier = this.#operations.get(transaction.operationId);
    if (earlier !== undefined) return { type: 'committed', revision: earlier };
    const unmet = transaction.conditions.filter(
      ({ table, key, revision }) => this.#revisionOf(table, key) !== revision,
    );
    if (unmet.length > 0) {
      const rows = unmet.map(({ table, key }) => ({ table, key, revision: this.#revisionOf(table, key) }));
      return { type: 'conflict', rows };
    }
    this.#revision++;
    for (const { table, key, value } of transaction.writes) {
      this.#rows.set(`${table}/${key}`, { table, key, value, revision: this.#revision });
    }
    this.#operations.set(transaction.operationId, this.#revision);
    return { type: 'committed', revision: this.#revision };
  }

  /** Rows written after `since`, deleted ones with a null value. */
  changes(since: number): Changes {
    const rows = [...this.#rows.values()].filter((row) => row.revision > since);
    return { revision: this.#revision, rows: since === 0 ? rows.filter((row) => row.value !== null) : rows };
  }

  /** The revision that an operation committed. */
  operation(operationId: string): number | undefined {
    return this.#operations.get(operationId);
  }

  #revisionOf(table: string, key: string): number {
    const row = this.#rows.get(`${table}/${key}`);
    return row === undefined || row.value === null ? 0 : row.revision;
  }
}
