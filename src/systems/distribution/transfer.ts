/** State of one transfer: the chunks this machine has of a version, its neighbours and its open requests. */
import { ChunkSet } from '../../model/chunk-set.js';
import type { Digest } from '../../model/manifest.js';

/** Identity of an agent process. A new process at the same address has a new identity. */
export type PeerId = string;

/** What a machine needs to know about a peer to exchange chunks with it. */
export interface PeerInfo {
  id: PeerId;
  /** `host:port` of the peer's chunk exchange. */
  address: string;
  place: string;
  region: string;
  zone: string;
}

/** What a deployment optimizes for; see docs/design/distribution.md. */
export type Objective = 'fastest' | 'leastOriginBytes';

/** Where a chunk is fetched from. */
export type ChunkSource = { type: 'origin' } | { type: 'peer'; peer: PeerInfo };

/** Permission to fetch a chunk from a given source; `chunk` is undefined if the machine may choose it. */
export interface Grant {
  grantId: number;
  chunk: number | undefined;
  source: ChunkSource;
}

/** A peer that this machine requests chunks from. */
export interface NeighbourRow {
  info: PeerInfo;
  have: ChunkSet;
  /** Open requests of this machine at the peer. */
  outstanding: number;
  /** Length of the peer's upload queue, as it last reported. */
  queueLength: number;
  /** The peer is not asked before this time. */
  suspendedUntil: number;
  /** Consecutive requests that timed out. */
  stalls: number;
  /** Chunks from this peer that did not match their digest. */
  corruptChunks: number;
}

/** An open request for a chunk. */
export interface RequestRow {
  chunk: number;
  /** The peer the chunk is requested from; undefined for the origin. */
  peer: PeerId | undefined;
  requestedAt: number;
  deadline: number;
  /** The grant under which the request is made, if any. */
  grantId: number | undefined;
}

/** Parameters of a transfer. */
export interface TransferInit {
  version: Digest;
  chunkCount: number;
  /** Higher goes first. */
  priority: number;
  /** Places whose machines may hold chunks of this version. */
  allowedPlaces: ReadonlySet<string>;
  /** Chunks already in memory, from an earlier version. */
  have?: ChunkSet;
}

/** The state of one transfer. */
export interface Transfer {
  version: Digest;
  priority: number;
  allowedPlaces: ReadonlySet<string>;
  have: ChunkSet;
  neighbours: Map<PeerId, NeighbourRow>;
  /** Number of neighbours that have each chunk. */
  availability: Uint16Array;
  /** For each chunk, the time since which no neighbour has offered it. */
  unavailableSince: Float64Array;
  /** Open requests by chunk. */
  requests: Map<number, RequestRow>;
  /** Received grants that have not been turned into requests yet. */
  grants: Grant[];
  /** Received chunks that have not been announced to the neighbours yet. */
  unannounced: number[];
  announcedAt: number;
  reportedAt: number;
  reportedComplete: boolean;
  /** Smoothed time from a request to its chunk, in milliseconds; 0 before the first response. */
  smoothedResponseTime: number;
}

/** Creates the state of a transfer that starts at `now`. */
export function createTransfer(init: TransferInit, now: number): Transfer {
  return {
    version: init.version,
    priority: init.priority,
    allowedPlaces: init.allowedPlaces,
    have: init.have ?? new ChunkSet(init.chunkCount),
    neighbours: new Map(),
    availability: new Uint16Array(init.chunkCount),
    unavailableSince: new Float64Array(init.chunkCount).fill(now),
    requests: new Map(),
    grants: [],
    unannounced: [],
    announcedAt: now,
    reportedAt: now,
    reportedComplete: false,
    smoothedResponseTime: 0,
  };
}

/** Creates the state of a peer that has not offered any chunk yet. */
export function createNeighbour(transfer: Transfer, info: PeerInfo): NeighbourRow {
  const have = new ChunkSet(transfer.have.capacity);
  return { info, have, outstanding: 0, queueLength: 0, suspendedUntil: 0, stalls: 0, corruptChunks: 0 };
}

/** Records that a neighbour has a chunk. */
export function noteAvailable(transfer: Transfer, neighbour: NeighbourRow, chunk: number): void {
  if (neighbour.have.add(chunk)) transfer.availability[chunk]++;
}

/** Removes a neighbour and the chunks it offered. */
export function removeNeighbour(transfer: Transfer, peer: PeerId, now: number): void {
  const neighbour = transfer.neighbours.get(peer);
  if (neighbour === undefined) return;
  transfer.neighbours.delete(peer);
  for (const chunk of neighbour.have.values()) {
    transfer.availability[chunk]--;
    if (transfer.availability[chunk] === 0) transfer.unavailableSince[chunk] = now;
  }
}
