/**
 * Loads the versions named in the entry's plan into the engine next to this agent: fetches the pieces, writes
 * them to the engine's stage, reads them back to verify them, and orders the engine to load them when its
 * turn in the switch schedule has come. No other process has to give orders: if no entry answers, the agent
 * uses the object store and the origin on its own.
 */
import type { ListedObjectStore } from '../clients/object-store.js';
import { NamedVersions } from '../fleet/named-versions.js';
import { StoreClock } from '../fleet/store-clock.js';
import { sleep } from '../fleet/table-follower.js';
import type { Random } from '../model/random.js';
import type { Startable } from '../model/startable.js';
import { withLimit } from '../model/time-limit.js';
import type { Log } from '../observability/log.js';
import type { EngineReport, HeldPieces, WeightsPlan } from '../protocol/reports.js';
import { EngineWarmUp } from '../systems/engine-warm-up.js';
import type { LayerProofs } from '../systems/layer-proofs.js';
import type { ObservedEngine } from '../systems/slot-table.js';
import { AgentEvacuation } from './agent-evacuation.js';
import { EngineHoldings } from './engine-holdings.js';
import { EngineStage } from './engine-stage.js';
import { EngineStarts } from './engine-starts.js';
import { EngineSwitch, type SwitchFigures } from './engine-switch.js';
import type { HeldWeights, WeightsLibrary, WeightsVersion } from './held-weights.js';
import type { PieceOriginFactory } from './piece-source.js';
import { PlannedFetches } from './planned-fetches.js';
import { ReportThrottle } from './report-throttle.js';
import type { EngineState, StagedEngine } from './staged-engine.js';
import { type VersionFetch, VersionOrder } from './version-order.js';

/** Interval at which the engine's state is polled, in milliseconds. */
const POLL_INTERVAL = 250;
/** The same while the engine serves the newest wanted version, in milliseconds. */
const UP_TO_DATE_POLL_INTERVAL = 400;
const CALL_TIMEOUT = 1_000;
/** What {@link EngineLoader} counts. */
export interface LoaderFigures extends SwitchFigures {
  /** Corrupt pieces of the stage that were written again. */
  piecesReplaced: number;
  /** The engine is held back from requests until its weights are proven. */
  isInDoubt: boolean;
}

export interface EngineLoaderOptions {
  engine: StagedEngine;
  /** Address at which the engine accepts requests. */
  engineAddress: string;
  /** `host:port` of this agent. Its hash determines the piece at which the agent starts. */
  address: string;
  /** `host:port` at which the engine's slots are granted. */
  slotAddress: string;
  zone: string;
  /** Called with the engine's state after each poll; undefined if the state is unknown. */
  onEngineState: (engine: ObservedEngine | undefined) => void;
  library: WeightsLibrary;
  objects: ListedObjectStore;
  originAt: PieceOriginFactory;
  sendReport: (report: EngineReport) => void;
  random: Random;
  log: Log;
}

/** Keeps the engine on the versions of the current plan. */
export class EngineLoader implements Startable {
  readonly #options: EngineLoaderOptions;
  readonly #stage: EngineStage;
  readonly #engineSwitch: EngineSwitch;
  readonly #holdings: EngineHoldings;
  readonly #starts = new EngineStarts();
  readonly #evacuation: AgentEvacuation;
  readonly #warmUp = new EngineWarmUp();
  readonly #clock = new StoreClock();
  readonly #versions = new NamedVersions(this.#clock);
  readonly #fetches: PlannedFetches;
  readonly #order: VersionOrder;
  #stopped = new AbortController();
  #plan: WeightsPlan | undefined;
  #engineState: EngineState | undefined;
  /** When the engine's state was requested that was applied last. */
  #stateAskedAt = Number.NEGATIVE_INFINITY;
  #isAdvancing = false;
  /** The engine accepts no requests, so that it is idle when the next version is complete. */
  #isDrainingAhead = false;
  /** Cancels the import of the stage; undefined if none was started since the engine became reachable. */
  #stageRead: AbortController | undefined;
  readonly #reportThrottle = new ReportThrottle();

