/** The platform's list of back ends as entries hand it to one another. */
import type { StoreRevision } from '../clients/store-revision.js';
import type { BackEndIdentity } from '../model/back-end-identity.js';

/** Layers of a model that a back end holds. */
export interface HeldLayers {
  from: number;
  /** The first layer after those held. */
  end: number;
  version: number;
}

/** One start of a back end, as it tells of itself. */
export interface BackEndRecord extends BackEndIdentity {
  service: string;
  address: string;
  zone: string;
  /** Requests that it runs at the same time. */
  slots: number;
  leaving: boolean;
  /** Undefined where the service has no weights, or none are held. */
  layers: HeldLayers | undefined;
  /** The store's revision of this record. */
  revision: StoreRevision;
}

/** The records as of `revision`. */
export interface BackEndListState {
  revision: number;
  records: BackEndRecord[];
}
