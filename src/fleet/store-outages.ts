/**
 * Detects outages of the store that are long enough for records of running back ends to expire. The store counts as available
 * whenever it has answered any process: a process that loses its own connection learns from the answers of others that the
 * store was there.
 */
import type { StoreRevision } from '../clients/store-revision.js';

/**
 * Shortest outage during which the record of a running back end can expire, in heartbeat intervals. A record expires after
 * three intervals without a heartbeat. An outage shorter than two intervals interrupts at most two heartbeats, and the third
 * is in time; half an interval is subtracted because heartbeats may be late.
 */
const SHORTEST_OUTAGE = 1.5;
/**
 * Shorter silences, in milliseconds, also occur between the answers to a reader that loses its own connection and to the one that
 * takes over from it.
 */
const LONGEST_TAKEOVER = 1_800;

/** An answer of the store, to this process or to another. */
export interface StoreAnswer {
  /** When it was given, in milliseconds of the store's clock. */
  storeTime: number;
  /** Newest revision at that time. */
  revision: StoreRevision;
}

/** Detects outages from the times of the store's answers. */
export class StoreOutages {
  readonly #shortest: number;
  #answeredAt: number | undefined;

  /** @param heartbeatInterval - interval at which back ends write their records, in milliseconds */
  constructor(heartbeatInterval: number) {
    this.#shortest = Math.max(SHORTEST_OUTAGE * heartbeatInterval, LONGEST_TAKEOVER);
  }

  /**
   * Adds an answer. Returns the time since the latest one before it if records may have expired in between, in milliseconds,
   * and undefined otherwise.
   */
  noteAnswer({ storeTime }: StoreAnswer): number | undefined {
    const silence = storeTime - (this.#answeredAt ?? storeTime);
    this.#answeredAt = Math.max(this.#answeredAt ?? storeTime, storeTime);
    return silence >= this.#shortest ? silence : undefined;
  }
}
