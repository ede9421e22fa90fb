/** Store changes that the one entry of a zone that reads the store forwards to the others. */
import type { StoredRow } from '../clients/watched-tables.js';
import type { RevisedDocument } from './configuration-update.js';

/** The tables that are followed. */
export type FollowedTable = 'operator' | 'backEnds';

/** Changes of a table, as forwarded by the process that reads it. */
export interface TableUpdate {
  /** The changes follow on the state as of this revision. */
  after: number;
  revision: number;
  storeTime: number;
  /** The changes were written after this time, in milliseconds of the store's clock. */
  since: number;
  rows: StoredRow[];
  /**
   * The message has no changes: it tells that a long answer of the store is arriving at its sender, so that others do not request
   * it as well. Absent otherwise.
   */
  isLongAnswerArriving?: true;
}

/** Changes of one store table, as sent to other processes. */
export interface StoreUpdate extends TableUpdate {
  table: FollowedTable;
}

/** Changes of the operator's table that contain configurations, taken apart. */
export interface ConfigurationChange {
  /** The newest configuration; undefined if the store has listed it, or a newer one, before. */
  latest: RevisedDocument | undefined;
  /** The other rows, and those that are no valid configuration. */
  otherRows: StoredRow[];
}
