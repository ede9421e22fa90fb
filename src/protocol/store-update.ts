/** What the one entry of a zone that reads the store passes on to the others. */
import type { StoredRow } from '../clients/watched-tables.js';

/** The tables that are followed. */
export type FollowedTable = 'operator' | 'backEnds';

/** What is new in a table, as one who reads it passes it on. */
export interface TableUpdate {
  /** The news follow on what was known as of this revision. */
  after: number;
  revision: number;
  storeTime: number;
  /** What is new was written after this, in milliseconds of the store's clock. */
  since: number;
  rows: StoredRow[];
}

/** What is new in the store, as one process passes it on to others. */
export interface StoreUpdate extends TableUpdate {
  table: FollowedTable;
  /** Back ends that seem to be gone are kept for this long yet, in milliseconds. */
  holdsRemovalsFor: number;
}
