/** The platform's list of back ends, in the form in which entries exchange it. */
import type { StoreRevision } from '../clients/store-revision.js';
import type { BackEndIdentity } from '../model/back-end-identity.js';

/** The contiguous range of model layers that a back end holds. */
export interface HeldLayers {
  from: number;
  /** Exclusive end of the range. */
  end: number;
  version: number;
}

/** The record that a back end publishes about itself; each start of the back end has one. */
export interface BackEndRecord extends BackEndIdentity {
  service: string;
  address: string;
  zone: string;
  /** Number of requests that it runs concurrently. */
  slots: number;
  leaving: boolean;
  /** Undefined if the service has no weights or the back end holds none. */
  layers: HeldLayers | undefined;
  /** Time for which it stays cold after the record was written, in milliseconds; 0 or undefined if it is warm. */
  coldLeft?: number | undefined;
  /** Store revision of this record. */
  revision: StoreRevision;
}

/** A snapshot of the records at `revision`. */
export interface BackEndListState {
  revision: number;
  /** It is complete as of this time of the store, in milliseconds; undefined if its sender does not tell. */
  completeAsOf?: number | undefined;
  records: BackEndRecord[];
}
