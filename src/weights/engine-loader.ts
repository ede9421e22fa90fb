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
import { agentSources, BATCH_LIMIT } from './agent-sources.js';
import { EngineStage } from './engine-stage.js';
import { EngineStarts } from './engine-starts.js';
import { EngineSwitch } from './engine-switch.js';
import {
  type HeldWeights,
  keyOf,
  type PieceManifest,
  type WeightsLibrary,
  type WeightsVersion,
} from './held-weights.js';
import { findManifest } from './manifest-search.js';
import { type FetchPace, PieceFetcher } from './piece-fetcher.js';
import type { PieceOriginFactory, PieceSource } from './piece-source.js';
import { ReportNews } from './report-news.js';
import type { EngineState, StagedEngine } from './staged-engine.js';
import { shouldSkip, switchTime } from './switch-schedule.js';

/** Time between two looks at the engine, in milliseconds. */
const LOOK_INTERVAL = 250;
/** The same where the engine serves and nothing is due there, in milliseconds. */
const CALM_LOOK_INTERVAL = 400;
const CALL_LIMIT = 1_000;
/** Fetch rates: an engine without weights leaves its whole link to the fetch, one that serves shares it with requests. */
const IDLE_PACE: FetchPace = { open: 2, batch: SMALL_BATCH, share: 1 };
const SERVING_PACE: FetchPace = { open: 2, batch: 1, share: 1 };
/** Above this time per piece the link is narrow, in milliseconds: several pieces at a time would delay requests. */
const SLOW_PIECE = 250;
const NARROW_PACE: FetchPace = { open: 1, batch: 1, share: 0.5 };
/** Time to fetch a version before this agent has fetched one, in milliseconds: 3.5 to 4.3 s were measured. */
const FIRST_FETCH = 4_000;
/**
 * An agent asks entries alone for a manifest until this long, in milliseconds times its impatience (1 to 2): they have it
 * within 0.3 s of the naming where the origin answers. Where no entry is known the object store is asked at once.
 */
