/** Gathers the back ends that may take a request, and chooses one. */
import type { EngineShape } from '../fleet/configuration.js';
import type { FleetView } from '../fleet/fleet-view.js';
import type { Random } from '../model/random.js';
import {
  type BackEndRow,
  type BackEndTable,
  loadOf,
  longestRecentAnswer,
  longestWait,
  wholeVersion,
} from './back-end-table.js';
import { type Candidate, chooseBackEnd, expectedWait, type Position } from './selection.js';

/** Where the list names none, a back end runs this many requests. */
const DEFAULT_SLOTS = 4;
/** Duration of a request at a back end of which nothing is known, in milliseconds. */
const DEFAULT_DURATION = 100;
const DEFAULT_ENGINE_DURATION = 800;
/**
 * Before the bound of a version ends, older ones get no requests for this long, in milliseconds, and for this many of
 * the times that requests usually wait there: what counts is when a request begins.
 */
const VERSION_MARGIN = 900;
const VERSION_MARGIN_WAITS = 1.5;
/** Where most slots are taken, requests of others that are not known of yet make the wait longer, in milliseconds. */
const VERSION_MARGIN_BUSY = 1_600;
const BUSY_SHARE = 0.6;
/** This long before the bound of a version requests no longer queue where an older one serves, in milliseconds. */
const EXPIRY_NOTICE = 3_500;
const MILLISECONDS = 1_000;
/** A back end that answered late gets a request again after this, in milliseconds. */
const SLOWNESS_LIFE = 4_000;
/** Usual time from the order to take a version to its first request, in milliseconds. */
const SWITCH_TIME = 400;

/** What a request needs of a back end. */
export interface Requirements {
  service: string;
  isRepeatable: boolean;
  /** False where it is to go only where it begins at once. */
  mayQueue: boolean;
  /** Tokens that the answer may have; 0 where that is not known. */
  answerTokens: number;
  /** Version that must answer, where a stream goes on. */
  version: number | undefined;
  /** Back ends that were tried already. */
  tried: ReadonlySet<string>;
}

/** Why a back end may not take a request. */
export type Exclusion =
  | 'leaving'
  | 'tried'
  | 'suspended'
  | 'connections'
  | 'full'
  | 'switching'
  | 'noWeights'
  | 'expired'
  | 'expiring'
  | 'otherVersion';

/** The back end for a request. */
export interface Selection {
  row: BackEndRow;
  /** Time until it begins, in milliseconds. */
  expectedWait: number;
  /** Version that it must have; undefined where any will do. */
  expectedVersion: number | undefined;
  /** Version that it is believed to have; 0 for none. */
  version: number;
  /** How many there were to choose from. */
  choices: number;
}

/** Selector of one entry. */
export class BackEndSelector {
  readonly #fleet: FleetView;
  readonly #table: BackEndTable;
  readonly #random: Random;
  readonly #self: Position;
  readonly #regionOf: (zone: string) => string;
  readonly #versionBound: number;
  readonly #entryCount: () => number;

  constructor(options: {
    fleet: FleetView;
    table: BackEndTable;
    random: Random;
    self: Position;
    regionOf: (zone: string) => string;
    /** Time in which a named version must serve everywhere, in milliseconds. */
    versionBound: number;
    /** Entries that send requests, this one among them. */
    entryCount: () => number;
  }) {
    this.#fleet = options.fleet;
    this.#table = options.table;
    this.#random = options.random;
    this.#self = options.self;
    this.#regionOf = options.regionOf;
    this.#versionBound = options.versionBound;
    this.#entryCount = options.entryCount;
  }

