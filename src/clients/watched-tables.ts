/**
 * A table service whose changes can be waited for. Rows lie in tables and partitions; each carries the revision, of one
 * counter for all tables, that wrote it. History is kept for a limited time only, and is not kept over the end of an era:
 * whoever asks for the changes after a revision of a former one is told that it is forgotten.
 */
import type { Result } from '../model/result.js';
import type { PlatformError } from './errors.js';
import type { StoreRevision } from './store-revision.js';

/** A row as it stands; `value` is undefined in a list of changes where the row was deleted. */
export interface StoredRow {
  table: string;
  partition: string;
  key: string;
  value: Buffer | undefined;
  revision: StoreRevision;
}

/** Rows as of one revision. */
export interface RowsSnapshot {
  rows: StoredRow[];
  revision: StoreRevision;
  /** The store's steady clock at that moment, in milliseconds. */
  storeTime: number;
}

/** Requires that a row has a certain revision; 0 requires that there is none. */
export interface StoredRowCondition {
  table: string;
  partition: string;
  key: string;
  revision: StoreRevision;
}

/** Writes a row, or deletes it where `value` is undefined. */
export interface StoredRowWrite {
  table: string;
  partition: string;
  key: string;
  value: Buffer | undefined;
}

/** What became of a transaction. */
export type StoreOutcome =
  | { type: 'committed'; revision: StoreRevision }
  | { type: 'conflict'; rows: StoredRow[] };

/** Why changes cannot be listed. */
export type ChangesError = PlatformError | { type: 'historyForgotten' };

/** The table service. Where an answer comes in parts, `onPart` is called with each. */
export interface WatchedTables {
  /** All rows of a partition, as of one moment. */
  read(
    table: string,
    partition: string,
    signal: AbortSignal,
    onPart?: () => void,
  ): Promise<Result<RowsSnapshot, PlatformError>>;
  /** The rows of a table changed after `revision`; waits up to `wait` milliseconds for one. */
  changes(
    query: { table: string; after: StoreRevision; wait: number },
    signal: AbortSignal,
    onPart?: () => void,
  ): Promise<Result<RowsSnapshot, ChangesError>>;
  /** All of the writes if every condition holds, or none. */
  transact(
    conditions: StoredRowCondition[],
    writes: StoredRowWrite[],
    signal: AbortSignal,
  ): Promise<Result<StoreOutcome, PlatformError>>;
}
