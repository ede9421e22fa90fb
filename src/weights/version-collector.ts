/**
 * Collects the wanted versions in an entry's memory, from which the agents of its zone fetch them. In each
 * zone one entry, chosen by rendezvous hashing, fetches from outside the zone; one of all entries draws from
 * the origin (fetches pieces there) and writes the version to the object store, for machines that lose
 * everything. Other entries take over when no pieces arrive: no step depends on a particular machine, and
 * duplicated work costs bytes, never correctness.
 */
import type { ListedObjectStore } from '../clients/object-store.js';
import { eraOf } from '../clients/store-revision.js';
import type { FleetView } from '../fleet/fleet-view.js';
import { sleep } from '../fleet/table-follower.js';
import { ChunkSet } from '../model/chunk-set.js';
import type { Random } from '../model/random.js';
import type { Startable } from '../model/startable.js';
import { withLimit } from '../model/time-limit.js';
import type { Log } from '../observability/log.js';
import type { EngineAgentRow } from '../peers/engine-agents.js';
import type { EntryReport, HeldPieces } from '../protocol/reports.js';
import { holdsCopy, parentOf } from '../systems/copy-spread.js';
import { drawDelay, drawOrder, QUICK_TAKEOVERS } from '../systems/origin-draw.js';
import { waitsForPredecessor } from '../systems/version-succession.js';
import {
  type EntryHolding,
  type EntryRank,
  entrySources,
  OBJECT_TIMEOUT,
  STAND_IN_PATIENCE,
} from './entry-sources.js';
import {
  type HeldWeights,
  type PieceManifest,
  versionKey,
  type WeightsLibrary,
  type WeightsVersion,
} from './held-weights.js';
import { findManifest } from './manifest-search.js';
import { PieceFetcher } from './piece-fetcher.js';
import type { PieceOrigin, PieceOriginFactory, PieceSource } from './piece-source.js';
import { partsOf, type StoredPart, storedManifestKey, storedPrefix } from './piece-sources.js';

/** Interval at which collections are matched with the wanted versions, in milliseconds. */
const RECONCILE_INTERVAL = 200;
/** Timeout for a small call, in milliseconds. */
const CALL_TIMEOUT = 1_000;
/**
 * Interval of retries after a failed listing, and of checks that a complete version is stored, in
 * milliseconds.
 */
const LISTING_INTERVAL = 2_000;
/**
 * A piece in flight for longer than this is requested from another source as well, in milliseconds: a batch
 * takes 0.1 to 0.7 s.
 */
const PIECE_OVERDUE_TIME = 800;

export interface VersionCollectorOptions {
  self: { id: string; zone: string; linkRate: number };
  fleet: FleetView;
  library: WeightsLibrary;
  objects: ListedObjectStore;
  originAt: PieceOriginFactory;
  /** Live entries other than this one. */
  peers: () => EntryReport[];
  /** Agents connected to this entry. */
  agents: () => EngineAgentRow[];
  /** The version that most engines hold, of each model. */
  servedVersions: () => WeightsVersion[];
  /** Time after its naming within which a version must be serving everywhere, in milliseconds. */
  versionBound: number;
  /** @param isDrawing - entries that might draw too should be told at once */
  onHeldChanged: (isDrawing: boolean) => void;
  random: Random;
  log: Log;
}

interface Collection {
  version: WeightsVersion;
  /** When the collection started, in milliseconds of the monotonic clock. */
  startedAt: number;
  stopped: AbortController;
  held: HeldWeights | undefined;
  fetcher: PieceFetcher | undefined;
  /** Indexes of the parts known to be in the object store. */
  stored: Set<number>;
  /** True once the object store has been listed, or has failed to list. */
  isListed: boolean;
  listedAt: number;
  /** A part is being written to the object store. */
  isPutting: boolean;
  /** This entry has written the manifest to the object store. */
  isManifestStored: boolean;
}

/** Runs one collection per wanted version. */
export class VersionCollector implements Startable {
  readonly #options: VersionCollectorOptions;
  readonly #collections = new Map<string, Collection>();
  #timer: NodeJS.Timeout | undefined;

  constructor(options: VersionCollectorOptions) {
    this.#options = options;
    options.library.onPiece = (held) => this.#onPiece(held);
    options.fleet.listen({ onNamedVersion: () => this.reconcile(), onConfiguration: () => this.reconcile() });
  }

