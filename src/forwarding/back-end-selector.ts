/** Selects a back end for a request from those that are eligible. */
import type { FleetView } from '../fleet/fleet-view.js';
import type { Random } from '../model/random.js';
import type { AllowedRegions } from '../systems/allowed-regions.js';
import type { SlotCandidate } from '../systems/slot-search.js';
import type { BackEndBackoffs } from './back-end-backoffs.js';
import { BackEndEligibility, type Exclusion, type Requirements } from './back-end-eligibility.js';
import type { BackEndLimits } from './back-end-limits.js';
import { type BackEndRow, type BackEndTable, completeVersion, isLoadReported } from './back-end-table.js';
import { addSlowness, CandidateEstimates } from './candidate-estimates.js';
import { CapacityEstimator, type ExpectedCapacity } from './capacity-estimator.js';
import type { DirectPermits } from './direct-permits.js';
import {
  type Candidate,
  COST_TOLERANCE,
  COST_TOLERANCE_LOAD_UNKNOWN,
  chooseBackEnd,
  type Position,
  slotCost,
} from './selection.js';
import { type AssumedEngine, VersionRules } from './version-rules.js';

const MILLISECONDS = 1_000;
/** The back end selected for a request. */
export interface Selection extends AssumedEngine {
  row: BackEndRow;
  /** Expected time until the back end starts the request, in milliseconds. */
  expectedWait: number;
  /** The version that the back end must hold; undefined if any is acceptable. */
  expectedVersion: number | undefined;
  /** Number of back ends to choose from: those eligible or, with a slot, the agents that were asked. */
  choices: number;
}

/** Selects back ends for the requests of one entry. */
export class BackEndSelector {
  readonly #fleet: FleetView;
  readonly #table: BackEndTable;
  readonly #random: Random;
  readonly #self: Position;
  readonly #entryCount: () => number;
  readonly #limits: BackEndLimits;
  readonly #backoffs: Pick<BackEndBackoffs, 'admits' | 'isProbed' | 'timeLeft'>;
  readonly #permits: Pick<DirectPermits, 'mayClaim'>;
  readonly #estimates: CandidateEstimates;
  /** On which versions of the weights requests may start. */
  readonly versions: VersionRules;
  readonly #eligibility: BackEndEligibility;
  readonly #capacity: CapacityEstimator;

  constructor(options: {
    fleet: FleetView;
    table: BackEndTable;
    random: Random;
    self: Position;
    /** Region of a zone; undefined if the settings do not name it. */
    regionOf: (zone: string) => string | undefined;
    /** Time within which a named version must serve everywhere, in milliseconds. */
    versionBound: number;
    /** Number of entries that send requests, including this one. */
    entryCount: () => number;
    limits: BackEndLimits;
    backoffs: Pick<BackEndBackoffs, 'admits' | 'isProbed' | 'timeLeft'>;
    permits: Pick<DirectPermits, 'mayClaim'>;
  }) {
    this.#fleet = options.fleet;
    this.#table = options.table;
    this.#random = options.random;
    this.#self = options.self;
    this.#entryCount = options.entryCount;
    this.#limits = options.limits;
    this.#backoffs = options.backoffs;
    this.#permits = options.permits;
    this.#estimates = new CandidateEstimates(options);
    this.versions = new VersionRules({ ...options, estimates: this.#estimates });
    this.#eligibility = new BackEndEligibility({ ...options, versions: this.versions });
    this.#capacity = new CapacityEstimator({
      fleet: options.fleet,
      table: options.table,
      backoffs: options.backoffs,
      lowestVersion: (engine, now) => this.versions.lowestVersion(engine, now, 0),
      isOutOfService: (row) => this.#eligibility.isOutOfService(row),
      isInRegions: (row, allowed) => this.#eligibility.isInRegions(row, allowed),
    });
  }

