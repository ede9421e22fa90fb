/**
 * The fetches of the versions that an agent's plan names: starts and stops them as the plan changes, and finds their manifests
 * and sources.
 */
import type { ListedObjectStore } from '../clients/object-store.js';
import { hash32, type Random } from '../model/random.js';
import type { Log } from '../observability/log.js';
import type { HeldPieces, WeightsPlan } from '../protocol/reports.js';
import { SMALL_BATCH } from '../systems/upload-limit.js';
import { agentSources, BATCH_TIMEOUT } from './agent-sources.js';
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
import type { VersionFetch } from './version-order.js';

/**
 * Fetch limits: while the engine has no weights, the fetch may use the whole link; once it serves, requests
 * share the link.
 */
const UNLOADED_FETCH_LIMITS: FetchLimits = { open: 2, batch: SMALL_BATCH, share: 1 };
const SERVING_FETCH_LIMITS: FetchLimits = { open: 2, batch: 1, share: 1 };
/**
 * A piece that takes longer than this indicates a slow link, in milliseconds: fetching several at a time
 * would delay requests.
 */
const SLOW_LINK_PIECE_TIME = 250;
const SLOW_LINK_FETCH_LIMITS: FetchLimits = { open: 1, batch: 1, share: 0.5 };
/**
 * Only entries are asked for a manifest until these times, in milliseconds times the patience factor (1 to
 * 2): they have it within 0.3 s of the naming if the origin answers. If no entry is known, the object store
 * is asked at once.
 */
const MANIFEST_OBJECT_PATIENCE = 1_000;
const MANIFEST_ORIGIN_PATIENCE = 2_500;

export interface PlannedFetchesOptions {
  /** `host:port` of this agent. Its hash determines the piece at which the agent starts. */
  address: string;
  library: WeightsLibrary;
  objects: ListedObjectStore;
  originAt: PieceOriginFactory;
  plan: () => WeightsPlan | undefined;
  /** Whether pieces of a version may be requested now. */
  mayFetch: (version: WeightsVersion) => boolean;
  /** Whether the engine serves any version. */
  isServing: () => boolean;
  /** Called when all pieces of a version have been fetched, also if the plan no longer names it. */
  onComplete: (fetch: VersionFetch) => void;
  random: Random;
  log: Log;
}

/** The fetches of one agent. */
export class PlannedFetches {
  readonly #options: PlannedFetchesOptions;
  readonly #patienceFactor: number;
  readonly #fetches = new Map<string, VersionFetch>();
  /** When all pieces of each version had been fetched, by version key, in milliseconds of the monotonic clock. */
  readonly #completeAt = new Map<string, number>();

  constructor(options: PlannedFetchesOptions) {
    this.#options = options;
    this.#patienceFactor = 1 + options.random.fraction();
  }

  /** The fetches of the versions of the plan, by version key. */
  get byVersion(): ReadonlyMap<string, VersionFetch> {
    return this.#fetches;
  }

  /** When all pieces of a version had been fetched, in milliseconds of the monotonic clock; undefined if they have not. */
  completeAt(version: WeightsVersion): number | undefined {
    return this.#completeAt.get(versionKey(version));
  }

  /** Starts and stops fetches to match `versions`. */
  reconcile(versions: readonly WeightsVersion[]): void {
    const wanted = new Map(
      versions.map(({ model, version }) => [versionKey({ model, version }), { model, version }]),
    );
    for (const [key, fetch] of this.#fetches) {
      if (wanted.has(key)) continue;
      fetch.stopped.abort();
      this.#fetches.delete(key);
    }
    for (const [key, version] of wanted) {
      if (this.#fetches.has(key)) continue;
      const fetch: VersionFetch = {
        startedAt: performance.now(),
        stopped: new AbortController(),
        held: undefined,
        fetcher: undefined,
      };
      this.#fetches.set(key, fetch);
      void this.#fetch(fetch, version);
    }
  }

  /** Stops all fetches. */
  stop(): void {
    for (const { stopped } of this.#fetches.values()) stopped.abort();
  }

  /** Searches until the manifest is found or `signal` is aborted. */
  findManifest(version: WeightsVersion, signal: AbortSignal): Promise<PieceManifest | undefined> {
    const { library, objects, originAt, plan } = this.#options;
    const startedAt = performance.now();
    const isHolder = ({ held }: { held: HeldPieces[] }) =>
      held.some((one) => versionKey(one) === versionKey(version));
    const hasElapsed = (patience: number) => performance.now() - startedAt >= patience * this.#patienceFactor;
    const origin = () => {
      const address = plan()?.origin ?? '';
      return address === '' || !hasElapsed(MANIFEST_ORIGIN_PATIENCE) ? undefined : originAt(address);
    };
    const hasEntries = () => (plan()?.entries.length ?? 0) > 0;
    return findManifest(
      version,
      {
        library,
        processes: () => (plan()?.holders ?? []).filter(isHolder).map(({ address }) => address),
        origin,
        objects: () => (!hasEntries() || hasElapsed(MANIFEST_OBJECT_PATIENCE) ? objects : undefined),
      },
      signal,
    );
  }

  async #fetch(fetch: VersionFetch, version: WeightsVersion): Promise<void> {
    const { signal } = fetch.stopped;
    const { library, mayFetch, onComplete, random, log } = this.#options;
    const manifest = await this.findManifest(version, signal);
    if (manifest === undefined) return;
    const held = library.open(manifest);
    fetch.held = held;
    fetch.fetcher = new PieceFetcher({
      held,
      library,
      sources: () => this.#sources(held),
      mayFetch: () => mayFetch(version),
      limits: () => this.#limits(fetch.fetcher),
      overdueAfter: BATCH_TIMEOUT,
      random,
      log,
    });
    await fetch.fetcher.run(signal);
    if (!held.complete) return;
    this.#completeAt.set(versionKey(version), performance.now());
    onComplete(fetch);
  }

  #limits(fetcher: PieceFetcher | undefined): FetchLimits {
    if (!this.#options.isServing()) return UNLOADED_FETCH_LIMITS;
    return (fetcher?.lastBatchDuration ?? 0) > SLOW_LINK_PIECE_TIME
      ? SLOW_LINK_FETCH_LIMITS
      : SERVING_FETCH_LIMITS;
  }

  #sources({ manifest }: HeldWeights): PieceSource[] {
    const { objects, originAt, address, plan } = this.#options;
    return agentSources({
      plan: plan()!,
      manifest,
      objects,
      originAt,
      offset: hash32(address),
      patienceFactor: this.#patienceFactor,
    });
  }
}
