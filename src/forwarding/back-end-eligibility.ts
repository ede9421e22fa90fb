/**
 * Decides whether a back end may get a request: the one place that every sender asks, whether for a first or second attempt,
 * a granted slot, the continuation of a stream or a probe. Times are in milliseconds of the monotonic clock.
 */
import type { BackEndSet } from '../fleet/back-end-identity.js';
import type { EngineShape } from '../fleet/configuration.js';
import type { FleetView } from '../fleet/fleet-view.js';
import { type AllowedRegions, allowsRegion } from '../systems/allowed-regions.js';
import type { BackEndBackoffs } from './back-end-backoffs.js';
import { type BackEndRow, type BackEndTable, isInSwitch, loadOf } from './back-end-table.js';
import type { VersionExclusion, VersionRequirements, VersionRules } from './version-rules.js';

/**
 * Share of a back end's slots that requests which cannot meet their objective may use. The rest is reserved for
 * requests that can. With half this share, those fare no better and more of the others are refused
 * (docs/design/decisions.md).
 */
const LATE_REQUEST_SHARE = 0.75;
/** Requirements of a request for its back end. */
export interface Requirements extends VersionRequirements {
  service: string;
  /** Regions in which a back end may stand. */
  regions: AllowedRegions;
  isRepeatable: boolean;
  /** If false, only back ends that can start the request at once are eligible. */
  mayQueue: boolean;
  /** Maximum number of tokens of the answer; 0 if unknown. */
  answerTokens: number;
  /** The request continues a stream whose beginning the caller has received. Such a stream cannot be moved again. */
  isContinuation: boolean;
  /** Back ends that have already been tried. */
  tried: Pick<BackEndSet, 'has'>;
  /** Back ends that back off are eligible if a request may be sent to them all the same. */
  isLastResort: boolean;
}

/** Why a back end is not eligible for a request. */
export type Exclusion =
  | 'leaving'
  | 'evacuated'
  | 'unnamedService'
  | 'region'
  | 'superseded'
  | 'tried'
  | 'suspended'
  | 'backingOff'
  | 'connections'
  | 'full'
  | 'rateLimited'
  | 'switching'
  | VersionExclusion;

/** Reasons that may no longer apply after a wait. */
const TRANSIENT: ReadonlySet<Exclusion> = new Set([
  'suspended',
  'backingOff',
  'connections',
  'full',
  'rateLimited',
]);

export interface BackEndEligibilityOptions {
  fleet: Pick<FleetView, 'routes' | 'evacuations'>;
  /** Region of a zone; undefined if the settings do not name it. */
  regionOf: (zone: string) => string | undefined;
  table: Pick<BackEndTable, 'isSuperseded'>;
  backoffs: Pick<BackEndBackoffs, 'admits' | 'timeLeft'>;
  versions: Pick<VersionRules, 'exclusionOf'>;
  /** Number of entries that send requests, including this one. */
  entryCount: () => number;
}

/** The eligibility of the back ends of one entry. */
export class BackEndEligibility {
  readonly #options: BackEndEligibilityOptions;

  constructor(options: BackEndEligibilityOptions) {
    this.#options = options;
  }

  /** Why `row` is not eligible now; undefined if it is. */
  exclusionOf(row: BackEndRow, requirements: Requirements, now: number): Exclusion | undefined {
    const { record, health } = row;
    if (record.leaving) return 'leaving';
    if (this.#isEvacuated(row)) return 'evacuated';
    if (!this.#isConfigured(record.service)) return 'unnamedService';
    if (!this.isInRegions(row, requirements.regions)) return 'region';
    if (this.isSuperseded(row)) return 'superseded';
    if (requirements.tried.has(record)) return 'tried';
    if (!this.#options.backoffs.admits(record, now, requirements.isLastResort)) return 'backingOff';
    if (!health.admits(now, requirements.isRepeatable)) return 'suspended';
    if (row.inFlight >= this.#connectionShare(record.service)) return 'connections';
    // Whatever the configuration declares: it may have dropped the engine during the switch.
    if (isInSwitch(row)) return 'switching';
    const engine = this.engineOf(requirements);
    const exclusion =
      engine === undefined ? undefined : this.#options.versions.exclusionOf(row, engine, requirements, now);
    if (exclusion !== undefined) return exclusion;
    return !requirements.mayQueue && this.#isFullForLateRequests(row) ? 'full' : undefined;
  }

  /** Whether the configuration declares `service`. Listed back ends of other services are not used. */
  #isConfigured(service: string): boolean {
    return this.#options.fleet.routes?.service(service) !== undefined;
  }

  /** Whether another back end has since started at the address of `row`. */
  isSuperseded(row: BackEndRow): boolean {
    return this.#options.table.isSuperseded(row, (service) => this.#isConfigured(service));
  }

  /** Whether a back end stands in an allowed region; one of a zone that the settings do not name stands in none. */
  isInRegions({ record }: BackEndRow, allowed: AllowedRegions): boolean {
    return allowed === undefined || allowsRegion(allowed, this.#options.regionOf(record.zone));
  }

  /** Whether a back end gets no requests of any kind until this changes; its slots do not count as capacity. */
  isOutOfService(row: BackEndRow): boolean {
    return row.record.leaving || this.#isEvacuated(row) || this.isSuperseded(row);
  }

  /** Whether a back end wants no more requests at all, or none for now. */
  isUnavailable(row: BackEndRow, now: number): boolean {
    const { record } = row;
    return record.leaving || this.#isEvacuated(row) || this.#options.backoffs.timeLeft(record, now) > 0;
  }

  /** Whether the operator has taken the zone of a back end out of service. */
  #isEvacuated({ record }: BackEndRow): boolean {
    return this.#options.fleet.evacuations.has(record.zone);
  }

  /** Whether the reason for which `row` is excluded may no longer apply after a wait. */
  mayBecomeEligible(row: BackEndRow, requirements: Requirements, now: number): boolean {
    const exclusion = this.exclusionOf(row, requirements, now);
    return exclusion === undefined || TRANSIENT.has(exclusion);
  }

  /**
   * The engines of a request's service, as declared in the current configuration. If that no longer declares any, as
   * declared when the request was admitted.
   */
  engineOf({ service, engine }: Requirements): EngineShape | undefined {
    return this.#options.fleet.routes?.service(service)?.engine ?? engine;
  }

  /** Maximum number of connections from this entry to one back end; the configured maximum is shared by all entries. */
  #connectionShare(service: string): number {
    const all = this.#options.fleet.routes?.service(service)?.maxConnections ?? 0;
    return all === 0 ? Number.POSITIVE_INFINITY : Math.max(2, Math.floor(all / 3));
  }

  /**
   * Whether a request that cannot meet its objective would delay one that can. Each entry uses only its share of the slots,
   * because entries learn of one another's requests late and make the same choices.
   */
  #isFullForLateRequests(row: BackEndRow): boolean {
    const slots = LATE_REQUEST_SHARE * row.record.slots;
    const share = Math.max(1, Math.floor(slots / this.#options.entryCount()));
    return row.inFlight >= share || loadOf(row) >= slots;
  }
}