  constructor(options: EngineLoaderOptions) {
    this.#options = options;
    this.#stage = new EngineStage(options.engine, options.log);
    this.#evacuation = new AgentEvacuation(options.zone, options.log);
    this.#holdings = new EngineHoldings(options.log);
    this.#engineSwitch = new EngineSwitch({
      engine: options.engine,
      stage: this.#stage,
      onState: (state, askedAt) => void this.#applyState(state, askedAt),
      onEnding: (ending) => this.#holdings.noteEnding(ending),
      onChange: () => {
        this.#publishState();
        this.#sendReport();
      },
      log: options.log,
    });
    this.#fetches = new PlannedFetches({
      address: options.address,
      library: options.library,
      objects: options.objects,
      originAt: options.originAt,
      plan: () => this.#plan,
      mayFetch: (version) => this.#engineState !== undefined && this.#order.mayFetch(version),
      isServing: () => this.#loadedVersion > 0,
      onComplete: (fetch) => void this.#handleFetched(fetch),
      random: options.random,
      log: options.log,
    });
    this.#order = new VersionOrder({
      versions: this.#versions,
      fetches: this.#fetches.byVersion,
      plan: () => this.#plan,
      model: () => this.#engineState?.model ?? '',
      loadedVersion: () => this.#loadedVersion,
    });
  }

  async start(): Promise<void> {
    this.#stopped = new AbortController();
    void this.#run(this.#stopped.signal);
  }

  async stop(): Promise<void> {
    this.#stopped.abort();
    this.#cancelStageRead();
    this.#fetches.stop();
  }

  /** Applies a plan received from an entry or read from the store. */
  applyPlan(received: WeightsPlan): void {
    // An entry that has just started knows no versions and no configuration yet: fetches in progress continue.
    const versions = received.versions.length === 0 ? (this.#plan?.versions ?? []) : received.versions;
    const plan = { ...received, versions, layers: received.layers || (this.#plan?.layers ?? 0) };
    this.#plan = plan;
    if (received.hasUnfinishedSwitch === true) this.#holdings.noteUnfinishedSwitch();
    this.#warmUp.declare(received.warmUp ?? undefined);
    if (this.#evacuation.apply(received.evacuation)) this.#publishState();
    const now = performance.now();
    this.#clock.addSample(plan.storeTime, now);
    for (const named of plan.versions) {
      if (!this.#versions.add(named)) continue;
      const ageMs = Math.round(now - this.#versions.namedAt(named));
      this.#options.log.info('plan names a new version', {
        model: named.model,
        version: named.version,
        ageMs,
      });
    }
    this.#fetches.reconcile(plan.versions);
  }

  /** True once a plan has come from an entry or the store. */
  get hasPlan(): boolean {
    return this.#plan !== undefined;
  }

  /** Figures of the orders to the engine since the start of this process. */
  get figures(): LoaderFigures {
    const { orders, layersInDoubt } = this.#engineSwitch.figures;
    return {
      orders,
      layersInDoubt,
      piecesReplaced: this.#stage.replaced,
      isInDoubt: this.#holdings.isInDoubt,
    };
  }

  /** Sends a report at once, for an entry that has just been connected. */
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

  /** True if the engine serves the newest wanted version. */
  get #isUpToDate(): boolean {
    const newest = Math.max(0, ...(this.#plan?.versions ?? []).map(({ version }) => version));
    return this.#loadedVersion > 0 && this.#loadedVersion >= newest;
  }

  async #poll(signal: AbortSignal): Promise<void> {
    const askedAt = performance.now();
    const state = await this.#options.engine.state(withLimit(signal, CALL_TIMEOUT));
    const wasReachable = this.#engineState !== undefined;
    this.#updateDrain(this.#order.drainsAhead());
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

  #updateDrain(isDrainingAhead: boolean): void {
    if (isDrainingAhead === this.#isDrainingAhead) return;
    this.#isDrainingAhead = isDrainingAhead;
    const message = isDrainingAhead ? 'engine drains before a version is complete' : 'early drain ended';
    this.#options.log.info(message, { address: this.#options.engineAddress, version: this.#loadedVersion });
  }

  /** Applies a state requested at `askedAt`; returns false if a later one is known. */
  #applyState(state: EngineState | undefined, askedAt: number): boolean {
    const news = state && this.#starts.noteAnswer(state.start, askedAt, performance.now());
    // Calls overlap; a late answer must not take the number of orders back.
    if (news === 'older' || (news !== 'newer' && askedAt < this.#stateAskedAt)) return false;
    this.#stateAskedAt = askedAt;
    if (news === 'newer') this.#handleRestart();
    this.#warmUp.observe(state && { start: this.#starts.current }, performance.now());
    this.#engineState = state;
    if (state !== undefined) this.#holdings.observe(state, this.#engineSwitch.isRunning);
    this.#publishState();
    return true;
  }

  /**
   * Discards what is known of the stage after the engine has restarted. The pieces in this process remain
   * valid.
   */
  #handleRestart(): void {
    this.#stage.invalidate();
    this.#order.forgetRefusal();
    this.#cancelStageRead();
    const { engineAddress: address, log } = this.#options;
    log.info('engine restarted', { address, start: this.#starts.current });
  }

  /** Passes the engine's state on to the server of its slots. */
  #publishState(): void {
    // Without a plan the number of layers of a complete version is unknown.
    if (this.#plan === undefined || this.#engineState === undefined)
      return this.#options.onEngineState(undefined);
    this.#options.onEngineState({
      start: this.#starts.current,
      isServing: this.#loadedVersion > 0 && !this.#isSwitching && !this.#evacuation.isInForce,
      load: this.#engineState.load,
      pace: this.#engineState.pace,
      declaredPace: this.#plan.declaredPace ?? undefined,
      rateLimit: this.#engineState.rateLimit,
      cold: this.#warmUp.cold(performance.now()),
    });
  }

  get #isSwitching(): boolean {
    const isOccupied = this.#engineSwitch.isRunning || this.#engineState?.isBusy === true;
    return isOccupied || this.#isDrainingAhead || this.#holdings.isInDoubt;
  }

  /** The version of which the engine holds every layer; 0 if none, or if its weights are in doubt. */
  get #loadedVersion(): number {
    if (this.#holdings.isInDoubt) return 0;
    const layers = this.#engineState?.layers;
    const count = this.#plan?.layers ?? Number.POSITIVE_INFINITY;
    return layers !== undefined && layers.from === 0 && layers.end >= count ? layers.version : 0;
  }

  /**
   * Imports the pieces already in the stage, so that other processes can fetch them from here. Runs
   * concurrently with the polling of the engine: when polling waited for it and no process had the manifest
   * of the engine's version, polling stopped and the next version was never ordered.
   */
  #startStageRead({ model, layers }: EngineState): void {
    if (this.#plan === undefined || this.#stageRead !== undefined) return;
    this.#stageRead = new AbortController();
    const version = layers?.version ?? 0;
    if (version > 0) void this.#importStage({ model, version }, this.#stageRead.signal);
  }

  #cancelStageRead(): void {
    this.#stageRead?.abort();
    this.#stageRead = undefined;
  }

  async #importStage(version: WeightsVersion, signal: AbortSignal): Promise<void> {
    const manifest = await this.#fetches.findManifest(version, signal);
    if (manifest === undefined) return;
    const { library } = this.#options;
    await this.#stage.read(library.open(manifest), library, signal);
  }

  /** Orders the engine to load a version that has just been fetched, if its turn has come. */
  async #handleFetched({ stopped, fetcher }: VersionFetch): Promise<void> {
    if (fetcher !== undefined && fetcher.duration > 0) this.#order.fetchTime = fetcher.duration;
    if (stopped.signal.aborted || this.#engineState === undefined) return;
    // Not the signal of the fetch: a switch continues even if the version is no longer wanted.
    await this.#advance(this.#engineState, this.#stopped.signal);
  }

  /**
   * Writes the newest complete version to the stage, and orders the engine to load it once its switch time
   * has come.
   */
  async #advance(state: EngineState, signal: AbortSignal): Promise<void> {
    if (state.isBusy || this.#isAdvancing) return;
    this.#isAdvancing = true;
    const held = this.#nextVersion();
    if (held !== undefined) {
      // The stage is about to be overwritten.
      this.#stageRead?.abort();
      await this.#stage.fill(held, signal);
      const completeAt = this.#fetches.completeAt(held.manifest) ?? 0;
      const switchTime = this.#order.switchTime(held, completeAt);
      if (this.#isDrainingAhead || performance.now() >= switchTime) await this.#switch(held, state, signal);
    }
    this.#isAdvancing = false;
  }

  /**
   * The version to load next: the newest that is complete here, newer than the engine's and not to be
   * skipped.
   */
  #nextVersion(): HeldWeights | undefined {
    const candidates = this.#options.library
      .all()
      .filter(({ complete, manifest }) => complete && this.#order.isSuccessor(manifest))
      .sort((a, b) => b.manifest.version - a.manifest.version);
    return candidates.find(({ manifest }) => this.#order.shouldLoad(manifest));
  }

  /** Expected time until the engine is ordered to switch, in milliseconds; undefined if no switch is due. */
  #switchesIn(): number | undefined {
    if (this.#engineSwitch.isRunning) return undefined;
    const now = performance.now();
    const due = [...this.#fetches.byVersion.values()].flatMap(({ held, fetcher }) => {
      if (held === undefined || fetcher === undefined || !this.#order.isSuccessor(held.manifest)) return [];
      if (!this.#order.shouldLoad(held.manifest)) return [];
      const completeAt =
        this.#fetches.completeAt(held.manifest) ?? this.#order.expectedCompletion(held.manifest);
      return Math.max(now, completeAt, this.#order.switchTime(held, completeAt)) - now;
    });
    const next = Math.min(...due);
    return Number.isFinite(next) ? next : undefined;
  }

  #proofsOf({ manifest }: HeldWeights, state: EngineState): LayerProofs {
    return this.#holdings.proofsOf(manifest.version, state, this.#plan?.layers ?? 0);
  }

  /** Orders the engine to load a version that is in the stage. */
  async #switch(held: HeldWeights, state: EngineState, signal: AbortSignal): Promise<void> {
    const { version } = held.manifest;
    const proofs = this.#proofsOf(held, state);
    if (!(await this.#engineSwitch.prepare(held, proofs, signal))) return;
    // Without a newer version that is complete, loading goes on, also if a plan no longer names this one.
    const isWanted = () => (this.#nextVersion()?.manifest.version ?? 0) <= version;
    const order = { held, state, served: this.#loadedVersion, proofs, isWanted };
    const ending = await this.#engineSwitch.run(order, signal);
    if (ending === 'refused') this.#order.noteRefused(held.manifest);
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
      isProven: this.#holdings.isProven && !this.#engineSwitch.isRunning,
      load: this.#engineState?.load ?? 0,
      switchesIn: this.#switchesIn(),
      coldLeft: this.#warmUp.coldLeft(performance.now()),
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
