/** Determines which back ends are eligible for a request and selects one of them. */
import type { BackEndSet } from '../fleet/back-end-identity.js';
import type { EngineShape } from '../fleet/configuration.js';
import type { FleetView } from '../fleet/fleet-view.js';
import type { Random } from '../model/random.js';
import type { SlotCandidate } from '../systems/slot-search.js';
import type { BackEndBackoffs } from './back-end-backoffs.js';
import type { BackEndLimits } from './back-end-limits.js';
import {
  type BackEndRow,
  type BackEndTable,
  completeVersion,
  isLoadReported,
  loadOf,
} from './back-end-table.js';
import { CapacityEstimator, type ExpectedCapacity } from './capacity-estimator.js';
import type { DirectPermits } from './direct-permits.js';
import {
  type Candidate,
  COST_TOLERANCE,
  COST_TOLERANCE_LOAD_UNKNOWN,
  chooseBackEnd,
  expectedWait,
  type Position,
  slotCost,
} from './selection.js';

/** Number of concurrent requests assumed for a back end whose record does not state its slots. */
const DEFAULT_SLOTS = 4;
/** Assumed request duration at a back end that has not yet completed one, in milliseconds. */
const DEFAULT_DURATION = 100;
const DEFAULT_ENGINE_DURATION = 800;
/**
 * A request must start before the version of its back end expires. The back end gets no new requests for a margin
 * before the expiry: this constant, in milliseconds, plus a multiple of the usual time to the first answer or of the
 * wait for a slot, whichever is longer. The margin is kept small so that it excludes few engines: 0.9 s plus the
 * longest wait excluded engines that could still have served (docs/design/decisions.md).
 */
const EXPIRY_MARGIN = 600;
const EXPIRY_MARGIN_WAITS = 1.5;
/**
 * Share of a back end's slots that requests which cannot meet their objective may use. The rest is reserved for
 * requests that can. With half this share, those fare no better and more of the others are refused
 * (docs/design/decisions.md).
 */
const LATE_REQUEST_SHARE = 0.75;
/**
 * Share of the slots assumed to be in use by requests of other entries that are not reported yet; reports take 150 to
 * 450 ms.
 */
const UNREPORTED_LOAD_SHARE = 0.25;
/**
 * Additional wait assumed if the agent has not reported the engine's load, in milliseconds: about the time to drain a
 * full queue.
 */
const UNKNOWN_LOAD_MARGIN = 1_600;
/**
 * A request that has not started this long before the version expires is withdrawn, in milliseconds. The close of a
 * connection reaches an engine within 6 ms; the rest allows for busy links, the tick of 50 ms and `CLOCK_TOLERANCE`.
 */
export const WITHDRAWAL_LEAD = 250;
const MILLISECONDS = 1_000;
/** Time after which a slow first answer no longer counts against a back end, in milliseconds. */
const SLOWNESS_VALIDITY = 4_000;
/** Requirements of a request for its back end. */
export interface Requirements {
  service: string;
  /** The service's engines as declared when the request was admitted; undefined if its back ends are not engines. */
  engine: EngineShape | undefined;
  isRepeatable: boolean;
  /** If false, only back ends that can start the request at once are eligible. */
  mayQueue: boolean;
  /** Maximum number of tokens of the answer; 0 if unknown. */
  answerTokens: number;
  /** The request continues a stream whose beginning the caller has received. Such a stream cannot be moved again. */
  isContinuation: boolean;
  /** The version that must answer, if the request continues a stream. */
  version: number | undefined;
  /** Back ends that have already been tried. */
  tried: Pick<BackEndSet, 'has'>;
  /** Back ends that back off are eligible if a request may be sent to them all the same. */
  isLastResort: boolean;
}

/** Why a back end is not eligible for a request. */
export type Exclusion =
  | 'leaving'
  | 'unnamedService'
  | 'superseded'
  | 'tried'
  | 'suspended'
  | 'backingOff'
  | 'connections'
  | 'full'
  | 'rateLimited'
  | 'switching'
  | 'noWeights'
  | 'expired'
  | 'otherVersion';

/** Reasons that may no longer apply after a wait. */
const TRANSIENT: ReadonlySet<Exclusion> = new Set([
  'suspended',
  'backingOff',
  'connections',
  'full',
  'rateLimited',
]);

