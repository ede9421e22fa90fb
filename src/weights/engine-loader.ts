/**
 * Brings the engine beside this process to the versions that its entry tells of: fetches the pieces, lays them into the
 * engine's stage, reads them back, and orders the engine to take them when its turn has come. It needs no other process
 * to give orders: where no entry answers, it goes to the object store and the origin by itself.
 */
import type { ListedObjectStore } from '../clients/object-store.js';
import { NamedVersions } from '../fleet/named-versions.js';
import { StoreClock } from '../fleet/store-clock.js';
import { sleep } from '../fleet/table-follower.js';
import { hash32, type Random } from '../model/random.js';
import type { Startable } from '../model/startable.js';
import { withLimit } from '../model/time-limit.js';
import type { Log } from '../observability/log.js';
import type { EngineReport, HeldPieces, WeightsPlan } from '../protocol/reports.js';
import type { ObservedEngine } from '../systems/slot-table.js';
import { SMALL_BATCH } from '../systems/upload-limit.js';
import { agentSources, BATCH_TIMEOUT } from './agent-sources.js';
import { EngineStage } from './engine-stage.js';
import { EngineStarts } from './engine-starts.js';
import { EngineSwitch } from './engine-switch.js';
import {
  type HeldWeights,
  type PieceManifest,
  versionKey,
  type WeightsLibrary,
  type WeightsVersion,
} from './held-weights.js';
import { findManifest } from './manifest-search.js';
import { type FetchLimits, PieceFetcher } from './piece-fetcher.js';
import type { PieceOriginFactory, PieceSource } from './piece-source.js';
import { ReportThrottle } from './report-throttle.js';
import type { EngineState, StagedEngine } from './staged-engine.js';
import { shouldSkip, switchTime } from './switch-schedule.js';

/** Time between two looks at the engine, in milliseconds. */
const POLL_INTERVAL = 250;
/** The same where the engine serves and nothing is due there, in milliseconds. */
const UP_TO_DATE_POLL_INTERVAL = 400;
const CALL_TIMEOUT = 1_000;
/** Fetch rates: an engine without weights leaves its whole link to the fetch, one that serves shares it with requests. */
const UNLOADED_FETCH_LIMITS: FetchLimits = { open: 2, batch: SMALL_BATCH, share: 1 };
const SERVING_FETCH_LIMITS: FetchLimits = { open: 2, batch: 1, share: 1 };
/** Above this time per piece the link is narrow, in milliseconds: several pieces at a time would delay requests. */
const SLOW_LINK_PIECE_TIME = 250;
const SLOW_LINK_FETCH_LIMITS: FetchLimits = { open: 1, batch: 1, share: 0.5 };
/** Time to fetch a version before this agent has fetched one, in milliseconds: 3.5 to 4.3 s were measured. */
const INITIAL_FETCH_TIME = 4_000;
/**
 * An agent asks entries alone for a manifest until this long, in milliseconds times its impatience (1 to 2): they have it
 * within 0.3 s of the naming where the origin answers. Where no entry is known the object store is asked at once.
 */
const MANIFEST_OBJECT_PATIENCE = 1_000;
const MANIFEST_ORIGIN_PATIENCE = 2_500;
/** A fetch without a piece for this long is stalled and lets the next version go first, in milliseconds. */
const STALL_TIME = 700;

interface Fetch {
  stopped: AbortController;
  held: HeldWeights | undefined;
  fetcher: PieceFetcher | undefined;
}

/** What the loader works with. */
export interface EngineLoaderOptions {
  engine: StagedEngine;
  /** Address at which the engine takes requests. */
  engineAddress: string;
  /** `host:port` of this process, which is no source for itself. */
  address: string;
  /** `host:port` at which slots of the engine are given out. */
  slotAddress: string;
  /** Takes what was read of the engine; undefined where nothing is known of it. */
  onEngineState: (engine: ObservedEngine | undefined) => void;
  library: WeightsLibrary;
  objects: ListedObjectStore;
  originAt: PieceOriginFactory;
  sendReport: (report: EngineReport) => void;
  random: Random;
  log: Log;
}