  async start(): Promise<void> {
    this.#timer = setInterval(() => this.reconcile(), RECONCILE_INTERVAL);
  }

  async stop(): Promise<void> {
    clearInterval(this.#timer);
    for (const { stopped } of this.#collections.values()) stopped.abort();
  }

  /**
   * The versions to collect: named versions on which requests may start, the newest of each model among them,
   * and the served version of models without a named one. A version named late in its predecessor's bound may
   * be all that serves until its own successor is complete.
   */
  wantedVersions(): WeightsVersion[] {
    const { fleet, versionBound, servedVersions } = this.#options;
    const now = performance.now();
    const named = fleet.versions
      .all()
      .filter(({ model, version }) => now < fleet.versions.expiryOf(model, version, versionBound));
    const served = servedVersions().filter(({ model }) => fleet.versions.newest(model) === undefined);
    return [...named, ...served].map(({ model, version }) => ({ model, version }));
  }

  /**
   * Forgets what is known of the object store after it was restored from an older copy: recent objects may be
   * missing.
   */
  noteOlderCopy(): void {
    for (const collection of this.#collections.values()) {
      collection.stored.clear();
      collection.isManifestStored = false;
      if (collection.isListed) void this.#listStoredParts(collection, collection.stopped.signal);
    }
  }

  /** The pieces held by this entry, as reported to its peers. */
  held(): HeldPieces[] {
    return [...this.#collections.values()].flatMap(({ version, held, fetcher, stored }) => {
      if (held === undefined) return [];
      const { capacity: count } = held.have;
      const drawing = fetcher?.drawing ?? [];
      return [{ ...version, count, have: held.have.toBytes(), drawing, stored: [...stored] }];
    });
  }

  /** Starts and stops collections to match the wanted versions. */
  reconcile(): void {
    const wanted = new Map(this.wantedVersions().map((version) => [versionKey(version), version]));
    for (const [key, collection] of this.#collections) {
      if (wanted.has(key)) continue;
      collection.stopped.abort();
      this.#collections.delete(key);
    }
    for (const [key, version] of wanted) if (!this.#collections.has(key)) this.#startCollection(key, version);
  }

  #startCollection(key: string, version: WeightsVersion): void {
    const collection: Collection = {
      version,
      startedAt: performance.now(),
      stopped: new AbortController(),
      held: undefined,
      fetcher: undefined,
      stored: new Set(),
      isListed: false,
      listedAt: Number.NEGATIVE_INFINITY,
      isPutting: false,
      isManifestStored: false,
    };
    this.#collections.set(key, collection);
    this.#options.log.info('collecting version', { ...version, responsible: this.#place(collection) });
    void this.#collect(collection);
  }

  async #collect(collection: Collection): Promise<void> {
    const { signal } = collection.stopped;
    const { library, random, log, onHeldChanged } = this.#options;
    while (!this.#isHolder(collection)) {
      await sleep(RECONCILE_INTERVAL, signal);
      if (signal.aborted) return;
    }
    void this.#listStoredParts(collection, signal);
    const manifest = await this.#findManifest(collection, signal);
    if (manifest === undefined) return;
    const held = library.open(manifest);
    collection.held = held;
    // All other entries wait for the manifest of the entry that draws.
    onHeldChanged(this.#place(collection).overall <= QUICK_TAKEOVERS);
    collection.fetcher = new PieceFetcher({
      held,
      library,
      sources: () => this.#sourcesFor(collection, held),
      mayFetch: () => true,
      onDrawing: () => onHeldChanged(true),
      overdueAfter: PIECE_OVERDUE_TIME,
      random,
      log,
    });
    await collection.fetcher.run(signal);
    if (signal.aborted) return;
    await this.#maintainStoredCopy(collection, held, signal);
  }

  /** Whether this entry is one of those of its zone that hold a copy. */
  #isHolder(collection: Collection): boolean {
    return holdsCopy(this.#place(collection).inZone, this.#enginesOfZone());
  }

  #enginesOfZone(): number {
    const { fleet, self } = this.#options;
    const records = [...fleet.backEnds.records.values()].filter(({ zone }) => zone === self.zone);
    return records.filter(({ service }) => fleet.routes?.service(service)?.engine !== undefined).length;
  }