/** The engine and version that a selection assumed when the request was sent. */
export interface AssumedEngine {
  /** The engine as declared at that time; undefined if the back end was not an engine. */
  engine: EngineShape | undefined;
  /** The version that the engine was assumed to hold; 0 if none. */
  version: number;
}

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
  readonly #regionOf: (zone: string) => string;
  readonly #versionBound: number;
  readonly #entryCount: () => number;
  readonly #limits: BackEndLimits;
  readonly #backoffs: Pick<BackEndBackoffs, 'admits' | 'isProbed' | 'timeLeft'>;
  readonly #permits: Pick<DirectPermits, 'mayClaim'>;
  readonly #capacity: CapacityEstimator;

  constructor(options: {
    fleet: FleetView;
    table: BackEndTable;
    random: Random;
    self: Position;
    regionOf: (zone: string) => string;
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
    this.#regionOf = options.regionOf;
    this.#versionBound = options.versionBound;
    this.#entryCount = options.entryCount;
    this.#limits = options.limits;
    this.#backoffs = options.backoffs;
    this.#permits = options.permits;
    this.#capacity = new CapacityEstimator({
      fleet: options.fleet,
      table: options.table,
      backoffs: options.backoffs,
      lowestVersion: (engine, now) => this.#lowestVersion(engine, now, 0),
      isSuperseded: (row) => this.#isSuperseded(row),
    });
  }

  /** Selects the best back end among those without a responsive agent; undefined if none is eligible now. */
  select(requirements: Requirements): Selection | undefined {
    const now = performance.now();
    const candidates = this.#candidates(requirements, now).filter(({ id }) => this.#maySendDirectly(id, now));
    const isEngine = this.#engineOf(requirements) !== undefined;
    const considered = isEngine ? this.#sampleTwo(candidates) : candidates;
    const choice = chooseBackEnd(considered, this.#self, this.#random);
    if (choice === undefined) return undefined;
    return this.selectionOf(choice.candidate.id, requirements, choice.expectedWait, candidates.length);
  }

  /** Returns the selection of the back end `id` for a request. */
  selectionOf(id: string, requirements: Requirements, wait: number, choices: number): Selection {
    const row = this.#table.rows.get(id)!;
    const engine = this.#engineOf(requirements);
    return {
      row,
      engine,
      version: completeVersion(row, engine?.layers ?? 0),
      expectedWait: wait,
      expectedVersion: requirements.version ?? this.#expectedVersion(row, engine, performance.now()),
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
      if (this.#exclusion(row, { ...requirements, mayQueue: isManaged }, now) !== undefined) continue;
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
    return this.#exclusion(row, { ...requirements, mayQueue: true }, performance.now()) === undefined;
  }

  /** Whether a back end wants no more requests at all, or none for now. */
  isUnavailable({ record }: BackEndRow, now: number): boolean {
    return record.leaving || this.#backoffs.timeLeft(record, now) > 0;
  }

  /** Whether a back end that backs off may get a request that no other back end can take. */
  hasLastResort(requirements: Requirements): boolean {
    const now = performance.now();
    const rows = [...this.#table.ofService(requirements.service)];
    return rows.some(
      (row) =>
        this.#backoffs.timeLeft(row.record, now) > 0 &&
        this.#exclusion(row, { ...requirements, isLastResort: true }, now) === undefined,
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
      if (this.#exclusion(row, requirements, now) === undefined)
        candidates.push(this.#candidate(row, requirements.answerTokens, now, requirements.isContinuation));
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
   * Interval between requests at the sum of the rate limits of all back ends of `service`, in milliseconds; 0 if any
   * of them has no limit.
   */
  requestInterval(service: string): number {
    const present = [...this.#table.ofService(service)].filter(({ record }) => !record.leaving);
    const rates = present.map(({ record }) => this.#limits.rateOf(record));
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
   * When a back end of `service` is expected to take requests; undefined if some do now, but not every request can be placed,
   * or if nothing is known of it.
   */
  timeToCapacity(service: string): ExpectedCapacity | undefined {
    return this.#capacity.timeToCapacity(service);
  }

  /** This entry's share of the slots of `service`: all entries share them equally. */
  slotShare(service: string): number {
    const rows = [...this.#table.ofService(service)].filter(
      (row) => !row.record.leaving && !this.#isSuperseded(row),
    );
    const slots = rows.reduce((sum, { record }) => sum + record.slots, 0);
    return Math.ceil(slots / this.#entryCount());
  }

  /**
   * Whether a request that has not started at `row` must be withdrawn because the version there is about to expire.
   * Later information does not cancel this: neither a configuration that lacks the engine or its model nor a report
   * that the engine holds no version proves that the engine will not start the request.
   */
  mustWithdraw(row: BackEndRow, assumed: AssumedEngine, now: number): boolean {
    if (this.#isAboutToExpire(row, assumed.engine, assumed, now)) return true;
    const engine = this.#fleet.routes?.service(row.record.service)?.engine;
    return engine !== assumed.engine && this.#isAboutToExpire(row, engine, assumed, now);
  }

  #isAboutToExpire(
    row: BackEndRow,
    engine: EngineShape | undefined,
    { version }: AssumedEngine,
    now: number,
  ) {
    if (engine === undefined) return false;
    const held = completeVersion(row, engine.layers, now) || version;
    return held > 0 && held < this.#lowestVersion(engine, now, WITHDRAWAL_LEAD);
  }

  /** Time since `version` of `engine` expired for new requests, in milliseconds; negative before it expires. */
  timeSinceExpiry(engine: EngineShape | undefined, version: number, now: number): number {
    const models = engine?.models ?? [];
    const expiries = models.map(({ name }) =>
      this.#fleet.versions.expiryOf(name, version, this.#versionBound),
    );
    return now - Math.min(Number.POSITIVE_INFINITY, ...expiries);
  }

  /**
   * The engines of a request's service, as declared in the current configuration. If that no longer declares any, as
   * declared when the request was admitted.
   */
  #engineOf({ service, engine }: Requirements): EngineShape | undefined {
    return this.#fleet.routes?.service(service)?.engine ?? engine;
  }

  /** Lowest version on which a request may start after `wait` milliseconds; 0 if any. */
  #lowestVersion(engine: EngineShape, now: number, wait: number): number {
    const lowest = engine.models.map(({ name }) => {
      return this.#fleet.versions.lowestAllowed(name, now + wait, this.#versionBound);
    });
    return Math.max(0, ...lowest);
  }

  /** Whether a back end is eligible now, or is excluded only for a transient reason. */
  mayBecomeEligible(requirements: Requirements): boolean {
    const now = performance.now();
    return [...this.#table.ofService(requirements.service)].some((row) => {
      const exclusion = this.#exclusion(row, requirements, now);
      return exclusion === undefined || TRANSIENT.has(exclusion);
    });
  }

  /** Numbers of excluded back ends of the service by reason, for logs. */
  exclusions(requirements: Requirements): Partial<Record<Exclusion, number>> {
    const now = performance.now();
    const counts: Partial<Record<Exclusion, number>> = {};
    for (const row of this.#table.ofService(requirements.service)) {
      const isRateLimited = row.agent?.isResponsive(now) !== true && !this.#permits.mayClaim(row.record, now);
      const exclusion =
        this.#exclusion(row, requirements, now) ?? (isRateLimited ? 'rateLimited' : undefined);
      if (exclusion !== undefined) counts[exclusion] = (counts[exclusion] ?? 0) + 1;
    }
    return counts;
  }

  /** Why `row` is not eligible now; undefined if it is. */
  #exclusion(row: BackEndRow, requirements: Requirements, now: number): Exclusion | undefined {
    const { record, health } = row;
    if (record.leaving) return 'leaving';
    if (!this.#isConfigured(record.service)) return 'unnamedService';
    if (this.#isSuperseded(row)) return 'superseded';
    if (requirements.tried.has(record)) return 'tried';
    if (!this.#backoffs.admits(record, now, requirements.isLastResort)) return 'backingOff';
    if (!health.admits(now, requirements.isRepeatable)) return 'suspended';
    if (row.inFlight >= this.#connectionShare(record.service)) return 'connections';
    const engine = this.#engineOf(requirements);
    const exclusion =
      engine === undefined ? undefined : this.#versionExclusion(row, engine, requirements, now);
    if (exclusion !== undefined) return exclusion;
    return !requirements.mayQueue && this.#isFullForLateRequests(row) ? 'full' : undefined;
  }

  /** Whether the configuration declares `service`. Listed back ends of other services are not used. */
  #isConfigured(service: string): boolean {
    return this.#fleet.routes?.service(service) !== undefined;
  }

  #isSuperseded(row: BackEndRow): boolean {
    return this.#table.isSuperseded(row, (service) => this.#isConfigured(service));
  }

  /** Why the version that `row` holds excludes it; undefined if it does not. */
  #versionExclusion(
    row: BackEndRow,
    engine: EngineShape,
    requirements: Requirements,
    now: number,
  ): Exclusion | undefined {
    if (row.news?.isSwitching === true) return 'switching';
    const version = completeVersion(row, engine.layers);
    if (version === 0) return 'noWeights';
    // The margin is computed only for a version that will expire: for all engines it would be the most expensive check.
    // As for withdrawal, the engine as declared at admission counts too; otherwise a request could be sent to an engine on
    // which it may not start.
    const lowestAfter = (wait: number) =>
      Math.max(
        this.#lowestVersion(engine, now, wait),
        this.#lowestVersion(requirements.engine ?? engine, now, wait),
      );
    const mayExpire = version < lowestAfter(this.#versionBound);
    if (mayExpire && version < lowestAfter(this.#expiryMargin(row, now))) return 'expired';
    const isOther = requirements.version !== undefined && requirements.version !== version;
    return isOther ? 'otherVersion' : undefined;
  }

  /** Time by which a request of this duration would outlast the scheduled version switch of the engine, in milliseconds. */
  #overrun({ news }: BackEndRow, duration: number, now: number): number {
    if (news === undefined || news.switchAt === Number.POSITIVE_INFINITY) return 0;
    return Math.max(0, now + duration - news.switchAt);
  }

  /** Maximum number of connections from this entry to one back end; the configured maximum is shared by all entries. */
  #connectionShare(service: string): number {
    const all = this.#fleet.routes?.service(service)?.maxConnections ?? 0;
    return all === 0 ? Number.POSITIVE_INFINITY : Math.max(2, Math.floor(all / 3));
  }

  /**
   * Whether a request that cannot meet its objective would delay one that can. Each entry uses only its share of the slots,
   * because entries learn of one another's requests late and make the same choices.
   */
  #isFullForLateRequests(row: BackEndRow): boolean {
    const slots = LATE_REQUEST_SHARE * row.record.slots;
    const share = Math.max(1, Math.floor(slots / this.#entryCount()));
    return row.inFlight >= share || loadOf(row) >= slots;
  }

  /** Time before the expiry of its version from which `row` gets no new requests, in milliseconds. */
  #expiryMargin(row: BackEndRow, now: number): number {
    const candidate = this.#candidate(row, 0, now);
    const load = candidate.load + UNREPORTED_LOAD_SHARE * candidate.slots;
    const wait = Math.max(row.firstAnswerTime, expectedWait({ ...candidate, load }));
    return EXPIRY_MARGIN + EXPIRY_MARGIN_WAITS * wait + (isLoadReported(row, now) ? 0 : UNKNOWN_LOAD_MARGIN);
  }

  /** The version that a back end must hold once an older version may no longer answer; undefined before that. */
  #expectedVersion(row: BackEndRow, engine: EngineShape | undefined, now: number): number | undefined {
    if (engine === undefined || this.#lowestVersion(engine, now, 0) === 0) return undefined;
    return completeVersion(row, engine.layers);
  }

  #candidate(row: BackEndRow, answerTokens: number, now: number, isContinuation = false): Candidate {
    const { record, health } = row;
    const engine = this.#fleet.routes?.service(record.service)?.engine;
    const slots = record.slots > 0 ? record.slots : DEFAULT_SLOTS;
    const usual = engine === undefined ? DEFAULT_DURATION : DEFAULT_ENGINE_DURATION;
    return {
      id: record.id,
      zone: record.zone,
      region: this.#regionOf(record.zone),
      slots,
      load: loadOf(row),
      pendingPromptTokens: row.pendingPromptTokens,
      tokensPerMillisecond: (engine?.readTokensPerSecond ?? 0) / MILLISECONDS,
      releaseInterval: (row.duration || usual) / slots,
      failureShare: health.failureShare,
      slowness: 0,
      overrun: this.#overrun(row, answerTokens * (row.timePerToken || (engine?.tokenTime ?? 0)), now),
      cannotBeMoved: isContinuation,
    };
  }
}

/** Sets the slowness of each candidate. One without recent answers keeps a slowness of 0, so that it is tried again. */
function addSlowness(candidates: Candidate[], table: BackEndTable, now: number): void {
  const times = candidates.map(({ id }) => {
    const { firstAnswerTime, answeredAt } = table.rows.get(id)!;
    return now - answeredAt < SLOWNESS_VALIDITY ? firstAnswerTime : 0;
  });
  const known = times.filter((time) => time > 0);
  if (known.length < 2) return;
  const fastest = Math.min(...known);
  candidates.forEach((candidate, index) => {
    const excess = times[index] - 2 * fastest;
    if (excess > 0) candidate.slowness = excess;
  });
}