/** The loader. */
export class EngineLoader implements Startable {
  readonly #options: EngineLoaderOptions;
  readonly #stage: EngineStage;
  readonly #engineSwitch: EngineSwitch;
  readonly #starts = new EngineStarts();
  readonly #clock = new StoreClock();
  readonly #versions = new NamedVersions(this.#clock);
  readonly #fetches = new Map<string, Fetch>();
  readonly #patienceFactor: number;
  /** When all pieces of each version were here. */
  readonly #completeAt = new Map<string, number>();
  #stopped = new AbortController();
  #plan: WeightsPlan | undefined;
  #engineState: EngineState | undefined;
  #isAdvancing = false;
  /** Ends the reading of the stage; undefined where none has begun since the engine was reached. */
  #stageRead: AbortController | undefined;
  readonly #reportThrottle = new ReportThrottle();
  /** Time that the latest fetch took, in milliseconds. */
  #fetchTime = INITIAL_FETCH_TIME;

  constructor(options: EngineLoaderOptions) {
    this.#options = options;
    this.#stage = new EngineStage(options.engine, options.log);
    this.#engineSwitch = new EngineSwitch({
      engine: options.engine,
      onState: (state, askedAt) => void this.#applyState(state, askedAt),
      onChange: () => {
        this.#publishState();
        this.#sendReport();
      },
      log: options.log,
    });
    this.#patienceFactor = 1 + options.random.fraction();
  }

  async start(): Promise<void> {
    this.#stopped = new AbortController();
    void this.#run(this.#stopped.signal);
  }

  async stop(): Promise<void> {
    this.#stopped.abort();
    this.#cancelStageRead();
    for (const { stopped } of this.#fetches.values()) stopped.abort();
  }

  /** Takes what an entry tells. */
  applyPlan(received: WeightsPlan): void {
    // An entry that has just started knows of no version yet: what is being fetched goes on.
    const plan =
      received.versions.length === 0 ? { ...received, versions: this.#plan?.versions ?? [] } : received;
    this.#plan = plan;
    const now = performance.now();
    this.#clock.note(plan.storeTime, now);
    for (const named of plan.versions) {
      if (!this.#versions.note(named)) continue;
      const ageMs = Math.round(now - this.#versions.namedAt(named));
      this.#options.log.info('version wanted', { model: named.model, version: named.version, ageMs });
    }
    this.#reconcileFetches();
  }

  /** True once an entry, or the store, has told what to load. */
  get hasPlan(): boolean {
    return this.#plan !== undefined;
  }

  /** Tells an entry that has just been connected. */
  report(): void {
    this.#reportThrottle.reset();
    this.#sendReport();
  }

  async #run(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      await this.#poll(signal);
      await sleep(this.#isUpToDate ? UP_TO_DATE_POLL_INTERVAL : POLL_INTERVAL, signal);
    }
  }

  /** True where the engine serves the newest version that is wanted. */
  get #isUpToDate(): boolean {
    const newest = Math.max(0, ...(this.#plan?.versions ?? []).map(({ version }) => version));
    return this.#loadedVersion > 0 && this.#loadedVersion >= newest;
  }

  async #poll(signal: AbortSignal): Promise<void> {
    const askedAt = performance.now();
    const state = await this.#options.engine.state(withLimit(signal, CALL_TIMEOUT));
    const wasReachable = this.#engineState !== undefined;
    if (!this.#applyState(state.ok ? state.value : undefined, askedAt)) return;
    if (wasReachable !== state.ok)
      this.#options.log.info(state.ok ? 'engine regained' : 'engine lost', {
        address: this.#options.engineAddress,
      });
    this.#sendReport();
    if (!state.ok) return this.#cancelStageRead();
    this.#startStageRead(state.value);
    await this.#advance(state.value, signal);
  }

  /** Takes a state that was asked for at `askedAt`; false where it is of a former start of the engine. */
  #applyState(state: EngineState | undefined, askedAt: number): boolean {
    const news = state && this.#starts.noteAnswer(state.start, askedAt, performance.now());
    if (news === 'older') return false;
    if (news === 'newer') this.#handleRestart();
    this.#engineState = state;
    this.#publishState();
    return true;
  }

  /** The engine has started again. What this process holds itself is as good as before. */
  #handleRestart(): void {
    this.#stage.invalidate();
    this.#cancelStageRead();
    const { engineAddress: address, log } = this.#options;
    log.info('engine started again', { address, start: this.#starts.current });
  }

  /** Tells who gives out the engine's slots how it stands. */
  #publishState(): void {
    // Without a plan it is not known how many layers a whole version has.
    if (this.#plan === undefined || this.#engineState === undefined)
      return this.#options.onEngineState(undefined);
    this.#options.onEngineState({
      start: this.#starts.current,
      isServing: this.#loadedVersion > 0 && !this.#isSwitching,
      load: this.#engineState.load,
      rateLimit: this.#engineState.rateLimit,
    });
  }

  get #isSwitching(): boolean {
    return this.#engineSwitch.isRunning || this.#engineState?.isBusy === true;
  }

  /** The version of which the engine holds every layer; 0 for none. */
  get #loadedVersion(): number {
    const layers = this.#engineState?.layers;
    const count = this.#plan?.layers ?? Number.POSITIVE_INFINITY;
    return layers !== undefined && layers.from === 0 && layers.end >= count ? layers.version : 0;
  }

  /**
   * Takes over what lies in the stage already: others can have it from here. Beside the looks at the engine, which must not wait
   * for it: while nobody had the manifest of the engine's version, its agent looked no more and never ordered the next one.
   */
  #startStageRead({ model }: EngineState): void {
    if (this.#plan === undefined || this.#stageRead !== undefined) return;
    this.#stageRead = new AbortController();
    const version = this.#loadedVersion;
    if (version > 0) void this.#importStage({ model, version }, this.#stageRead.signal);
  }

  #cancelStageRead(): void {
    this.#stageRead?.abort();
    this.#stageRead = undefined;
  }

  async #importStage(version: WeightsVersion, signal: AbortSignal): Promise<void> {
    const manifest = await this.#findManifest(version, signal);
    if (manifest === undefined) return;
    const { library } = this.#options;
    await this.#stage.read(library.open(manifest), library, signal);
  }

  /** Begins and ends fetches as the plan says. */
  #reconcileFetches(): void {
    const wanted = new Map(
      this.#plan!.versions.map(({ model, version }) => [versionKey({ model, version }), { model, version }]),
    );
    for (const [key, fetch] of this.#fetches) {
      if (wanted.has(key)) continue;
      fetch.stopped.abort();
      this.#fetches.delete(key);
    }
    for (const [key, version] of wanted) {
      if (this.#fetches.has(key)) continue;
      const fetch: Fetch = { stopped: new AbortController(), held: undefined, fetcher: undefined };
      this.#fetches.set(key, fetch);
      void this.#fetch(fetch, version);
    }
  }

  async #fetch(fetch: Fetch, version: WeightsVersion): Promise<void> {
    const { signal } = fetch.stopped;
    const { library, random, log } = this.#options;
    const manifest = await this.#findManifest(version, signal);
    if (manifest === undefined) return;
    const held = library.open(manifest);
    fetch.held = held;
    const sources = () => this.#sources(held);
    const mayFetch = () => this.#mayFetch(version);
    const limits = () => this.#fetchLimits(fetch.fetcher);
    fetch.fetcher = new PieceFetcher({
      held,
      library,
      sources,
      mayFetch,
      limits,
      overdueAfter: BATCH_TIMEOUT,
      random,
      log,
    });
    await fetch.fetcher.run(signal);
    if (!held.complete) return;
    this.#completeAt.set(versionKey(version), performance.now());
    if (fetch.fetcher.duration > 0) this.#fetchTime = fetch.fetcher.duration;
    // Not under the signal of this fetch: what is done for the engine goes on when the version is not wanted any more.
    if (!signal.aborted && this.#engineState !== undefined)
      await this.#advance(this.#engineState, this.#stopped.signal);
  }

  /**
   * Versions are fetched one after the other, in the order of their naming; one that this engine will leave out comes
   * last. One that makes no progress lets the others go first.
   */
  #mayFetch({ model, version }: WeightsVersion): boolean {
    if (this.#engineState === undefined || this.#loadedVersion >= version) return false;
    const now = performance.now();
    for (const { held, fetcher } of this.#fetches.values()) {
      if (held === undefined || fetcher === undefined || held.complete || held.manifest.model !== model)
        continue;
      if (now - fetcher.lastPieceAt > STALL_TIME || this.#loadedVersion >= held.manifest.version) continue;
      if (this.#precedes(held.manifest, { model, version })) return false;
    }
    return true;
  }

  #fetchLimits(fetcher: PieceFetcher | undefined): FetchLimits {
    if (this.#loadedVersion === 0) return UNLOADED_FETCH_LIMITS;
    return (fetcher?.lastBatchDuration ?? 0) > SLOW_LINK_PIECE_TIME
      ? SLOW_LINK_FETCH_LIMITS
      : SERVING_FETCH_LIMITS;
  }

  /** Whether `one` is fetched before `other`. */
  #precedes(one: WeightsVersion, other: WeightsVersion): boolean {
    if (one.version === other.version) return false;
    const older = one.version < other.version ? one : other;
    return this.#shouldLoad(older) ? one.version < other.version : one.version > other.version;
  }

  #findManifest(version: WeightsVersion, signal: AbortSignal): Promise<PieceManifest | undefined> {
    const { library, objects, originAt } = this.#options;
    const startedAt = performance.now();
    const isHolder = ({ held }: { held: HeldPieces[] }) =>
      held.some((one) => versionKey(one) === versionKey(version));
    const hasElapsed = (patience: number) => performance.now() - startedAt >= patience * this.#patienceFactor;
    const origin = () => {
      const address = this.#plan?.origin ?? '';
      return address === '' || !hasElapsed(MANIFEST_ORIGIN_PATIENCE) ? undefined : originAt(address);
    };
    const hasEntries = () => (this.#plan?.entries.length ?? 0) > 0;
    return findManifest(
      version,
      {
        library,
        processes: () => (this.#plan?.holders ?? []).filter(isHolder).map(({ address }) => address),
        origin,
        objects: () => (!hasEntries() || hasElapsed(MANIFEST_OBJECT_PATIENCE) ? objects : undefined),
      },
      signal,
    );
  }

  #sources({ manifest }: HeldWeights): PieceSource[] {
    const { objects, originAt, address } = this.#options;
    const plan = this.#plan!;
    const patienceFactor = this.#patienceFactor;
    return agentSources({
      plan,
      manifest,
      objects,
      originAt,
      offset: hash32(address),
      patienceFactor,
    });
  }

  /** Lays the newest whole version into the stage, and orders the engine to take it when its turn has come. */
  async #advance(state: EngineState, signal: AbortSignal): Promise<void> {
    if (state.isBusy || this.#isAdvancing) return;
    this.#isAdvancing = true;
    const held = this.#nextVersion(state);
    if (held !== undefined) {
      // What lies there goes.
      this.#stageRead?.abort();
      await this.#stage.fill(held, signal);
      if (performance.now() >= this.#switchTime(held, this.#completeAt.get(versionKey(held.manifest)) ?? 0))
        await this.#switch(held, state, signal);
    }
    this.#isAdvancing = false;
  }

  /** The version that the engine should take next: the newest that is whole here and newer than the engine's. */
  #nextVersion(state: EngineState): HeldWeights | undefined {
    const candidates = this.#options.library
      .all()
      .filter(({ complete, manifest }) => complete && (state.model === '' || manifest.model === state.model))
      .filter(({ manifest }) => manifest.version > this.#loadedVersion)
      .sort((a, b) => b.manifest.version - a.manifest.version);
    return candidates.find(({ manifest }) => this.#shouldLoad(manifest));
  }

  /** False for a version that is left out because a newer one will be here in time. */
  #shouldLoad(version: WeightsVersion): boolean {
    const { model } = version;
    const newest = this.#versions.newest(model);
    const candidate = this.#versions.all().find((one) => versionKey(one) === versionKey(version));
    if (newest === undefined || candidate === undefined || newest.version <= version.version) return true;
    if (this.#loadedVersion === 0) return false;
    return !shouldSkip({
      namedAt: this.#versions.namedAt(candidate),
      newestNamedAt: this.#versions.namedAt(newest),
      newestCompleteAt: this.#expectedCompletion(newest),
      expiresAt: this.#servedVersionExpiry(model),
      bound: this.#plan?.bound ?? 0,
      position: this.#plan?.position ?? 0,
    });
  }

  /** When all pieces of a version will be here, as far as can be told; one that stands still will never be. */
  #expectedCompletion(version: WeightsVersion): number {
    const now = performance.now();
    const fetch = this.#fetches.get(versionKey(version));
    if (fetch?.held?.complete === true) return now;
    if (fetch?.fetcher === undefined || fetch.held === undefined) return now + this.#fetchTime;
    const precedingEnd = this.#precedingFetchesEnd(fetch.held.manifest);
    if (precedingEnd !== undefined) return precedingEnd + this.#fetchTime;
    if (now - fetch.fetcher.lastPieceAt > STALL_TIME) return Number.POSITIVE_INFINITY;
    return Math.min(fetch.fetcher.expectedEnd, now + this.#fetchTime);
  }

  /** When the fetches end that go before the one of `version`; undefined where there are none. */
  #precedingFetchesEnd(version: WeightsVersion): number | undefined {
    const now = performance.now();
    const ends = [...this.#fetches.values()].flatMap(({ held, fetcher }) => {
      if (held === undefined || fetcher === undefined || held.complete) return [];
      const { manifest } = held;
      const isOlder = manifest.model === version.model && manifest.version < version.version;
      const isStalled = now - fetcher.lastPieceAt > STALL_TIME;
      if (!isOlder || isStalled || manifest.version <= this.#loadedVersion) return [];
      return Math.min(fetcher.expectedEnd, now + this.#fetchTime);
    });
    return ends.length === 0 ? undefined : Math.max(...ends);
  }

  #switchTime({ manifest }: HeldWeights, completeAt: number): number {
    const named = this.#versions.all().find((one) => versionKey(one) === versionKey(manifest));
    return switchTime({
      version: this.#loadedVersion,
      expiresAt: this.#servedVersionExpiry(manifest.model),
      namedAt: named === undefined ? Number.NEGATIVE_INFINITY : this.#versions.namedAt(named),
      completeAt,
      bound: this.#plan?.bound ?? 0,
      position: this.#plan?.position ?? 0,
    });
  }

  /** Until when requests may start on the engine's version: some while after the next newer one was named. */
  #servedVersionExpiry(model: string): number {
    return this.#versions.expiryOf(model, this.#loadedVersion, this.#plan?.bound ?? 0);
  }

  /** Time until the engine is to be ordered to take a version, as far as can be told; undefined where none is due. */
  #switchesIn(): number | undefined {
    if (this.#engineSwitch.isRunning) return undefined;
    const now = performance.now();
    const due = [...this.#fetches.values()].flatMap(({ held, fetcher }) => {
      if (held === undefined || fetcher === undefined || held.manifest.version <= this.#loadedVersion)
        return [];
      if (!this.#shouldLoad(held.manifest)) return [];
      const completeAt =
        this.#completeAt.get(versionKey(held.manifest)) ?? this.#expectedCompletion(held.manifest);
      return Math.max(now, completeAt, this.#switchTime(held, completeAt)) - now;
    });
    const next = Math.min(...due);
    return Number.isFinite(next) ? next : undefined;
  }

  async #switch(held: HeldWeights, state: EngineState, signal: AbortSignal): Promise<void> {
    if (!(await this.#stage.verify(held, signal))) return;
    const { model, version } = held.manifest;
    const order = { target: { model, version }, state, served: this.#loadedVersion };
    await this.#engineSwitch.run(order, signal);
  }

  #sendReport(): void {
    const report: EngineReport = {
      start: this.#starts.current,
      follows: this.#starts.previous,
      address: this.#options.engineAddress,
      slotAddress: this.#options.slotAddress,
      version: this.#loadedVersion,
      isReached: this.#engineState !== undefined && this.#plan !== undefined,
      isSwitching: this.#isSwitching,
      load: this.#engineState?.load ?? 0,
      switchesIn: this.#switchesIn(),
      held: this.#heldPieces(),
    };
    if (this.#reportThrottle.admit(report, performance.now())) this.#options.sendReport(report);
  }

  #heldPieces(): HeldPieces[] {
    return this.#options.library.all().map(({ manifest, have }) => ({
      model: manifest.model,
      version: manifest.version,
      count: have.capacity,
      have: have.toBytes(),
      drawing: [],
      stored: [],
    }));
  }
}