  #findManifest(collection: Collection, signal: AbortSignal): Promise<PieceManifest | undefined> {
    const { library, objects } = this.#options;
    const { version, startedAt } = collection;
    const age = () => performance.now() - startedAt;
    const mayAskOrigin = () => age() >= drawDelay(this.#place(collection).overall);
    const mayAskObjects = () => age() >= this.#place(collection).inZone * STAND_IN_PATIENCE;
    return findManifest(
      version,
      {
        library,
        processes: () => this.#peersHolding(version).map(({ address }) => address),
        origin: () => (mayAskOrigin() ? this.#origin() : undefined),
        objects: () => (mayAskObjects() ? objects : undefined),
      },
      signal,
    );
  }

  #sourcesFor(collection: Collection, held: HeldWeights): PieceSource[] {
    const { objects, self, peers, agents, servedVersions } = this.#options;
    const { version, isListed, fetcher, startedAt } = collection;
    const isServed = servedVersions().some((served) => versionKey(served) === versionKey(version));
    return entrySources({
      self,
      place: this.#place(collection),
      manifest: held.manifest,
      holders: this.#holders(version),
      agents: agents(),
      isOnlyEntryOfZone: !peers().some(({ zone }) => zone === self.zone),
      objects,
      stored: this.#storedParts(collection),
      origin: isListed && !this.#waitsForPredecessor(collection) ? this.#origin() : undefined,
      isServed,
      sinceLastPiece: performance.now() - (fetcher?.lastPieceAt ?? startedAt),
    });
  }

