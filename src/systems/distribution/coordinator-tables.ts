/** The tables of a burst's coordinator. */
import type { ChunkSet } from '../../model/chunk-set.js';
import type { ChunkSource, PeerId, PeerInfo } from './transfer.js';

/** A machine that takes part in the burst. */
export interface MemberRow {
  info: PeerInfo;
  /** Position in the order of joining. */
  joinIndex: number;
  /** Chunks known to be there: from its joining message and its ended grants. */
  known: ChunkSet;
  /** Number of chunks it has, as last reported. */
  have: number;
  /** Neighbours that it was told of, and that were told of it. */
  degree: number;
  /** Grants that it holds. */
  grants: number;
  /** Grants in all, so that the entries into a region are spread over its machines. */
  totalGrants: number;
  /** Grants that use it as the source. */
  serving: number;
}

/** A grant that has not ended. */
export interface GrantRow {
  grantId: number;
  member: PeerId;
  /** Undefined where the member may choose. */
  chunk: number | undefined;
  source: ChunkSource;
  deadline: number;
}

/** Whether a chunk has entered a region. */
export enum SeedState {
  Missing = 0,
  Granted = 1,
  Present = 2,
}

/** What is known of the chunks in one region. */
export interface RegionRow {
  region: string;
  members: Set<PeerId>;
  seeds: Uint8Array;
}
