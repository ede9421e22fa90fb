/** Decodes rows of the store. Implementations hide the platform's encoding and field names. */
import type { StoredRow } from '../clients/watched-tables.js';
import type { Result } from '../model/result.js';
import type { BackEndRecord } from '../protocol/back-end-list-state.js';
import type { ConfigurationDocument } from './fleet-view.js';

/** What is wrong with a record; used as a metric label. */
export type RecordFaultKind =
  /** The bytes are not text in the platform's encoding. */
  | 'unreadable'
  /** A required field is missing. */
  | 'missing'
  /** A field or the whole record has the wrong type. */
  | 'type'
  /** A field has the right type but an invalid value. */
  | 'value';

/** Why a record, or an entry of one, cannot be used. */
export interface RecordFault {
  kind: RecordFaultKind;
  /** The path of the fault in the record and its nature; never the record's content, which may be long or secret. */
  reason: string;
}

/** What a row that the operator writes contains. */
export type OperatorRecord =
  | { type: 'configuration'; document: ConfigurationDocument }
  | { type: 'namedVersion'; model: string; version: number }
  /** The back ends of `zone` get no new requests; in service again once the row is removed. */
  | { type: 'evacuation'; zone: string; isEvacuated: boolean };

/** Decodes rows; never throws, whatever bytes they contain. */
export interface RecordDecoder {
  /** Tables to which the operator and the back ends write. */
  readonly operatorTable: string;
  readonly backEndTable: string;
  /** Returns undefined for a row that this system does not use. */
  operatorRecord(row: StoredRow): Result<OperatorRecord, RecordFault> | undefined;
  configuration(document: Buffer): Result<ConfigurationDocument, RecordFault>;
  backEnd(row: StoredRow): Result<BackEndRecord, RecordFault>;
}