const MANIFEST_OBJECT_PATIENCE = 1_000;
const MANIFEST_ORIGIN_PATIENCE = 2_500;
/** A fetch without a piece for this long is stalled and lets the next version go first, in milliseconds. */
const STALLED = 700;

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
  onEngine: (engine: ObservedEngine | undefined) => void;
  library: WeightsLibrary;
  objects: ListedObjectStore;
  originAt: PieceOriginFactory;
  tell: (report: EngineReport) => void;
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
  readonly #impatience: number;
  /** When all pieces of each version were here. */
  readonly #completeAt = new Map<string, number>();
  #stopped = new AbortController();
  #plan: WeightsPlan | undefined;
  #engine: EngineState | undefined;
  #isAdvancing = false;
  /** Ends the reading of the stage; undefined where none has begun since the engine was reached. */
  #stageReading: AbortController | undefined;
  readonly #reportNews = new ReportNews();
  /** Time that the latest fetch took, in milliseconds. */
  #fetchTime = FIRST_FETCH;

  constructor(options: EngineLoaderOptions) {
    this.#options = options;
    this.#stage = new EngineStage(options.engine, options.log);
    this.#engineSwitch = new EngineSwitch({
      engine: options.engine,
      onState: (state, askedAt) => void this.#takeState(state, askedAt),
      onChange: () => {
        this.#observe();
        this.#tell();
      },
      log: options.log,
    });
    this.#impatience = 1 + options.random.fraction();
  }

  async start(): Promise<void> {
    this.#stopped = new AbortController();
    void this.#run(this.#stopped.signal);
  }

  async stop(): Promise<void> {
    this.#stopped.abort();
    this.#endStageReading();
    for (const { stopped } of this.#fetches.values()) stopped.abort();
  }

  /** Takes what an entry tells. */
  takePlan(told: WeightsPlan): void {
    // An entry that has just started knows of no version yet: what is being fetched goes on.
    const plan = told.versions.length === 0 ? { ...told, versions: this.#plan?.versions ?? [] } : told;
    this.#plan = plan;
    const now = performance.now();
    this.#clock.addSample(plan.storeTime, now);
    for (const named of plan.versions) {
      if (!this.#versions.add(named)) continue;
      const ageMs = Math.round(now - this.#versions.namedAt(named));
      this.#options.log.info('version wanted', { model: named.model, version: named.version, ageMs });
    }
    this.#reviewFetches();
  }

  /** True once an entry, or the store, has told what to load. */
  get hasPlan(): boolean {
    return this.#plan !== undefined;
  }

  /** Tells an entry that has just been connected. */
  report(): void {
    this.#reportNews.forget();
    this.#tell();
  }

  async #run(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      await this.#look(signal);
      await sleep(this.#isCalm ? CALM_LOOK_INTERVAL : LOOK_INTERVAL, signal);
    }
  }

  /** True where the engine serves the newest version that is wanted. */
  get #isCalm(): boolean {
    const newest = Math.max(0, ...(this.#plan?.versions ?? []).map(({ version }) => version));
    return this.#wholeVersion > 0 && this.#wholeVersion >= newest;
  }

  async #look(signal: AbortSignal): Promise<void> {
    const askedAt = performance.now();
    const state = await this.#options.engine.state(withLimit(signal, CALL_LIMIT));
    const wasReachable = this.#engine !== undefined;
    if (!this.#takeState(state.ok ? state.value : undefined, askedAt)) return;
    if (wasReachable !== state.ok)
      this.#options.log.info(state.ok ? 'engine regained' : 'engine lost', {
        address: this.#options.engineAddress,
      });
    this.#tell();
    if (!state.ok) return this.#endStageReading();
    this.#beginStageReading(state.value);
    await this.#advance(state.value, signal);
  }

  /** Takes a state that was asked for at `askedAt`; false where it is of a former start of the engine. */
  #takeState(state: EngineState | undefined, askedAt: number): boolean {
    const news = state && this.#starts.take(state.start, askedAt, performance.now());
    if (news === 'older') return false;
    if (news === 'newer') this.#forgetEngine();
    this.#engine = state;
    this.#observe();
    return true;
  }

  /** The engine has started again. What this process holds itself is as good as before. */
  #forgetEngine(): void {
    this.#stage.forget();
    this.#endStageReading();
    const { engineAddress: address, log } = this.#options;
    log.info('engine started again', { address, start: this.#starts.present });
  }

  /** Tells who gives out the engine's slots how it stands. */
  #observe(): void {
    // Without a plan it is not known how many layers a whole version has.
    if (this.#plan === undefined || this.#engine === undefined) return this.#options.onEngine(undefined);
    this.#options.onEngine({
      start: this.#starts.present,
      isServing: this.#wholeVersion > 0 && !this.#isSwitching,
      load: this.#engine.load,
      rateLimit: this.#engine.rateLimit,
    });
  }

  get #isSwitching(): boolean {
    return this.#engineSwitch.isRunning || this.#engine?.isBusy === true;
  }

  /** The version of which the engine holds every layer; 0 for none. */
  get #wholeVersion(): number {
    const layers = this.#engine?.layers;
    const count = this.#plan?.layers ?? Number.POSITIVE_INFINITY;
    return layers !== undefined && layers.from === 0 && layers.end >= count ? layers.version : 0;
  }

  /**
   * Takes over what lies in the stage already: others can have it from here. Beside the looks at the engine, which must not wait
   * for it: while nobody had the manifest of the engine's version, its agent looked no more and never ordered the next one.
   */
  #beginStageReading({ model }: EngineState): void {
    if (this.#plan === undefined || this.#stageReading !== undefined) return;
    this.#stageReading = new AbortController();
    const version = this.#wholeVersion;
    if (version > 0) void this.#readStage({ model, version }, this.#stageReading.signal);
  }

  #endStageReading(): void {
    this.#stageReading?.abort();
    this.#stageReading = undefined;
  }

  async #readStage(version: WeightsVersion, signal: AbortSignal): Promise<void> {
    const manifest = await this.#manifest(version, signal);
    if (manifest === undefined) return;
    const { library } = this.#options;
    await this.#stage.read(library.open(manifest), library, signal);
  }

  /** Begins and ends fetches as the plan says. */
  #reviewFetches(): void {
    const wanted = new Map(
      this.#plan!.versions.map(({ model, version }) => [keyOf({ model, version }), { model, version }]),
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
    const manifest = await this.#manifest(version, signal);
    if (manifest === undefined) return;
    const held = library.open(manifest);
    fetch.held = held;
    const sources = () => this.#sources(held);
    const mayAsk = () => this.#mayAsk(version);
    const pace = () => this.#pace(fetch.fetcher);
    fetch.fetcher = new PieceFetcher({
      held,
      library,
      sources,
      mayAsk,
      pace,
      overdue: BATCH_LIMIT,
      random,
      log,
    });
    await fetch.fetcher.run(signal);
    if (!held.complete) return;
    this.#completeAt.set(keyOf(version), performance.now());
    if (fetch.fetcher.took > 0) this.#fetchTime = fetch.fetcher.took;
    // Not under the signal of this fetch: what is done for the engine goes on when the version is not wanted any more.
    if (!signal.aborted && this.#engine !== undefined)
      await this.#advance(this.#engine, this.#stopped.signal);
  }

  /**
   * Versions are fetched one after the other, in the order of their naming; one that this engine will leave out comes
   * last. One that makes no progress lets the others go first.
   */
  #mayAsk({ model, version }: WeightsVersion): boolean {
    if (this.#engine === undefined || this.#wholeVersion >= version) return false;
    const now = performance.now();
    for (const { held, fetcher } of this.#fetches.values()) {
      if (held === undefined || fetcher === undefined || held.complete || held.manifest.model !== model)
        continue;
      if (now - fetcher.progressAt > STALLED || this.#wholeVersion >= held.manifest.version) continue;
      if (this.#goesBefore(held.manifest, { model, version })) return false;
    }
    return true;
  }

  #pace(fetcher: PieceFetcher | undefined): FetchPace {
    if (this.#wholeVersion === 0) return IDLE_PACE;
    return (fetcher?.batchTime ?? 0) > SLOW_PIECE ? NARROW_PACE : SERVING_PACE;
  }

  /** Whether `one` is fetched before `other`. */
  #goesBefore(one: WeightsVersion, other: WeightsVersion): boolean {
    if (one.version === other.version) return false;
    const older = one.version < other.version ? one : other;
    return this.#isWorthwhile(older) ? one.version < other.version : one.version > other.version;
  }

  #manifest(version: WeightsVersion, signal: AbortSignal): Promise<PieceManifest | undefined> {
    const { library, objects, originAt } = this.#options;
    const startedAt = performance.now();
    const isHolder = ({ held }: { held: HeldPieces[] }) => held.some((one) => keyOf(one) === keyOf(version));
    const isPatienceOver = (patience: number) => performance.now() - startedAt >= patience * this.#impatience;
    const origin = () => {
      const address = this.#plan?.origin ?? '';
      return address === '' || !isPatienceOver(MANIFEST_ORIGIN_PATIENCE) ? undefined : originAt(address);
    };
    const hasEntries = () => (this.#plan?.entries.length ?? 0) > 0;
    return findManifest(
      version,
      {
        library,
        processes: () => (this.#plan?.holders ?? []).filter(isHolder).map(({ address }) => address),
        origin,
        objects: () => (!hasEntries() || isPatienceOver(MANIFEST_OBJECT_PATIENCE) ? objects : undefined),
      },
      signal,
    );
  }

  #sources({ manifest }: HeldWeights): PieceSource[] {
    const { objects, originAt, address } = this.#options;
    const plan = this.#plan!;
    const impatience = this.#impatience;
    return agentSources({ plan, manifest, objects, originAt, offset: hash32(address), impatience });
  }

  /** Lays the newest whole version into the stage, and orders the engine to take it when its turn has come. */
  async #advance(state: EngineState, signal: AbortSignal): Promise<void> {
    if (state.isBusy || this.#isAdvancing) return;
    this.#isAdvancing = true;
    const held = this.#next(state);
    if (held !== undefined) {
      // What lies there goes.
      this.#stageReading?.abort();
      await this.#stage.lay(held, signal);
      if (performance.now() >= this.#switchTime(held, this.#completeAt.get(keyOf(held.manifest)) ?? 0))
        await this.#switch(held, state, signal);
    }
    this.#isAdvancing = false;
  }

  /** The version that the engine should take next: the newest that is whole here and newer than the engine's. */
  #next(state: EngineState): HeldWeights | undefined {
    const whole = this.#options.library
      .all()
      .filter(({ complete, manifest }) => complete && (state.model === '' || manifest.model === state.model))
      .filter(({ manifest }) => manifest.version > this.#wholeVersion)
      .sort((a, b) => b.manifest.version - a.manifest.version);
    return whole.find(({ manifest }) => this.#isWorthwhile(manifest));
  }

  /** False for a version that is left out because a newer one will be here in time. */
  #isWorthwhile(version: WeightsVersion): boolean {
    const { model } = version;
    const newest = this.#versions.newest(model);
    const own = this.#versions.all().find((one) => keyOf(one) === keyOf(version));
    if (newest === undefined || own === undefined || newest.version <= version.version) return true;
    if (this.#wholeVersion === 0) return false;
    return !shouldSkip({
      namedAt: this.#versions.namedAt(own),
      newestNamedAt: this.#versions.namedAt(newest),
      newestCompleteAt: this.#expectedCompletion(newest),
      expiresAt: this.#expiry(model),
      bound: this.#plan?.bound ?? 0,
      position: this.#plan?.position ?? 0,
    });
  }

  /** When all pieces of a version will be here, as far as can be told; one that stands still will never be. */
  #expectedCompletion(version: WeightsVersion): number {
    const now = performance.now();
    const fetch = this.#fetches.get(keyOf(version));
    if (fetch?.held?.complete === true) return now;
    if (fetch?.fetcher === undefined || fetch.held === undefined) return now + this.#fetchTime;
    const before = this.#fetchBefore(fetch.held.manifest);
    if (before !== undefined) return before + this.#fetchTime;
    if (now - fetch.fetcher.progressAt > STALLED) return Number.POSITIVE_INFINITY;
    return Math.min(fetch.fetcher.expectedEnd, now + this.#fetchTime);
  }

  /** When the fetches end that go before the one of `version`; undefined where there are none. */
  #fetchBefore(version: WeightsVersion): number | undefined {
    const now = performance.now();
    const ends = [...this.#fetches.values()].flatMap(({ held, fetcher }) => {
      if (held === undefined || fetcher === undefined || held.complete) return [];
      const { manifest } = held;
      const isOlder = manifest.model === version.model && manifest.version < version.version;
      const isStalled = now - fetcher.progressAt > STALLED;
      if (!isOlder || isStalled || manifest.version <= this.#wholeVersion) return [];
      return Math.min(fetcher.expectedEnd, now + this.#fetchTime);
    });
    return ends.length === 0 ? undefined : Math.max(...ends);
  }

  #switchTime({ manifest }: HeldWeights, completeAt: number): number {
    const named = this.#versions.all().find((one) => keyOf(one) === keyOf(manifest));
    return switchTime({
      version: this.#wholeVersion,
      expiresAt: this.#expiry(manifest.model),
      namedAt: named === undefined ? Number.NEGATIVE_INFINITY : this.#versions.namedAt(named),
      completeAt,
      bound: this.#plan?.bound ?? 0,
      position: this.#plan?.position ?? 0,
    });
  }

  /** Until when requests may start on the engine's version: some while after the next newer one was named. */
  #expiry(model: string): number {
    return this.#versions.expiryOf(model, this.#wholeVersion, this.#plan?.bound ?? 0);
  }

  /** Time until the engine is to be ordered to take a version, as far as can be told; undefined where none is due. */
  #switchesIn(): number | undefined {
    if (this.#engineSwitch.isRunning) return undefined;
    const now = performance.now();
    const due = [...this.#fetches.values()].flatMap(({ held, fetcher }) => {
      if (held === undefined || fetcher === undefined || held.manifest.version <= this.#wholeVersion)
        return [];
      if (!this.#isWorthwhile(held.manifest)) return [];
      const completeAt =
        this.#completeAt.get(keyOf(held.manifest)) ?? this.#expectedCompletion(held.manifest);
      return Math.max(now, completeAt, this.#switchTime(held, completeAt)) - now;
    });
    const next = Math.min(...due);
    return Number.isFinite(next) ? next : undefined;
  }

  async #switch(held: HeldWeights, state: EngineState, signal: AbortSignal): Promise<void> {
    if (!(await this.#stage.verify(held, signal))) return;
    const { model, version } = held.manifest;
    const order = { target: { model, version }, state, served: this.#wholeVersion };
    await this.#engineSwitch.run(order, signal);
  }

  #tell(): void {
    const report: EngineReport = {
      start: this.#starts.present,
      follows: this.#starts.former,
      address: this.#options.engineAddress,
      slotAddress: this.#options.slotAddress,
      version: this.#wholeVersion,
      isReached: this.#engine !== undefined && this.#plan !== undefined,
      isSwitching: this.#isSwitching,
      load: this.#engine?.load ?? 0,
      switchesIn: this.#switchesIn(),
      held: this.#held(),
    };
    if (this.#reportNews.take(report, performance.now())) this.#options.tell(report);
  }

  #held(): HeldPieces[] {
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
