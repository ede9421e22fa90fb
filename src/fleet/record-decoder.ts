/** The contract of what reads the store's rows: the words of a platform stay behind it. */
import type { StoredRow } from '../clients/watched-tables.js';
import type { Result } from '../model/result.js';
import type { BackEndRecord } from '../protocol/back-end-list-state.js';
import type { ConfigurationDocument } from './fleet-view.js';

/** What is wrong with a record, as it is counted. */
export type RecordFaultKind =
  /** Bytes that are no text of the platform's encoding. */
  | 'unreadable'
  /** A field that has to be there is not. */
  | 'missing'
  /** A field, or the whole record, is of another type. */
  | 'type'
  /** A field is of its type, but says what none may say. */
  | 'value';

/** Why a record, or an entry of one, cannot be used. */
export interface RecordFault {
  kind: RecordFaultKind;
  /** Where it lies in the record, and what is wrong there; never what the record says, which may be long or secret. */
  reason: string;
}

/** What the operator wrote in one row. */
export type OperatorRecord =
  | { type: 'configuration'; document: ConfigurationDocument }
  | { type: 'namedVersion'; model: string; version: number };

/** Reads rows. Whatever bytes they hold, nothing is thrown. */
export interface RecordDecoder {
  /** Tables in which the operator and the back ends write. */
  readonly operatorTable: string;
  readonly backEndTable: string;
  /** Undefined where the row is none that this system reads. */
  operatorRecord(row: StoredRow): Result<OperatorRecord, RecordFault> | undefined;
  configuration(document: Buffer): Result<ConfigurationDocument, RecordFault>;
  backEnd(row: StoredRow): Result<BackEndRecord, RecordFault>;
}