  /** Whether the origin is left to a version of the model that was named before and is not complete. */
  #waitsForPredecessor({ version, fetcher }: Collection): boolean {
    const { fleet, versionBound } = this.#options;
    const now = performance.now();
    return [...this.#collections.values()].some((other) => {
      const { model, version: number } = other.version;
      if (model !== version.model || number >= version.version) return false;
      return waitsForPredecessor({
        undrawn: this.#undrawnPieces(other),
        expiresIn: fleet.versions.expiryOf(model, number, versionBound) - now,
        sincePredecessorPiece: now - (other.fetcher?.lastPieceAt ?? other.startedAt),
        sinceStart: now - (fetcher?.startedAt ?? now),
      });
    });
  }

  /** Number of pieces of a version that neither this entry nor a peer holds or draws, and that are not stored. */
  #undrawnPieces(collection: Collection): number {
    const { held, fetcher, version } = collection;
    const holders = this.#holders(version);
    // An entry that is not to hold a copy knows the version from its peers.
    const count = held?.have.capacity ?? holders[0]?.have.capacity;
    if (count === undefined) return Number.POSITIVE_INFINITY;
    const drawn = new Set([...(fetcher?.drawing ?? []), ...holders.flatMap(({ drawing }) => drawing)]);
    const parts = held === undefined ? [] : partsOf(held.manifest);
    const stored = this.#storedParts(collection);
    for (const { index, pieces } of parts)
      if (stored.has(index)) for (const piece of pieces) drawn.add(piece);
    const isClaimed = (piece: number) =>
      drawn.has(piece) || held?.have.has(piece) || holders.some(({ have }) => have.has(piece));
    return Array.from({ length: count }, (_, piece) => piece).filter((piece) => !isClaimed(piece)).length;
  }

  /** This entry's position in the orders in which entries fetch the version. */
  #place({ version }: Collection): EntryRank {
    const { self, peers } = this.#options;
    const entries = [self, ...peers()];
    const key = versionKey(version);
    // The first entry overall is also the first of its zone.
    const overall = drawOrder(key, entries);
    const inZone = drawOrder(
      key,
      entries.filter(({ zone }) => zone === self.zone),
    );
    const place = inZone.indexOf(self.id);
    const parent = parentOf(place);
    return {
      inZone: place,
      overall: overall.indexOf(self.id),
      parent: parent === undefined ? undefined : inZone[parent],
    };
  }

  #holders(version: WeightsVersion): EntryHolding[] {
    return this.#peersHolding(version).map((peer) => {
      const { have, count, drawing } = peer.held.find((held) => versionKey(held) === versionKey(version))!;
      return { peer, have: ChunkSet.fromBytes(count, have), drawing };
    });
  }

  /** Peers that hold pieces of `version`, those of this zone first. */
  #peersHolding(version: WeightsVersion): EntryReport[] {
    const holding = this.#options
      .peers()
      .filter(({ held }) => held.some((one) => versionKey(one) === versionKey(version)));
    const isOtherZone = ({ zone }: EntryReport) => Number(zone !== this.#options.self.zone);
    return holding.sort((a, b) => isOtherZone(a) - isOtherZone(b));
  }

  /** Era of the store, as known to this entry: what was there in an earlier one may be missing. */
  get #era(): number {
    return eraOf(this.#options.fleet.backEnds.revision);
  }

  /** Indexes of the parts that this entry and its peers know to be in the object store. */
  #storedParts({ version, stored }: Collection): Set<number> {
    for (const { held, backEndsRevision } of this.#options.peers()) {
      if (eraOf(backEndsRevision) < this.#era) continue;
      const advertised = held.find((one) => versionKey(one) === versionKey(version));
      for (const index of advertised?.stored ?? []) stored.add(index);
    }
    return stored;
  }

  /**
   * Lists the version's parts in the object store, retrying on failure. The origin is not used before the
   * first attempt has ended.
   */
  async #listStoredParts(collection: Collection, signal: AbortSignal): Promise<void> {
    const { objects, log } = this.#options;
    while (!signal.aborted) {
      collection.listedAt = performance.now();
      const prefix = storedPrefix(collection.version);
      const era = this.#era;
      const names = await objects.list(prefix, withLimit(signal, CALL_TIMEOUT));
      collection.isListed = true;
      if (names.ok && era !== this.#era) continue;
      if (names.ok) {
        for (const name of names.value) {
          const index = Number(name.slice(prefix.length));
          if (Number.isInteger(index)) collection.stored.add(index);
        }
        return;
      }
      log.warn('object store listing failed', { ...collection.version, reason: names.error.type });
      await sleep(LISTING_INTERVAL, signal);
    }
  }

  #onPiece(held: HeldWeights): void {
    const collection = this.#collections.get(versionKey(held.manifest));
    if (collection === undefined) return;
    const place = this.#place(collection).overall;
    this.#options.onHeldChanged(place <= QUICK_TAKEOVERS);
    if (place === 0) void this.#putParts(collection, held, collection.stopped.signal);
  }

  /**
   * Writes the parts that are complete here and missing in the object store, one at a time: other traffic to
   * the store queues behind them on the link between regions.
   */
  async #putParts(collection: Collection, held: HeldWeights, signal: AbortSignal): Promise<void> {
    if (!collection.isListed || collection.isPutting) return;
    collection.isPutting = true;
    try {
      while (await this.#putNextPart(collection, held, signal));
    } finally {
      collection.isPutting = false;
    }
  }

  /** Writes one part; returns false if none is due or the object store did not accept it. */
  async #putNextPart(collection: Collection, held: HeldWeights, signal: AbortSignal): Promise<boolean> {
    const part = this.#nextUnstoredPart(collection, held);
    if (part === undefined || signal.aborted) return false;
    const bytes = Buffer.concat(part.pieces.map((piece) => held.piece(piece)!));
    const era = this.#era;
    const put = await this.#options.objects.put(part.key, bytes, withLimit(signal, OBJECT_TIMEOUT));
    if (put.ok && era === this.#era) collection.stored.add(part.index);
    this.#options.onHeldChanged(true);
    return put.ok;
  }

  #nextUnstoredPart(collection: Collection, held: HeldWeights): StoredPart | undefined {
    const stored = this.#storedParts(collection);
    return partsOf(held.manifest).find(
      ({ index, pieces }) => !stored.has(index) && pieces.every((piece) => held.have.has(piece)),
    );
  }

  /**
   * Keeps a complete copy of the version in the object store while this entry is first in the order,
   * whichever entry was to write it before.
   */
  async #maintainStoredCopy(collection: Collection, held: HeldWeights, signal: AbortSignal): Promise<void> {
    const parts = partsOf(held.manifest);
    while (!signal.aborted) {
      await sleep(LISTING_INTERVAL * (0.5 + this.#options.random.fraction()), signal);
      if (this.#place(collection).overall !== 0) continue;
      await this.#putParts(collection, held, signal);
      if (collection.isManifestStored || this.#storedParts(collection).size < parts.length) continue;
      const key = storedManifestKey(collection.version);
      const bytes = Buffer.from(JSON.stringify(held.manifest));
      const era = this.#era;
      const put = await this.#options.objects.put(key, bytes, withLimit(signal, CALL_TIMEOUT));
      collection.isManifestStored = put.ok && era === this.#era;
    }
  }

  #origin(): PieceOrigin | undefined {
    const endpoint = this.#options.fleet.routes?.configuration.origin;
    return endpoint === undefined ? undefined : this.#options.originAt(endpoint.address);
  }
}
