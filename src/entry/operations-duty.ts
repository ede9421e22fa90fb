/** Keeps the table of settled operations short: the oldest rows go once nobody can still ask for them. */
import { type Configuration, TABLES } from './configuration.js';
import type { DutyLease } from './duty-lease.js';

/** Rows kept; at 3,800 changes a day they reach back half a day. */
const OPERATIONS_KEPT = 2_000;
/** Rows deleted in one transaction. */
const DELETED_AT_ONCE = 200;

/** The duty of one entry; it acts only while the lease is held. */
export class OperationsDuty {
  readonly #configuration: Configuration;
  readonly #lease: DutyLease;

  constructor(configuration: Configuration, lease: DutyLease) {
    this.#configuration = configuration;
    this.#lease = lease;
  }

  /** Deletes the oldest rows beyond those kept. */
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
