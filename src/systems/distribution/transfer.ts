/** The tables of one transfer: what this machine has of a version, its neighbours and its open requests. */
import { ChunkSet } from '../../model/chunk-set.js';
import type { Digest } from '../../model/manifest.js';

/** Identity of an agent process: a process replaced under the same address has another one. */
export type PeerId = string;

/** What a machine needs to know of a peer before it exchanges chunks with it. */
export interface PeerInfo {
  id: PeerId;
  /** `host:port` of the peer's exchange. */
  address: string;
  place: string;
  region: string;
  zone: string;
}

/** Which measure a deployment weighs most; see docs/design/distribution.md. */
export type Objective = 'fastest' | 'leastOriginBytes';

/** Where a chunk is drawn from. */
export type ChunkSource = { type: 'origin' } | { type: 'peer'; peer: PeerInfo };

/** Leave to fetch a chunk from outside the region; `chunk` is undefined where the machine may choose. */
export interface Grant {
  grantId: number;
  chunk: number | undefined;
  source: ChunkSource;
}

/** A peer that this machine asks for chunks. */
export interface NeighbourRow {
  info: PeerInfo;
  have: ChunkSet;
  /** Open requests of ours at the peer. */
  outstanding: number;
  /** Length of the peer's upload queue as it last said. */
  queueLength: number;
  /** Not asked before this time. */
  suspendedUntil: number;
  /** Requests in a row that timed out. */
  stalls: number;
  /** Chunks from this peer that did not match their digest. */
  corruptChunks: number;
}

/** A chunk that was asked for and has not come yet. */
export interface RequestRow {
  chunk: number;
  /** The peer asked, or undefined for the origin. */
  peer: PeerId | undefined;
  requestedAt: number;
  deadline: number;
  /** The grant that this request uses, if any. */
  grantId: number | undefined;
}

/** How a transfer is declared. */
export interface TransferInit {
  version: Digest;
  chunkCount: number;
  /** Higher goes first. */
  priority: number;
  /** Places whose machines may hold chunks of this version. */
  allowedPlaces: ReadonlySet<string>;
  /** Chunks that are in memory already, from an earlier version. */
  have?: ChunkSet;
}

/** All rows of one transfer. */
export interface Transfer {
  version: Digest;
  priority: number;
  allowedPlaces: ReadonlySet<string>;
  have: ChunkSet;
  neighbours: Map<PeerId, NeighbourRow>;
  /** For each chunk, how many neighbours have it. */
  availability: Uint16Array;
  /** For each chunk, since when it has been missing with no neighbour that offers it. */
  unavailableSince: Float64Array;
  /** Open requests by chunk. */
  requests: Map<number, RequestRow>;
  /** Grants received and not yet turned into requests. */
  grants: Grant[];
  unannounced: number[];
  announcedAt: number;
  reportedAt: number;
  reportedComplete: boolean;
  /** Smoothed time from request to chunk, in milliseconds; 0 before the first. */
  smoothedResponseTime: number;
}

/** Creates the tables of a transfer at time `now`. */
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

/** Creates the row of a peer that has offered nothing yet. */
export function createNeighbour(transfer: Transfer, info: PeerInfo): NeighbourRow {
  const have = new ChunkSet(transfer.have.capacity);
  return { info, have, outstanding: 0, queueLength: 0, suspendedUntil: 0, stalls: 0, corruptChunks: 0 };
}

/** Notes that a neighbour has a chunk. */
export function noteAvailable(transfer: Transfer, neighbour: NeighbourRow, chunk: number): void {
  if (neighbour.have.add(chunk)) transfer.availability[chunk]++;
}

/** Removes a neighbour and all that it offered. */
export function removeNeighbour(transfer: Transfer, peer: PeerId, now: number): void {
  const neighbour = transfer.neighbours.get(peer);
  if (neighbour === undefined) return;
  transfer.neighbours.delete(peer);
  for (const chunk of neighbour.have.values()) {
    transfer.availability[chunk]--;
    if (transfer.availability[chunk] === 0) transfer.unavailableSince[chunk] = now;
  }
}
