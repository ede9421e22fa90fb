/**
 * Detects outages of the store that are long enough for records of running back ends to expire. The store counts as available
 * whenever it has answered any process: a process that loses its own connection, or all its connections, learns from others that
 * the store was there meanwhile.
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

/** A time in which the store has answered without an outage, in milliseconds of its clock. */
export interface AvailableTime {
  since: number;
  until: number;
}

/** Detects outages from the times of the store's answers. */
export class StoreOutages {
  readonly #shortest: number;
  #available: AvailableTime | undefined;
  /** The time before the latest outage. */
  #before: AvailableTime | undefined;

  /** @param heartbeatInterval - interval at which back ends write their records, in milliseconds */
  constructor(heartbeatInterval: number) {
    this.#shortest = Math.max(SHORTEST_OUTAGE * heartbeatInterval, LONGEST_TAKEOVER);
  }

  /**
   * Adds an answer. Returns the time since the latest one before it if records may have expired in between, in milliseconds,
   * and undefined otherwise.
   */
  noteAnswer({ storeTime }: StoreAnswer): number | undefined {
    const known = this.#available;
    const silence = storeTime - (known?.until ?? storeTime);
    const isOutage = silence >= this.#shortest;
    if (isOutage) this.#before = known;
    if (isOutage || known === undefined) this.#available = { since: storeTime, until: storeTime };
    else known.until = Math.max(known.until, storeTime);
    return isOutage ? silence : undefined;
  }

  /** The time up to the latest answer in which the store has been available; undefined before the first answer. */
  get available(): AvailableTime | undefined {
    return this.#available;
  }

  /**
   * Adds a time in which the store has been available to another process. Returns whether the latest outage here was none: this
   * process alone, and those that it hears from, got no answers.
   */
  noteAvailable(other: AvailableTime): boolean {
    const [before, known] = [this.#before, this.#available];
    const isBridged =
      before !== undefined &&
      known !== undefined &&
      this.#isContiguous(before, other) &&
      this.#isContiguous(other, known);
    if (isBridged) this.#before = undefined;
    if (known === undefined || this.#isContiguous(known, other))
      this.#available = union(known ?? other, other);
    if (isBridged) this.#available = union(this.#available ?? other, before);
    return isBridged;
  }

  /** Whether no outage can have been between two times. */
  #isContiguous(one: AvailableTime, other: AvailableTime): boolean {
    return one.since - other.until < this.#shortest && other.since - one.until < this.#shortest;
  }
}

function union(one: AvailableTime, other: AvailableTime): AvailableTime {
  return { since: Math.min(one.since, other.since), until: Math.max(one.until, other.until) };
}
