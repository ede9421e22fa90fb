/**
 * Brings the versions that matter into an entry's memory, from which the agents of its zone fetch them. One entry of a
 * zone, by rendezvous hash, fetches from outside the zone; one of all draws from the origin and puts the version into
 * the object store, for machines that lose everything. Others step in when nothing comes: no step needs one certain
 * machine, and two that do the same cost bytes, never correctness.
 */
import type { ListedObjectStore } from '../clients/object-store.js';
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
import {
  type EntryHolding,
  entrySources,
  OBJECT_LIMIT,
  type PlaceInOrder,
  STAND_IN_PATIENCE,
} from './entry-sources.js';
import {
  type HeldWeights,
  keyOf,
  type PieceManifest,
  type WeightsLibrary,
  type WeightsVersion,
} from './held-weights.js';
import { findManifest } from './manifest-search.js';
import { PieceFetcher } from './piece-fetcher.js';
import type { PieceOrigin, PieceOriginFactory, PieceSource } from './piece-source.js';
import { partsOf, type StoredPart, storedManifestKey, storedPrefix } from './piece-sources.js';

/** Time between two looks at what is wanted, in milliseconds. */
const REVIEW_INTERVAL = 200;
/** Time for one small call, in milliseconds. */
const CALL_LIMIT = 1_000;
/** The object store is asked again what it has after this, in milliseconds. */
const LISTING_INTERVAL = 2_000;
/** After the store has come back from an older copy, entries that have not heard of it tell of what it had for this long, in
 * milliseconds: they hear of it within two seconds. */
const OLD_LISTINGS = 3_000;
/** A piece that is on its way for longer is asked of another source as well, in milliseconds: a batch takes 0.1 to 0.7 s. */
const OVERDUE = 800;
/** What the duty works with. */
export interface CollectionDutyOptions {
  self: { id: string; zone: string; linkRate: number };
  fleet: FleetView;
  library: WeightsLibrary;
  objects: ListedObjectStore;
  originAt: PieceOriginFactory;
  /** Other entries that live. */
  peers: () => EntryReport[];
  /** Agents that are connected here. */
  agents: () => EngineAgentRow[];
  /** The version that most engines hold, where the operator has named none. */
  servedVersions: () => WeightsVersion[];
  /** Time in which a named version must serve everywhere, in milliseconds. */
  versionBound: number;
  /** @param isDrawing - others that could draw too should know of it at once */
  onHeldChanged: (isDrawing: boolean) => void;
  random: Random;
  log: Log;
}

interface Collection {
  version: WeightsVersion;
  /** When it began, in milliseconds of the steady clock. */
  begunAt: number;
  stopped: AbortController;
  held: HeldWeights | undefined;
  fetcher: PieceFetcher | undefined;
  /** Parts that are known to lie in the object store. */
  stored: Set<number>;
  /** True once the object store has said what it has. */
  isListed: boolean;
  listedAt: number;
  /** A part is being put there. */
  isPutting: boolean;
  /** The manifest lies in the object store, put there from here. */
  isManifestStored: boolean;
}

/** The duty. */
export class CollectionDuty implements Startable {
  readonly #options: CollectionDutyOptions;
  readonly #collections = new Map<string, Collection>();
  #timer: NodeJS.Timeout | undefined;
  /** Until when peers may tell of objects that are lost, in milliseconds of the steady clock. */
  #oldListingsUntil = Number.NEGATIVE_INFINITY;

  constructor(options: CollectionDutyOptions) {
    this.#options = options;
    options.library.onPiece = (held) => this.#onPiece(held);
    options.fleet.listen({ onNamedVersion: () => this.review(), onConfiguration: () => this.review() });
  }

  async start(): Promise<void> {
    this.#timer = setInterval(() => this.review(), REVIEW_INTERVAL);
  }