  /** The best back end, or undefined where none may take the request now. */
  select(requirements: Requirements): Selection | undefined {
    const now = performance.now();
    const candidates: Candidate[] = [];
    for (const row of this.#table.ofService(requirements.service)) {
      if (this.#exclusion(row, requirements, now) === undefined)
        candidates.push(this.#candidate(row, requirements.answerTokens, now));
    }
    addSlowness(candidates, this.#table, now);
    const choice = chooseBackEnd(candidates, this.#self, this.#random);
    if (choice === undefined) return undefined;
    const row = this.#table.rows.get(choice.candidate.id)!;
    return {
      row,
      version: wholeVersion(row, this.#fleet.routes?.service(requirements.service)?.engine?.layers ?? 0),
      expectedWait: choice.expectedWait,
      expectedVersion: requirements.version ?? this.#expectedVersion(choice.candidate.id, now),
      choices: candidates.length,
    };
  }

  /**
   * Time until an engine of `service` is expected to take requests, in milliseconds; infinite where none is in sight,
   * undefined where capacity is there, only not for every request.
   */
  expectedCapacity(service: string): number | undefined {
    const now = performance.now();
    const engine = this.#fleet.routes?.service(service)?.engine;
    if (engine === undefined) return undefined;
    let soonest = Number.POSITIVE_INFINITY;
    for (const row of this.#table.ofService(service)) {
      const { record, news, health } = row;
      if (record.leaving) continue;
      const version = wholeVersion(row, engine.layers);
      const serves = version > 0 && version >= this.#lowestVersion(engine, now, 0);
      if (serves && news?.isSwitching !== true && health.admits(now, true)) return undefined;
      if (news === undefined || (serves && !news.isSwitching)) continue;
      const readyAt = news.isSwitching ? now + SWITCH_TIME : news.switchAt + SWITCH_TIME;
      soonest = Math.min(soonest, Math.max(0, readyAt - now));
    }
    return soonest;
  }

  /** Lowest version that a request may start on after `wait` milliseconds; 0 for any. */
  #lowestVersion(engine: EngineShape, now: number, wait: number): number {
    const lowest = engine.models.map(({ name }) => {
      return this.#fleet.versions.lowestAllowed(name, now + wait, this.#versionBound);
    });
    return Math.max(0, ...lowest);
  }

  /** How many back ends of the service are left out, by the reason, for logs. */
  exclusions(requirements: Requirements): Partial<Record<Exclusion, number>> {
    const now = performance.now();
    const counts: Partial<Record<Exclusion, number>> = {};
    for (const row of this.#table.ofService(requirements.service)) {
      const exclusion = this.#exclusion(row, requirements, now);
      if (exclusion !== undefined) counts[exclusion] = (counts[exclusion] ?? 0) + 1;
    }
    return counts;
  }

  /** Why `row` may not take the request now; undefined where it may. */
  #exclusion(row: BackEndRow, requirements: Requirements, now: number): Exclusion | undefined {
    const { record, health } = row;
    if (record.leaving) return 'leaving';
    if (requirements.tried.has(record.id)) return 'tried';
    if (!health.admits(now, requirements.isRepeatable)) return 'suspended';
    if (row.inFlight >= this.#connectionShare(record.service)) return 'connections';
    const engine = this.#fleet.routes?.service(record.service)?.engine;
    const exclusion =
      engine === undefined ? undefined : this.#versionExclusion(row, engine, requirements, now);
    if (exclusion !== undefined) return exclusion;
    return !requirements.mayQueue && this.#wouldQueue(row) ? 'full' : undefined;
  }

  /** Why the weights of `row` keep it from taking the request. */
  #versionExclusion(
    row: BackEndRow,
    engine: EngineShape,
    requirements: Requirements,
    now: number,
  ): Exclusion | undefined {
    if (row.news?.isSwitching === true) return 'switching';
    const version = wholeVersion(row, engine.layers);
    if (version === 0) return 'noWeights';
    if (version < this.#lowestVersion(engine, now, this.#versionMargin(row, now))) return 'expired';
    // One that may not queue is overtaken there by those that can be in time: it could begin after the bound.
    const mayBeLate = !requirements.mayQueue || this.#wouldQueue(row);
    if (version < this.#lowestVersion(engine, now, EXPIRY_NOTICE) && mayBeLate) return 'expiring';
    const isOther = requirements.version !== undefined && requirements.version !== version;
    return isOther ? 'otherVersion' : undefined;
  }

  /** Time for which a request of this duration would hold up the switch that is due there, in milliseconds. */
  #overhang({ news }: BackEndRow, duration: number, now: number): number {
    if (news === undefined || news.switchAt === Number.POSITIVE_INFINITY) return 0;
    return Math.max(0, now + duration - news.switchAt);
  }

  /** Connections that this entry may have to one back end; all entries share them. */
  #connectionShare(service: string): number {
    const all = this.#fleet.routes?.service(service)?.maxConnections ?? 0;
    return all === 0 ? Number.POSITIVE_INFINITY : Math.max(2, Math.floor(all / 3));
  }

  /**
   * Whether a request may have to wait at `row`. Entries learn of one another's requests late and choose alike, so each
   * uses its share of the slots only.
   */
  #wouldQueue(row: BackEndRow): boolean {
    const share = Math.max(1, Math.floor(row.record.slots / this.#entryCount()));
    return row.inFlight >= share || loadOf(row) >= row.record.slots;
  }

  /** Time before the bound of its version from which `row` gets no more requests, in milliseconds. */
  #versionMargin(row: BackEndRow, now: number): number {
    const isBusy = loadOf(row) >= BUSY_SHARE * row.record.slots;
    return (
      VERSION_MARGIN + VERSION_MARGIN_WAITS * this.#usualWait(row, now) + (isBusy ? VERSION_MARGIN_BUSY : 0)
    );
  }

  /** Time for which requests wait at `row` before they begin, in milliseconds. */
  #usualWait(row: BackEndRow, now: number): number {
    return Math.max(
      longestRecentAnswer(row, now),
      longestWait(row, now),
      expectedWait(this.#candidate(row, 0, now)),
    );
  }

  /** The version that a back end is asked to have, once an older one may not answer any more. */
  #expectedVersion(id: string, now: number): number | undefined {
    const row = this.#table.rows.get(id)!;
    const engine = this.#fleet.routes?.service(row.record.service)?.engine;
    if (engine === undefined || this.#lowestVersion(engine, now, 0) === 0) return undefined;
    return wholeVersion(row, engine.layers);
  }

  #candidate(row: BackEndRow, answerTokens: number, now: number): Candidate {
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
      unreadTokens: row.unreadTokens,
      tokensPerMillisecond: (engine?.readTokensPerSecond ?? 0) / MILLISECONDS,
      releaseInterval: (row.duration || usual) / slots,
      failureShare: health.failureShare,
      slowness: 0,
      overhang: this.#overhang(row, answerTokens * (row.timePerToken || (engine?.tokenTime ?? 0)), now),
    };
  }
}

/** Sets how much later than the fastest each candidate answers by its latest answers; without any it is tried again. */
function addSlowness(candidates: Candidate[], table: BackEndTable, now: number): void {
  const times = candidates.map(({ id }) => {
    const { firstAnswerTime, answeredAt } = table.rows.get(id)!;
    return now - answeredAt < SLOWNESS_LIFE ? firstAnswerTime : 0;
  });
  const known = times.filter((time) => time > 0);
  if (known.length < 2) return;
  const fastest = Math.min(...known);
  candidates.forEach((candidate, index) => {
    const excess = times[index] - 2 * fastest;
    if (excess > 0) candidate.slowness = excess;
  });
}
