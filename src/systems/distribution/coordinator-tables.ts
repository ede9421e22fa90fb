/** State of a burst's coordinator. */
import type { ChunkSet } from '../../model/chunk-set.js';
import type { ChunkSource, PeerId, PeerInfo } from './transfer.js';

/** A machine that takes part in the burst. */
export interface MemberRow {
  info: PeerInfo;
  /** Position in the order of joining. */
  joinIndex: number;
  /** Chunks it is known to have, from its join message and its completed grants. */
  known: ChunkSet;
  /** Number of chunks it has, as last reported. */
  have: number;
  /** Number of neighbours, assigned in either direction. */
  degree: number;
  /** Open grants that it holds. */
  grants: number;
  /** Grants it has ever received, used to spread the transfers into a region over its machines. */
  totalGrants: number;
  /** Open grants that use it as the source. */
  serving: number;
}

/** A grant that has not ended. */
export interface GrantRow {
  grantId: number;
  member: PeerId;
  /** Undefined if the member may choose the chunk. */
  chunk: number | undefined;
  source: ChunkSource;
  deadline: number;
}

/** Whether a region has its first copy of a chunk (its seed). */
export enum SeedState {
  Missing = 0,
  Granted = 1,
  Present = 2,
}

/** The members of a region and the state of each chunk there. */
export interface RegionRow {
  region: string;
  members: Set<PeerId>;
  /** {@link SeedState} of each chunk. */
  seeds: Uint8Array;
}
