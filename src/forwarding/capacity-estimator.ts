/**
 * Estimates when back ends of a service take requests again: engines that switch to a version or load one, and back ends that
 * back off. Times are in milliseconds of the monotonic clock.
 */
import type { EngineShape } from '../fleet/configuration.js';
import type { FleetView } from '../fleet/fleet-view.js';
import type { AllowedRegions } from '../systems/allowed-regions.js';
import type { BackEndBackoffs } from './back-end-backoffs.js';
import { type BackEndRow, type BackEndTable, completeVersion, isInSwitch } from './back-end-table.js';

/** Assumed time to the first answer of a back end that has not answered yet, in milliseconds. */
const DEFAULT_FIRST_ANSWER = 100;
/** Usual time from the order to switch to a version until the engine takes requests on it, in milliseconds. */
const SWITCH_TIME = 400;

/**
 * Time after its start within which an entry receives the first reports on its engines, in milliseconds: they arrive
 * after 0.5 to 0.9 s.
 */
const FIRST_REPORT_TIME = 1_500;
/**
 * Time in which an engine without weights is expected to serve if `FIRST_REPORT_TIME` has not passed and its agent has
 * not reported on it yet, in milliseconds: fetching a copy of the weights takes 3.5 to 4.3 s.
 */
const FIRST_WEIGHTS_TIME = 4_000;

/** When back ends of a service are expected to take requests again. */
export interface ExpectedCapacity {
  /** Time until then, in milliseconds; infinite if none is expected to. */
  wait: number;
  /** True if the back ends themselves have asked for this time, false if it is estimated. */
  isBackoff: boolean;
}

export interface CapacityEstimatorOptions {
  fleet: FleetView;
  table: Pick<BackEndTable, 'ofService'>;
  backoffs: Pick<BackEndBackoffs, 'isProbed' | 'timeLeft'>;
  /** Lowest version on which a request may start at `now`; 0 if any. */
  lowestVersion: (engine: EngineShape, now: number) => number;
  /** Whether a back end gets no requests of any kind until this changes. */
  isOutOfService: (row: BackEndRow) => boolean;
  /** Whether a back end stands in an allowed region. */
  isInRegions: (row: BackEndRow, allowed: AllowedRegions) => boolean;
}

/** Estimates the capacity of one entry's services. */
export class CapacityEstimator {
  readonly #options: CapacityEstimatorOptions;
  readonly #createdAt = performance.now();

  constructor(options: CapacityEstimatorOptions) {
    this.#options = options;
  }

  /**
   * When a back end of `service` in `regions` is expected to take requests; undefined if some do now, but not every request can be placed,
   * or if nothing is known of it.
   */
  timeToCapacity(service: string, regions?: AllowedRegions): ExpectedCapacity | undefined {
    const now = performance.now();
    const engine = this.#options.fleet.routes?.service(service)?.engine;
    let soonest: ExpectedCapacity = { wait: Number.POSITIVE_INFINITY, isBackoff: false };
    for (const row of this.#options.table.ofService(service)) {
      if (this.#options.isOutOfService(row) || !this.#options.isInRegions(row, regions)) continue;
      const backoff = this.#timeToAdmission(row, now);
      const serves = engine === undefined || this.#serves(row, engine, backoff, now);
      if (serves && backoff === 0) return undefined;
      const estimate = serves ? 0 : this.#timeToVersion(row, engine, now);
      const wait = Math.max(backoff, estimate);
      if (wait < soonest.wait) soonest = { wait, isBackoff: backoff >= estimate };
    }
    return engine === undefined && !soonest.isBackoff ? undefined : soonest;
  }

  /** Time until `row` may get requests without restriction as far as its back-off is concerned, in milliseconds. */
  #timeToAdmission({ record, firstAnswerTime }: BackEndRow, now: number): number {
    const left = this.#options.backoffs.timeLeft(record, now);
    if (left > 0 || !this.#options.backoffs.isProbed(record)) return left;
    return firstAnswerTime || DEFAULT_FIRST_ANSWER;
  }

  /** Whether an engine takes requests now, or at the end of its back-off. */
  #serves(row: BackEndRow, engine: EngineShape, backoff: number, now: number): boolean {
    if (!this.#holdsAllowedVersion(row, engine, now) || isInSwitch(row)) return false;
    // The refusal that asked for the back-off has paused it too, for a shorter time.
    return backoff > 0 || row.health.admits(now, true);
  }

  #holdsAllowedVersion(row: BackEndRow, engine: EngineShape, now: number): boolean {
    const version = completeVersion(row, engine.layers);
    return version > 0 && version >= this.#options.lowestVersion(engine, now);
  }

  /** Expected time until an engine has switched to a version on which requests may start, in milliseconds. */
  #timeToVersion(row: BackEndRow, engine: EngineShape, now: number): number {
    const { news } = row;
    if (news === undefined) {
      const isNew = now - this.#createdAt < FIRST_REPORT_TIME;
      return isNew && completeVersion(row, engine.layers) === 0
        ? FIRST_WEIGHTS_TIME
        : Number.POSITIVE_INFINITY;
    }
    // One that runs out of requests ahead of a version states when it will be ordered to load it.
    if (news.isSwitching)
      return SWITCH_TIME + (Number.isFinite(news.switchAt) ? Math.max(0, news.switchAt - now) : 0);
    if (this.#holdsAllowedVersion(row, engine, now)) return Number.POSITIVE_INFINITY;
    return Math.max(0, news.switchAt + SWITCH_TIME - now);
  }
}