  /** Selects the best back end among those without a responsive agent; undefined if none is eligible now. */
  select(requirements: Requirements): Selection | undefined {
    const now = performance.now();
    const candidates = this.#candidates(requirements, now).filter(({ id }) => this.#maySendDirectly(id, now));
    const isEngine = this.#eligibility.engineOf(requirements) !== undefined;
    const considered = isEngine ? this.#sampleTwo(candidates) : candidates;
    const choice = chooseBackEnd(considered, this.#self, this.#random);
    if (choice === undefined) return undefined;
    return this.selectionOf(choice.candidate.id, requirements, choice.expectedWait, candidates.length);
  }

  /** Returns the selection of the back end `id` for a request. */
  selectionOf(id: string, requirements: Requirements, wait: number, choices: number): Selection {
    const row = this.#table.rows.get(id)!;
    const engine = this.#eligibility.engineOf(requirements);
    return {
      row,
      engine,
      version: completeVersion(row, engine?.layers ?? 0),
      expectedWait: wait,
      expectedVersion: requirements.version ?? this.versions.expectedVersion(row, engine, performance.now()),
      choices,
    };
  }

  /** The eligible engines whose agents are responsive and grant their slots. */
  slotCandidates(requirements: Requirements): SlotCandidate[] {
    const now = performance.now();
    // A request that holds a slot does not queue at the engine.
    return this.#candidates({ ...requirements, mayQueue: true }, now)
      .filter(({ id }) => this.#hasResponsiveAgent(id, now))
      .map((candidate) => this.#slotCandidate(candidate, now));
  }

  /**
   * Whether a request tries to obtain a slot first. Always true if all eligible engines have responsive agents.
   * Otherwise it is true with a probability equal to the share of such engines, so that an engine without an agent
   * gets its share of requests.
   */
  shouldAcquireSlot(requirements: Requirements): boolean {
    const now = performance.now();
    let managed = 0;
    let others = 0;
    for (const row of this.#table.ofService(requirements.service)) {
      const isManaged = row.agent?.isResponsive(now) === true;
      if (this.#eligibility.exclusionOf(row, { ...requirements, mayQueue: isManaged }, now) !== undefined)
        continue;
      if (isManaged) managed++;
      else if (this.#permits.mayClaim(row.record, now)) others++;
    }
    return managed > 0 && (others === 0 || this.#random.below(managed + others) < managed);
  }

  /**
   * Whether `row` is eligible for a request that holds one of its slots; it may have been removed from the list since
   * the slot was requested.
   */
  isEligibleWithSlot(row: BackEndRow, requirements: Requirements): boolean {
    if (this.#table.rows.get(row.record.id) !== row) return false;
    return (
      this.#eligibility.exclusionOf(row, { ...requirements, mayQueue: true }, performance.now()) === undefined
    );
  }

  /** Whether a back end gets no requests of any kind until this changes; its slots do not count as capacity. */
  isOutOfService(row: BackEndRow): boolean {
    return this.#eligibility.isOutOfService(row);
  }

  /** Whether a back end gets no more requests at all, or none for now. */
  isUnavailable(row: BackEndRow, now: number): boolean {
    return this.#eligibility.isUnavailable(row, now);
  }

  /** Whether a back end stands in an allowed region. */
  isInRegions(row: BackEndRow, allowed: AllowedRegions): boolean {
    return this.#eligibility.isInRegions(row, allowed);
  }

  /**
   * False if the regions of the request exclude all back ends of its service. Always true while no back end of the service is
   * known, unless no region is allowed at all.
   */
  isServedInRegions({ service, regions }: Requirements): boolean {
    if (regions === undefined) return true;
    const rows = [...this.#table.ofService(service)];
    if (rows.length === 0) return regions.size > 0;
    return rows.some((row) => this.isInRegions(row, regions));
  }

  /** Whether a back end that backs off may get a request that no other back end can take. */
  hasLastResort(requirements: Requirements): boolean {
    const now = performance.now();
    const rows = [...this.#table.ofService(requirements.service)];
    return rows.some(
      (row) =>
        this.#backoffs.timeLeft(row.record, now) > 0 &&
        this.#eligibility.exclusionOf(row, { ...requirements, isLastResort: true }, now) === undefined,
    );
  }

  #slotCandidate(candidate: Candidate, now: number): SlotCandidate {
    const { id, zone } = candidate;
    const isLoadFresh = isLoadReported(this.#table.rows.get(id)!, now);
    return {
      id,
      isNear: zone === this.#self.zone,
      cost: slotCost(candidate, this.#self, isLoadFresh),
      spread: isLoadFresh ? COST_TOLERANCE : COST_TOLERANCE_LOAD_UNKNOWN,
    };
  }

  #candidates(requirements: Requirements, now: number): Candidate[] {
    const candidates: Candidate[] = [];
    for (const row of this.#table.ofService(requirements.service)) {
      if (this.#eligibility.exclusionOf(row, requirements, now) === undefined)
        candidates.push(
          this.#estimates.candidate(row, requirements.answerTokens, now, requirements.isContinuation),
        );
    }
    addSlowness(candidates, this.#table, now);
    return candidates;
  }

  #hasResponsiveAgent(id: string, now: number): boolean {
    return this.#table.rows.get(id)?.agent?.isResponsive(now) === true;
  }

  /**
   * Whether a request may be sent to the back end without a slot now. A back end with a rate limit requires a permit
   * in addition.
   */
  #maySendDirectly(id: string, now: number): boolean {
    return (
      !this.#hasResponsiveAgent(id, now) && this.#permits.mayClaim(this.#table.rows.get(id)!.record, now)
    );
  }

  /** Whether a request sent to `row` without a slot needs a permit. */
  needsPermit({ record }: BackEndRow): boolean {
    return this.#limits.rateOf(record) !== undefined;
  }

  /** Whether the back ends of the service have agents that grant slots, even if these do not respond now. */
  hasAgents(service: string): boolean {
    return this.#fleet.routes?.service(service)?.engine !== undefined;
  }

  /**
   * Interval between requests at the sum of the rate limits of all back ends of `service` in `regions`, in milliseconds; 0 if
   * any of them has no limit.
   */
  requestInterval(service: string, regions?: AllowedRegions): number {
    const rates = this.#inService(service, regions).map(({ record }) => this.#limits.rateOf(record));
    if (rates.length === 0 || rates.includes(undefined)) return 0;
    return MILLISECONDS / rates.reduce<number>((sum, rate) => sum + rate!, 0);
  }

  /**
   * Two random candidates, one of them in this entry's zone if there is one. Reports of other entries' load are older
   * than the requests they describe; if every entry chose the least loaded engine of all, they would all choose the
   * same one at once.
   */
  #sampleTwo(candidates: readonly Candidate[]): Candidate[] {
    if (candidates.length <= 2) return [...candidates];
    const near = candidates.filter(({ zone }) => zone === this.#self.zone);
    const first = this.#sampleOne(near.length > 0 ? near : candidates);
    return [first, this.#sampleOne(candidates.filter((candidate) => candidate !== first))];
  }

  #sampleOne(candidates: readonly Candidate[]): Candidate {
    return candidates[this.#random.below(candidates.length)];
  }

  /**
   * When a back end of `service` in `regions` is expected to take requests; undefined if some do now, but not every request can be placed,
   * or if nothing is known of it.
   */
  timeToCapacity(service: string, regions?: AllowedRegions): ExpectedCapacity | undefined {
    return this.#capacity.timeToCapacity(service, regions);
  }

  /** The back ends of `service` in `regions` that are in service. */
  #inService(service: string, regions: AllowedRegions): BackEndRow[] {
    return [...this.#table.ofService(service)].filter(
      (row) => !this.#eligibility.isOutOfService(row) && this.isInRegions(row, regions),
    );
  }

  /** This entry's share of the slots of `service` in `regions`: all entries share them equally. */
  slotShare(service: string, regions?: AllowedRegions): number {
    const slots = this.#inService(service, regions).reduce((sum, row) => sum + this.#usableSlots(row), 0);
    return Math.ceil(slots / this.#entryCount());
  }

  /** Number of requests that `row` can run concurrently, as far as its rate limit lets it. */
  #usableSlots({ record, duration }: BackEndRow): number {
    const rate = this.#limits.coldRateOf(record);
    if (rate === undefined || duration === 0) return record.slots;
    return Math.min(record.slots, (rate * duration) / MILLISECONDS);
  }

  /** Whether a back end is eligible now, or is excluded only for a transient reason. */
  mayBecomeEligible(requirements: Requirements): boolean {
    const now = performance.now();
    return [...this.#table.ofService(requirements.service)].some((row) =>
      this.#eligibility.mayBecomeEligible(row, requirements, now),
    );
  }

  /** Numbers of excluded back ends of the service by reason, for logs. */
  exclusions(requirements: Requirements): Partial<Record<Exclusion, number>> {
    const now = performance.now();
    const counts: Partial<Record<Exclusion, number>> = {};
    for (const row of this.#table.ofService(requirements.service)) {
      const isRateLimited = row.agent?.isResponsive(now) !== true && !this.#permits.mayClaim(row.record, now);
      const exclusion =
        this.#eligibility.exclusionOf(row, requirements, now) ?? (isRateLimited ? 'rateLimited' : undefined);
      if (exclusion !== undefined) counts[exclusion] = (counts[exclusion] ?? 0) + 1;
    }
    return counts;
  }
}
