/** Limits the size of the table of settled operations by deleting the oldest rows, which clients no longer query. */
import { type Configuration, TABLES } from './configuration.js';
import type { DutyLease } from './duty-lease.js';

/** Number of rows kept: half a day at 3,800 changes a day. */
const OPERATIONS_KEPT = 2_000;
/** Number of rows deleted in one transaction. */
const DELETED_AT_ONCE = 200;

/** The operations duty of one entry. Must be run only while the lease is held. */
export class OperationsDuty {
  readonly #configuration: Configuration;
  readonly #lease: DutyLease;

  constructor(configuration: Configuration, lease: DutyLease) {
    this.#configuration = configuration;
    this.#lease = lease;
  }

  /** Deletes a batch of the oldest rows when the table exceeds its limit by a full batch. */
  async review(): Promise<void> {
    const rows = this.#configuration.rows(TABLES.operations);
    if (rows.length < OPERATIONS_KEPT + DELETED_AT_ONCE) return;
    const oldest = rows.sort((a, b) => a.revision - b.revision).slice(0, DELETED_AT_ONCE);
    await this.#lease.write(
      [],
      oldest.map(({ table, key }) => ({ table, key, value: null })),
    );
  }
}
