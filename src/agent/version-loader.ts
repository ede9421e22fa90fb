/**
 * Loads complete, verified versions into the engine by fenced orders and unloads old ones. A version counts as ready only
 * while the engine itself reports its digest.
 */
import type { EngineClient, EngineState } from '../engine/engine-client.js';
import type { Digest, Manifest } from '../model/manifest.js';
import type { Startable } from '../model/startable.js';
import type { Log } from '../observability/log.js';
import type { Timeline } from '../observability/timeline.js';
import type { ChunkStore } from './chunk-store.js';

/** Time between two polls of the engine's state, in milliseconds. */
const STATE_INTERVAL = 1_000;
/** Time between two polls while a version is being loaded, in milliseconds. */
const LOADING_STATE_INTERVAL = 50;
/** Time limit for a call to the engine, and for a load to take effect, in milliseconds. */
const CALL_TIMEOUT = 5_000;
/** Delay before a failed load or an order without an answer is retried, in milliseconds. */
const RETRY_DELAY = 1_000;

/** What came of an order: one without an answer may be carried out at any later time. */
type OrderOutcome = 'accepted' | 'refused' | 'unanswered';

/** Components of a version loader. */
export interface VersionLoaderComponents {
  engine: EngineClient;
  store: ChunkStore;
  timeline: Timeline;
  log: Log;
}

/** The version loader of one agent. */
export class VersionLoader implements Startable {
  /** Called when the set of ready versions or the reported number of requests changes. */
  onChange: () => void = () => {};
  readonly #components: VersionLoaderComponents;
  readonly #stopping = new AbortController();
  readonly #loading = new Set<Digest>();
  readonly #ready = new Set<Digest>();
  /** Versions that the engine last reported as loaded with a matching digest. */
  #loaded: ReadonlySet<Digest> = new Set();
  /** Versions with an unload order that may still be carried out; they do not count as ready. */
  readonly #unloading = new Set<Digest>();
  /** Chunks staged at the engine, or being staged, by version and index. */
  readonly #staging = new Map<string, Promise<boolean>>();
  #wanted = new Set<Digest>();
  #epoch: number | undefined;
  /** The latest revision with which a load or an unload was requested. */
  #revision = 0;
  #active = 0;
  #timer: NodeJS.Timeout | undefined;

  constructor(components: VersionLoaderComponents) {
    this.#components = components;
  }

  /** Versions that the engine reports as loaded with a matching digest, which it computed itself. */
  get ready(): ReadonlySet<Digest> {
    return this.#ready;
  }

  /** Number of requests in progress, as last reported by the engine. */
  get active(): number {
    return this.#active;
  }

  async start(): Promise<void> {
    await this.#refresh();
    this.#timer = setInterval(() => void this.#refresh(), STATE_INTERVAL);
  }

