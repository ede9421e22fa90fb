/**
 * A table service that supports waiting for changes. Rows are in tables and partitions; each carries the revision that wrote
 * it, from one counter for all tables. History is kept for a limited time and does not span eras: a query for the changes
 * after a revision of an earlier era fails with `historyForgotten`.
 */
import type { Result } from '../model/result.js';
import type { PlatformError } from './errors.js';
import type { StoreRevision } from './store-revision.js';

/** A row of a table; in a list of changes, `value` is undefined if the row was deleted. */
export interface StoredRow {
  table: string;
  partition: string;
  key: string;
  value: Buffer | undefined;
  revision: StoreRevision;
}

/** Rows read at one revision. */
export interface RowsSnapshot {
  rows: StoredRow[];
  revision: StoreRevision;
  /** Time of the store's monotonic clock at the read, in milliseconds. */
  storeTime: number;
}

/** Requires that a row has the given revision; 0 requires that the row does not exist. */
export interface StoredRowCondition {
  table: string;
  partition: string;
  key: string;
  revision: StoreRevision;
}

/** Writes a row, or deletes it if `value` is undefined. */
export interface StoredRowWrite {
  table: string;
  partition: string;
  key: string;
  value: Buffer | undefined;
}

/** Outcome of a transaction. */
export type StoreOutcome =
  | { type: 'committed'; revision: StoreRevision }
  | { type: 'conflict'; rows: StoredRow[] };

/** Why changes cannot be listed; `historyForgotten` means that the requested revision is too old. */
export type ChangesError = PlatformError | { type: 'historyForgotten' };

/** Client interface of the table service. `onPart` is called for each part of an answer that arrives in parts. */
export interface WatchedTables {
  /** Reads a consistent snapshot of all rows of a partition. */
  read(
    table: string,
    partition: string,
    signal: AbortSignal,
    onPart?: () => void,
  ): Promise<Result<RowsSnapshot, PlatformError>>;
  /** Lists the rows of a table that changed after revision `after`; waits up to `wait` milliseconds for a change. */
  changes(
    query: { table: string; after: StoreRevision; wait: number },
    signal: AbortSignal,
    onPart?: () => void,
  ): Promise<Result<RowsSnapshot, ChangesError>>;
  /** Commits all writes if every condition holds, otherwise none. */
  transact(
    conditions: StoredRowCondition[],
    writes: StoredRowWrite[],
    signal: AbortSignal,
  ): Promise<Result<StoreOutcome, PlatformError>>;
}
