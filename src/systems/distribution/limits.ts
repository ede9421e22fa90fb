/** Limits of the chunk exchange. Durations are in milliseconds of the tick's clock. */
export interface DistributionLimits {
  /** Chunk requests that one machine keeps open over all its transfers. */
  requestsInFlight: number;
  /** Chunk requests that one machine keeps open at one peer. */
  requestsPerPeer: number;
  /** Requests that a machine queues before it refuses further ones as busy. */
  uploadQueue: number;
  /** Chunks that a machine sends at the same time. */
  uploadsActive: number;
  /** Time for a request under a grant, and for any as long as no answer has told how long one takes. */
  firstRequestTimeout: number;
  /** Shortest time before an unanswered request is given up. */
  requestTimeoutFloor: number;
  /** A request is given up after this many times the usual answer time. */
  requestTimeoutFactor: number;
  /** Time for one draw from the origin. */
  originFetchTimeout: number;
  /** A request older than this, and than the usual answer time, may be moved to another peer at the end. */
  overdueTimeFloor: number;
  /** Time for which a peer that refused as busy is not asked again. */
  busyBackoff: number;
  /** Time for which a peer that let a request time out is not asked again; doubles with each strike. */
  stallBackoff: number;
  /** Corrupt chunks after which a peer is not asked again in this transfer. */
  maxCorruptChunks: number;
  /** Longest time between two announcements of new chunks to neighbours. */
  announceInterval: number;
  /** Shortest time between two announcements; in between, half of the usual answer time. */
  announceIntervalFloor: number;
  /** Time between two progress reports to the coordinator. */
  reportInterval: number;
  /** A missing chunk that no neighbour has offered for this long is reported as starving. */
  starvationTime: number;
}

/** Defaults, measured with `thistleway bench burst`; see docs/design/distribution.md. */
export const DEFAULT_DISTRIBUTION_LIMITS: DistributionLimits = {
  requestsInFlight: 12,
  requestsPerPeer: 2,
  uploadQueue: 16,
  uploadsActive: 2,
  firstRequestTimeout: 10_000,
  requestTimeoutFloor: 2_000,
  requestTimeoutFactor: 4,
  originFetchTimeout: 20_000,
  overdueTimeFloor: 500,
  busyBackoff: 250,
  stallBackoff: 1_000,
  maxCorruptChunks: 2,
  announceInterval: 500,
  announceIntervalFloor: 20,
  reportInterval: 5_000,
  starvationTime: 3_000,
};