  async stop(): Promise<void> {
    clearInterval(this.#timer);
    for (const { stopped } of this.#collections.values()) stopped.abort();
  }

  /** The versions that matter now: the newest named of each model, those whose bound has not passed, what serves. */
  wanted(): WeightsVersion[] {
    const { fleet, versionBound, servedVersions } = this.#options;
    const now = performance.now();
    const named = fleet.versions.all().filter((one) => {
      const isNewest = one.version === fleet.versions.newest(one.model)?.version;
      return isNewest || now < fleet.versions.namedAt(one) + versionBound;
    });
    const served = servedVersions().filter(({ model }) => fleet.versions.newest(model) === undefined);
    return [...named, ...served].map(({ model, version }) => ({ model, version }));
  }

  /** The store has come back from an older copy of itself: objects that were put lately may not be there any more. */
  noteOlderCopy(): void {
    this.#oldListingsUntil = performance.now() + OLD_LISTINGS;
    for (const collection of this.#collections.values()) {
      collection.stored.clear();
      collection.isManifestStored = false;
      if (collection.isListed) void this.#list(collection, collection.stopped.signal);
    }
  }

  /** What is held here, for others. */
  held(): HeldPieces[] {
    return [...this.#collections.values()].flatMap(({ version, held, fetcher, stored }) => {
      if (held === undefined) return [];
      const { capacity: count } = held.have;
      const drawing = fetcher?.drawing ?? [];
      return [{ ...version, count, have: held.have.toBytes(), drawing, stored: [...stored] }];
    });
  }

  /** Starts and ends collections. */
  review(): void {
    const wanted = new Map(this.wanted().map((version) => [keyOf(version), version]));
    for (const [key, collection] of this.#collections) {
      if (wanted.has(key)) continue;
      collection.stopped.abort();
      this.#collections.delete(key);
    }
    for (const [key, version] of wanted) if (!this.#collections.has(key)) this.#begin(key, version);
  }

  #begin(key: string, version: WeightsVersion): void {
    const collection: Collection = {
      version,
      begunAt: performance.now(),
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
      await sleep(REVIEW_INTERVAL, signal);
      if (signal.aborted) return;
    }
    void this.#list(collection, signal);
    const manifest = await this.#manifest(collection, signal);
    if (manifest === undefined) return;
    const held = library.open(manifest);
    collection.held = held;
    // All others wait for the manifest of whoever draws.
    onHeldChanged(this.#place(collection).overall <= QUICK_TAKEOVERS);
    collection.fetcher = new PieceFetcher({
      held,
      library,
      sources: () => this.#sources(collection, held),
      mayAsk: () => true,
      onDrawing: () => onHeldChanged(true),
      overdue: OVERDUE,
      random,
      log,
    });
    await collection.fetcher.run(signal);
    if (signal.aborted) return;
    await this.#keepStored(collection, held, signal);
  }

  /** Whether this entry is among those of its zone that hold a copy. */
  #isHolder(collection: Collection): boolean {
    return holdsCopy(this.#place(collection).inZone, this.#enginesOfZone());
  }

  #enginesOfZone(): number {
    const { fleet, self } = this.#options;
    const records = [...fleet.backEnds.records.values()].filter(({ zone }) => zone === self.zone);
    return records.filter(({ service }) => fleet.routes?.service(service)?.engine !== undefined).length;
  }

  #manifest(collection: Collection, signal: AbortSignal): Promise<PieceManifest | undefined> {
    const { library, objects } = this.#options;
    const { version, begunAt } = collection;
    const age = () => performance.now() - begunAt;
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

  #sources(collection: Collection, held: HeldWeights): PieceSource[] {
    const { objects, self, peers, agents, servedVersions } = this.#options;
    const { version, isListed, fetcher, begunAt } = collection;
    const isServed = servedVersions().some((served) => keyOf(served) === keyOf(version));
    return entrySources({
      self,
      place: this.#place(collection),
      manifest: held.manifest,
      holders: this.#holders(version),
      agents: agents(),
      isAlone: !peers().some(({ zone }) => zone === self.zone),
      objects,
      stored: this.#storedParts(collection),
      origin: isListed ? this.#origin() : undefined,
      isServed,
      quietFor: performance.now() - (fetcher?.progressAt ?? begunAt),
    });
  }

