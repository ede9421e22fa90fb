/**
 * Decides in which order an agent fetches the versions of its plan, which of them its engine loads, and when the engine switches.
 * Times are in milliseconds of the monotonic clock.
 */
import type { NamedVersions } from '../fleet/named-versions.js';
import type { WeightsPlan } from '../protocol/reports.js';
import { servesInBetween } from '../systems/version-succession.js';
import { type HeldWeights, versionKey, type WeightsVersion } from './held-weights.js';
import type { PieceFetcher } from './piece-fetcher.js';
import { drainsAhead, shouldSkip, switchTime } from './switch-schedule.js';

/**
 * Expected duration of a fetch until this agent has completed one, in milliseconds: a fetch takes 3.5 to 4.3 s.
 */
const INITIAL_FETCH_TIME = 4_000;
/**
 * A fetch that has received no piece for this long is stalled and lets the next version go first, in
 * milliseconds.
 */
const STALL_TIME = 700;
/** A version whose manifest has not been found for this long is not available for now, in milliseconds. */
const MANIFEST_TIME = 1_500;

/**
 * Time in which an engine is not ordered again to load a version that it refuses for good, in milliseconds: each order takes it
 * out of service for a moment.
 */
const REFUSAL_TIME = 10_000;

/** The fetch of one version. */
export interface VersionFetch {
  startedAt: number;
  stopped: AbortController;
  /** Undefined until the manifest has been found. */
  held: HeldWeights | undefined;
  fetcher: PieceFetcher | undefined;
}

export interface VersionOrderOptions {
  versions: NamedVersions;
  /** The fetches of the versions of the plan, by version key. */
  fetches: ReadonlyMap<string, VersionFetch>;
  plan: () => WeightsPlan | undefined;
  /** The model that the engine serves or is to serve; empty if it is not known. */
  model: () => string;
  /** Version of which the engine holds every layer; 0 if none. */
  loadedVersion: () => number;
}

/** The decisions of one agent. */
export class VersionOrder {
  readonly #options: VersionOrderOptions;
  /** Duration of the last fetch, in milliseconds. */
  fetchTime = INITIAL_FETCH_TIME;
  /** The version that the engine has refused last, and until when neither it nor an older one is ordered. */
  #refused: (WeightsVersion & { until: number }) | undefined;

  constructor(options: VersionOrderOptions) {
    this.#options = options;
  }