  async stop(): Promise<void> {
    clearInterval(this.#timer);
    this.#stopping.abort();
  }

  /** Stages a verified chunk while other chunks of its version are still being fetched. */
  stageEarly(version: Digest, chunk: number, data: Buffer): void {
    this.#wanted.add(version);
    void this.#stage(version, chunk, data);
  }

  /**
   * Stages and loads a version whose chunks are all in the store; retries until it is ready or is to be unloaded.
   * @param revision - of the assignments that want the version now
   */
  async load(version: Digest, manifest: Manifest, revision: number): Promise<void> {
    this.#noteRevision(revision);
    this.#wanted.add(version);
    if (this.#loading.has(version) || this.#ready.has(version)) return;
    this.#loading.add(version);
    try {
      while (this.#wanted.has(version) && !this.#ready.has(version) && !this.#stopping.signal.aborted) {
        await this.#tryLoad(version, manifest);
        await pause(RETRY_DELAY, this.#stopping.signal);
      }
    } finally {
      this.#loading.delete(version);
    }
  }

  /**
   * Unloads a version from the engine, which is repeated until it is answered or the version is wanted again. The version stops
   * counting as ready at once, and counts again only after a later order to load it: the engine then refuses a late one to unload.
   */
  async unload(version: Digest, revision: number): Promise<void> {
    this.#noteRevision(revision);
    this.#wanted.delete(version);
    if (this.#unloading.has(version)) return;
    this.#unloading.add(version);
    if (this.#ready.delete(version)) this.onChange();
    this.#forgetStaged(version);
    while (this.#unloading.has(version) && !this.#wanted.has(version) && !this.#stopping.signal.aborted) {
      const outcome = await this.#order('unload', version);
      if (outcome === 'accepted')
        return this.#components.timeline.record({ type: 'versionUnloaded', version });
      if (outcome === 'refused') return void this.#unloading.delete(version);
      await pause(RETRY_DELAY, this.#stopping.signal);
    }
  }

  async #tryLoad(version: Digest, manifest: Manifest): Promise<void> {
    // An engine that did not answer for a moment may still hold the version.
    const isReached = await this.#refresh();
    if (!isReached || this.#ready.has(version)) return;
    if (!this.#loaded.has(version) && !(await this.#stageAll(version, manifest))) return;
    if ((await this.#order('load', version)) !== 'accepted') return;
    this.#unloading.delete(version);
    this.#forgetStaged(version);
    const deadline = performance.now() + CALL_TIMEOUT;
    while (!this.#ready.has(version) && performance.now() < deadline && !this.#stopping.signal.aborted) {
      await this.#refresh();
      await pause(LOADING_STATE_INTERVAL, this.#stopping.signal);
    }
  }

  /** Stages all chunks; returns false if one is missing or the engine did not accept it. */
  async #stageAll(version: Digest, manifest: Manifest): Promise<boolean> {
    for (const [chunk, { digest }] of manifest.chunks.entries()) {
      const data = this.#components.store.get(digest);
      if (data === undefined || !(await this.#stage(version, chunk, data))) return false;
    }
    return true;
  }

  /** Stages a chunk once. A failure is not kept, so that the next call stages the chunk again. */
  #stage(version: Digest, chunk: number, data: Buffer): Promise<boolean> {
    const key = `${version}/${chunk}`;
    let staging = this.#staging.get(key);
    if (staging === undefined) {
      staging = this.#components.engine.stage(version, chunk, data, this.#callSignal()).then((outcome) => {
        if (!outcome.ok) this.#staging.delete(key);
        return outcome.ok;
      });
      this.#staging.set(key, staging);
    }
    return staging;
  }

  #forgetStaged(version: Digest): void {
    for (const key of this.#staging.keys()) {
      if (key.startsWith(version)) this.#staging.delete(key);
    }
  }

  #noteRevision(revision: number): void {
    this.#revision = Math.max(this.#revision, revision);
  }

  /** Sends an order under the latest revision: the engine refuses one that is older than another which it has accepted. */
  async #order(kind: 'load' | 'unload', version: Digest): Promise<OrderOutcome> {
    const { engine, timeline, log } = this.#components;
    const epoch = await this.#claim();
    if (epoch === undefined) return 'refused';
    const revision = this.#revision;
    timeline.record({ type: 'orderSent', order: kind, version, revision });
    const outcome = await engine.order({ kind, version, fence: { epoch, revision } }, this.#callSignal());
    if (outcome.ok) return 'accepted';
    const { type, reason } = outcome.error;
    timeline.record({ type: 'orderRefused', order: kind, version, reason: type });
    log.warn('engine did not accept order', { order: kind, version, reason });
    return type === 'fenced' ? 'refused' : 'unanswered';
  }

  async #claim(): Promise<number | undefined> {
    if (this.#epoch !== undefined) return this.#epoch;
    const claimed = await this.#components.engine.claim(this.#callSignal());
    if (claimed.ok) this.#epoch = claimed.value;
    return this.#epoch;
  }

  /** Reads the state of the engine; returns whether it answered. */
  async #refresh(): Promise<boolean> {
    const state = await this.#components.engine.state(this.#callSignal());
    if (this.#stopping.signal.aborted) return false;
    if (state.ok) this.#noteUnloaded(state.value);
    this.#applyState(state.ok ? state.value : { versions: [], fence: { epoch: 0, revision: 0 }, active: 0 });
    return state.ok;
  }

  /** Unload orders of versions that the engine does not report any more have been carried out. */
  #noteUnloaded(state: EngineState): void {
    const loaded = loadedVersions(state);
    for (const version of this.#unloading) if (!loaded.has(version)) this.#unloading.delete(version);
  }

  #applyState(state: EngineState): void {
    this.#loaded = loadedVersions(state);
    const loaded = new Set([...this.#loaded].filter((version) => !this.#unloading.has(version)));
    const gone = [...this.#ready].filter((version) => !loaded.has(version));
    const fresh = [...loaded].filter((version) => !this.#ready.has(version));
    for (const version of gone) this.#ready.delete(version);
    for (const version of fresh) {
      this.#ready.add(version);
      this.#components.timeline.record({ type: 'versionReady', version });
    }
    const changed = gone.length > 0 || fresh.length > 0 || state.active !== this.#active;
    this.#active = state.active;
    if (changed) this.onChange();
  }

  #callSignal(): AbortSignal {
    return AbortSignal.timeout(CALL_TIMEOUT);
  }
}

/** The versions that an engine reports as loaded with a matching digest. */
function loadedVersions({ versions }: EngineState): Set<Digest> {
  const verified = versions.filter((row) => row.state === 'loaded' && row.loadedDigest === row.version);
  return new Set(verified.map((row) => row.version));
}

function pause(milliseconds: number, signal: AbortSignal): Promise<void> {
  return new Promise((resolve) => {
    const end = () => {
      clearTimeout(timer);
      signal.removeEventListener('abort', end);
      resolve();
    };
    const timer = setTimeout(end, milliseconds);
    signal.addEventListener('abort', end);
  });
}
