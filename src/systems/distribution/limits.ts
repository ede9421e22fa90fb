/** Limits of the chunk exchange. Durations are in milliseconds of the clock passed to `tick`. */
export interface DistributionLimits {
  /** Concurrent chunk requests of one machine over all its transfers, apart from those under grants. */
  requestsInFlight: number;
  /** Concurrent chunk requests of one machine to one peer. */
  requestsPerPeer: number;
  /** Queued upload requests above which a machine refuses further ones as busy. */
  uploadQueue: number;
  /** Concurrent uploads of one machine. */
  uploadsActive: number;
  /** Timeout of a request made under a grant, and of any request until the response time of the peer is known. */
  firstRequestTimeout: number;
  /** Lower bound of the request timeout. */
  requestTimeoutFloor: number;
  /** Request timeout as a multiple of the smoothed response time. */
  requestTimeoutFactor: number;
  /** Timeout of one fetch from the origin. */
  originFetchTimeout: number;
  /**
   * Once every missing chunk is requested, a request older than both this and the smoothed response time may be
   * reassigned to another peer.
   */
  overdueTimeFloor: number;
  /** Time for which a peer is not asked again after it refused as busy. */
  busyBackoff: number;
  /** Time for which a peer is not asked again after a request to it timed out; doubles with each consecutive timeout. */
  stallBackoff: number;
  /** Number of corrupt chunks after which a peer is excluded from this transfer. */
  maxCorruptChunks: number;
  /** Upper bound of the time between two announcements of new chunks to neighbours. */
  announceInterval: number;
  /** Lower bound of the same; between the two bounds, the interval is half of the smoothed response time. */
  announceIntervalFloor: number;
  /** Time between two progress reports to the coordinator. */
  reportInterval: number;
  /** A missing chunk that no neighbour has offered for this long is reported as starving. */
  starvationTime: number;
}

/** Defaults, with which `thistleway bench burst` simulates a burst; see docs/design/distribution.md. */
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