  get #plan(): WeightsPlan | undefined {
    return this.#options.plan();
  }

  get #loaded(): number {
    return this.#options.loadedVersion();
  }

  /**
   * Versions are fetched one after another in the order in which they were named, except that a version this
   * engine will skip comes last. A fetch that is stalled, or has requested all that its sources have, does not
   * hold back the others.
   */
  mayFetch({ model, version }: WeightsVersion): boolean {
    if (this.#loaded >= version) return false;
    const now = performance.now();
    for (const { held, fetcher } of this.#options.fetches.values()) {
      if (held === undefined || fetcher === undefined || held.complete || held.manifest.model !== model)
        continue;
      if (now - fetcher.lastPieceAt > STALL_TIME || this.#loaded >= held.manifest.version) continue;
      if (fetcher.isIdle) continue;
      if (this.#precedes(held.manifest, { model, version })) return false;
    }
    return true;
  }

  /** Whether a version is one that the engine can load after its own. The plan also names versions of other models. */
  isSuccessor({ model, version }: WeightsVersion): boolean {
    const own = this.#options.model();
    return version > this.#loaded && (own === '' || model === own) && !this.#isRefused({ model, version });
  }

  /** The engine refuses to load a version as long as it does not restart. */
  noteRefused({ model, version }: WeightsVersion): void {
    this.#refused = { model, version, until: performance.now() + REFUSAL_TIME };
  }

  /** The engine has restarted. */
  forgetRefusal(): void {
    this.#refused = undefined;
  }

  #isRefused({ model, version }: WeightsVersion): boolean {
    const refused = this.#refused;
    // A fencing token that is too low is so for older versions too.
    const isNamed = refused?.model === model && version <= refused.version;
    return isNamed && performance.now() < refused.until;
  }

  /** Whether `one` is fetched before `other`. */
  #precedes(one: WeightsVersion, other: WeightsVersion): boolean {
    if (one.version === other.version) return false;
    const older = one.version < other.version ? one : other;
    return this.shouldLoad(older) ? one.version < other.version : one.version > other.version;
  }

  /** False for a version that is skipped because a newer one will be complete in time, or because it is about to expire. */
  shouldLoad(version: WeightsVersion): boolean {
    const { model } = version;
    const newest = this.#options.versions.newest(model);
    const candidate = this.#options.versions.all().find((one) => versionKey(one) === versionKey(version));
    if (newest === undefined || candidate === undefined || newest.version <= version.version) return true;
    const now = performance.now();
    const newestCompleteAt = this.expectedCompletion(newest);
    const expiresIn = this.#options.versions.expiryOf(model, version.version, this.#plan?.bound ?? 0) - now;
    const expiresAt = this.#servedVersionExpiry(model);
    if (this.#loaded === 0 || expiresAt <= now) {
      const completesIn = this.#imminentCompletion(version) - now;
      return servesInBetween({ completesIn, expiresIn, newestCompletesIn: newestCompleteAt - now });
    }
    return !shouldSkip({
      namedAt: this.#options.versions.namedAt(candidate),
      newestNamedAt: this.#options.versions.namedAt(newest),
      newestCompleteAt,
      expiresAt,
      bound: this.#plan?.bound ?? 0,
      position: this.#plan?.position ?? 0,
    });
  }

  /** When all pieces of a version are expected to have been fetched; infinite for a stalled fetch. */
  expectedCompletion(version: WeightsVersion): number {
    const now = performance.now();
    const fetch = this.#options.fetches.get(versionKey(version));
    if (fetch?.held?.complete === true) return now;
    if (fetch === undefined) return now + this.fetchTime;
    if (fetch.fetcher === undefined || fetch.held === undefined) {
      const isOverdue = now - fetch.startedAt > MANIFEST_TIME;
      return isOverdue ? Number.POSITIVE_INFINITY : now + this.fetchTime;
    }
    const precedingEnd = this.#precedingFetchesEnd(fetch.held.manifest);
    if (precedingEnd !== undefined) return precedingEnd + this.fetchTime;
    if (now - fetch.fetcher.lastPieceAt > STALL_TIME) return Number.POSITIVE_INFINITY;
    return Math.min(fetch.fetcher.expectedEnd, now + this.fetchTime);
  }

  /** As {@link expectedCompletion}, at the rate of the latest pieces once some have arrived. */
  #imminentCompletion(version: WeightsVersion): number {
    const fetcher = this.#options.fetches.get(versionKey(version))?.fetcher;
    return Math.min(this.expectedCompletion(version), fetcher?.imminentEnd ?? Number.POSITIVE_INFINITY);
  }

  /** When the fetches that precede that of `version` are expected to end; undefined if there are none. */
  #precedingFetchesEnd(version: WeightsVersion): number | undefined {
    const now = performance.now();
    const ends = [...this.#options.fetches.values()].flatMap(({ held, fetcher }) => {
      if (held === undefined || fetcher === undefined || held.complete) return [];
      const { manifest } = held;
      const isOlder = manifest.model === version.model && manifest.version < version.version;
      const isStalled = now - fetcher.lastPieceAt > STALL_TIME;
      if (!isOlder || isStalled || manifest.version <= this.#loaded) return [];
      return Math.min(fetcher.expectedEnd, now + this.fetchTime);
    });
    return ends.length === 0 ? undefined : Math.max(...ends);
  }

  /** The earliest time at which the engine is ordered to switch to a version that is complete at `completeAt`. */
  switchTime({ manifest }: HeldWeights, completeAt: number): number {
    const named = this.#options.versions.all().find((one) => versionKey(one) === versionKey(manifest));
    return switchTime({
      version: this.#loaded,
      expiresAt: this.#servedVersionExpiry(manifest.model),
      namedAt: named === undefined ? Number.NEGATIVE_INFINITY : this.#options.versions.namedAt(named),
      completeAt,
      bound: this.#plan?.bound ?? 0,
      position: this.#plan?.position ?? 0,
    });
  }

  /**
   * Until when requests may start on the engine's version: a bound after the next newer version was named.
   */
  #servedVersionExpiry(model: string): number {
    return this.#options.versions.expiryOf(model, this.#loaded, this.#plan?.bound ?? 0);
  }

  /** Whether the engine stops accepting requests before the next version is complete. */
  drainsAhead(): boolean {
    const now = performance.now();
    return [...this.#options.fetches.values()].some(({ held, fetcher }) => {
      if (held === undefined || fetcher === undefined || !this.isSuccessor(held.manifest)) return false;
      if (!this.shouldLoad(held.manifest)) return false;
      const isStalled = !held.complete && now - fetcher.lastPieceAt > STALL_TIME;
      return drainsAhead({
        version: this.#loaded,
        expiresAt: this.#servedVersionExpiry(held.manifest.model),
        completeAt: isStalled ? Number.POSITIVE_INFINITY : fetcher.imminentEnd,
        position: this.#plan?.position ?? 0,
        engines: this.#plan?.engines ?? 0,
        now,
      });
    });
  }
}