  /** This entry's place in the order of those responsible. */
  #place({ version }: Collection): PlaceInOrder {
    const { self, peers } = this.#options;
    const entries = [self, ...peers()];
    const key = keyOf(version);
    // The first of all is the first of its zone.
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
      const { have, count, drawing } = peer.held.find((held) => keyOf(held) === keyOf(version))!;
      return { peer, have: ChunkSet.fromBytes(count, have), drawing };
    });
  }

  /** Peers that hold something of `version`, those of this zone first. */
  #peersHolding(version: WeightsVersion): EntryReport[] {
    const holding = this.#options
      .peers()
      .filter(({ held }) => held.some((one) => keyOf(one) === keyOf(version)));
    const isFar = ({ zone }: EntryReport) => Number(zone !== this.#options.self.zone);
    return holding.sort((a, b) => isFar(a) - isFar(b));
  }

  /** Parts in the object store, as this entry and its peers know. */
  #storedParts({ version, stored }: Collection): Set<number> {
    const peers = performance.now() < this.#oldListingsUntil ? [] : this.#options.peers();
    for (const { held } of peers) {
      const there = held.find((one) => keyOf(one) === keyOf(version));
      for (const index of there?.stored ?? []) stored.add(index);
    }
    return stored;
  }

  /** Learns what lies in the object store; the origin is not drawn from before that is known, or cannot be. */
  async #list(collection: Collection, signal: AbortSignal): Promise<void> {
    const { objects, log } = this.#options;
    while (!signal.aborted) {
      collection.listedAt = performance.now();
      const prefix = storedPrefix(collection.version);
      const names = await objects.list(prefix, withLimit(signal, CALL_LIMIT));
      collection.isListed = true;
      if (names.ok) {
        for (const name of names.value) {
          const index = Number(name.slice(prefix.length));
          if (Number.isInteger(index)) collection.stored.add(index);
        }
        return;
      }
      log.warn('object store lost', { ...collection.version, reason: names.error.type });
      await sleep(LISTING_INTERVAL, signal);
    }
  }

  #onPiece(held: HeldWeights): void {
    const collection = this.#collections.get(keyOf(held.manifest));
    if (collection === undefined) return;
    const place = this.#place(collection).overall;
    this.#options.onHeldChanged(place <= QUICK_TAKEOVERS);
    if (place === 0) void this.#putParts(collection, held, collection.stopped.signal);
  }

  /**
   * Puts parts that are whole here and not in the object store yet, one at a time: what else goes to the store waits behind
   * them on the link between regions.
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

  /** Puts one part; false where none is due, or the object store has not taken it. */
  async #putNextPart(collection: Collection, held: HeldWeights, signal: AbortSignal): Promise<boolean> {
    const part = this.#nextToPut(collection, held);
    if (part === undefined || signal.aborted) return false;
    const bytes = Buffer.concat(part.pieces.map((piece) => held.piece(piece)!));
    const put = await this.#options.objects.put(part.key, bytes, withLimit(signal, OBJECT_LIMIT));
    if (put.ok) collection.stored.add(part.index);
    this.#options.onHeldChanged(true);
    return put.ok;
  }

  #nextToPut(collection: Collection, held: HeldWeights): StoredPart | undefined {
    const stored = this.#storedParts(collection);
    return partsOf(held.manifest).find(
      ({ index, pieces }) => !stored.has(index) && pieces.every((piece) => held.have.has(piece)),
    );
  }

  /** Sees to it that a whole version lies in the object store, whoever was to put it there. */
  async #keepStored(collection: Collection, held: HeldWeights, signal: AbortSignal): Promise<void> {
    const parts = partsOf(held.manifest);
    while (!signal.aborted) {
      await sleep(LISTING_INTERVAL * (0.5 + this.#options.random.fraction()), signal);
      if (this.#place(collection).overall !== 0) continue;
      await this.#putParts(collection, held, signal);
      if (collection.isManifestStored || this.#storedParts(collection).size < parts.length) continue;
      const key = storedManifestKey(collection.version);
      const bytes = Buffer.from(JSON.stringify(held.manifest));
      const put = await this.#options.objects.put(key, bytes, withLimit(signal, CALL_LIMIT));
      collection.isManifestStored = put.ok;
    }
  }

  #origin(): PieceOrigin | undefined {
    const endpoint = this.#options.fleet.routes?.configuration.origin;
    return endpoint === undefined ? undefined : this.#options.originAt(endpoint.address);
  }
}
