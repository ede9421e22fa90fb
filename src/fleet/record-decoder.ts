/** The contract of what reads the store's rows: the words of a platform stay behind it. */
import type { StoredRow } from '../clients/watched-tables.js';
import type { BackEndRecord } from './back-end-list.js';
import type { ConfigurationDocument } from './fleet-view.js';

/** What the operator wrote in one row. */
export type OperatorRecord =
  | { type: 'configuration'; document: ConfigurationDocument }
  | { type: 'namedVersion'; model: string; version: number };

/** Reads rows; undefined stands for a row that says nothing to this system. */
export interface RecordDecoder {
  /** Tables in which the operator and the back ends write. */
  readonly operatorTable: string;
  readonly backEndTable: string;
  operatorRecord(row: StoredRow): OperatorRecord | undefined;
  configuration(document: Buffer): ConfigurationDocument | undefined;
  backEnd(row: StoredRow): BackEndRecord | undefined;
}
