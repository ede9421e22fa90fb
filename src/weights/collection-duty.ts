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
import { hash32, type Random, rendezvousOrder } from '../model/random.js';
import type { Startable } from '../model/startable.js';
import { withLimit } from '../model/time-limit.js';
import type { Log } from '../observability/log.js';
import type { EngineAgentRow } from '../peers/engine-agents.js';
import type { EntryReport, HeldPieces } from '../peers/reports.js';
import { holdsCopy, isDrawn, parentOf } from '../systems/copy-spread.js';
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
import {
  holds,
  objectSource,
  originSource,
  partsOf,
  processSource,
  storedManifestKey,
  storedPrefix,
} from './piece-sources.js';

/** Time between two looks at what is wanted, in milliseconds. */
const REVIEW_INTERVAL = 200;
/** Time for one small call, in milliseconds. */
const CALL_LIMIT = 1_000;
/** The object store is asked again what it has after this, in milliseconds. */
const LISTING_INTERVAL = 2_000;
/** Time for one object, in milliseconds. */
const OBJECT_LIMIT = 3_000;
/** Time for a batch from another process, and for a piece of the origin, in milliseconds. */
const BATCH_LIMIT = 2_000;
const ORIGIN_LIMIT = 1_500;
/** A piece that is on its way for longer is asked of another source as well, in milliseconds: a batch takes 0.1 to 0.7 s. */
const OVERDUE = 800;
/** Pieces of one answer of an entry, and of an agent whose link is narrow. */
const ENTRY_BATCH = 12;
const AGENT_BATCH = 2;
/** Without news for this long an entry that is not responsible fetches as well, in milliseconds, times its place. */
const STAND_IN_PATIENCE = 1_200;
/** Other entries of the zone than the one before this are asked after this time without a piece, in milliseconds: about
 * twice the time in which a piece that has come somewhere is told of and asked for. */
const NEAR_PATIENCE = 300;
/** Entries of other zones are asked after this, in milliseconds: their bytes are dear, those of the origin are dearer. */
const FAR_PATIENCE = 300;
/** The next entry draws from the origin when no piece came for this long, in milliseconds; three step in so soon. */
const ORIGIN_STAND_IN_PATIENCE = 300;
const QUICK_STAND_INS = 3;
/** Several that draw begin this share of a version apart, whatever their number (the golden ratio). */
const DRAW_STRIDE = 0.618;
/** The origin is asked for a version that engines hold only after this, in milliseconds. */
const HELD_ELSEWHERE_PATIENCE = 10_000;
const ORIGIN_PARALLEL = 5;
/**
 * Parts that are read from the object store at the same time. An entry that has heard no other of its zone may not be
 * the only one: those that start together would share the link between regions for a copy each.
 */
const OBJECT_PARALLEL = 2;

/** What the duty works with. */
export interface CollectionDutyOptions {
  self: { id: string; zone: string };
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
  /** Parts that are being put. */
  putting: Set<number>;
}

/** The duty. */
export class CollectionDuty implements Startable {
  readonly #options: CollectionDutyOptions;
  readonly #collections = new Map<string, Collection>();
  #timer: NodeJS.Timeout | undefined;

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

  /** What is held here, for others. */
  held(): HeldPieces[] {
    return [...this.#collections.values()].flatMap(({ version, held, stored }) => {
      if (held === undefined) return [];
      return [{ ...version, count: held.have.capacity, have: held.have.toBytes(), stored: [...stored] }];
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
      putting: new Set(),
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
    onHeldChanged(this.#place(collection).overall <= QUICK_STAND_INS);
    collection.fetcher = new PieceFetcher({
      held,
      library,
      sources: () => this.#sources(collection, held),
      mayAsk: () => true,
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
    const mayAskOrigin = () => age() >= drawPatience(this.#place(collection).overall);
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
    const { manifest } = held;
    const { version } = collection;
    const place = this.#place(collection);
    const standIn = place.inZone * STAND_IN_PATIENCE;
    const sources: PieceSource[] = [];
    const { objects, self, peers } = this.#options;
    const holders = this.#holders(version);
    const parent = place.parent;
    for (const { peer, have } of holders) {
      const isNear = peer.zone === self.zone;
      const nearPatience = parent === undefined || peer.id === parent ? 0 : NEAR_PATIENCE;
      sources.push(
        processSource({
          name: `entry ${peer.address}`,
          address: peer.address,
          manifest,
          has: holds(have),
          patience: isNear ? nearPatience : FAR_PATIENCE + standIn,
          parallel: 2,
          batchSize: ENTRY_BATCH,
          batchTime: BATCH_LIMIT,
          // Entries take different pieces first, which they then have for one another.
          offset: hash32(self.id),
        }),
      );
    }
    const stored = this.#storedParts(collection);
    const isAlone = !peers().some(({ zone }) => zone === self.zone);
    sources.push(
      objectSource({
        objects,
        manifest,
        stored,
        patience: standIn,
        parallel: isAlone ? 1 : OBJECT_PARALLEL,
        batchTime: OBJECT_LIMIT,
        offset: hash32(self.id),
      }),
    );
    for (const { address, report } of this.#options.agents()) {
      const there = report?.held.find((other) => keyOf(other) === keyOf(version));
      if (there === undefined) continue;
      const have = ChunkSet.fromBytes(there.count, there.have);
      sources.push(
        processSource({
          name: `agent ${address}`,
          address,
          manifest,
          has: holds(have),
          patience: standIn,
          parallel: 1,
          batchSize: AGENT_BATCH,
          batchTime: BATCH_LIMIT,
        }),
      );
    }
    const origin = this.#origin();
    if (origin === undefined) return sources;
    const storedPieces = new Set(
      partsOf(manifest).flatMap(({ index, pieces }) => (stored.has(index) ? pieces : [])),
    );
    const isElsewhere = (index: number) =>
      storedPieces.has(index) || holders.some(({ have }) => have.has(index));
    const isServed = this.#options.servedVersions().some((served) => keyOf(served) === keyOf(version));
    const quietFor = performance.now() - (collection.fetcher?.progressAt ?? collection.begunAt);
    // What another entry has drawn comes from there; drawing beside it would halve the rate of both.
    const isDrawnElsewhere = place.overall > 0 && holders.some(({ have }) => have.size > 0);
    const patience =
      (isServed ? HELD_ELSEWHERE_PATIENCE : 0) +
      (isDrawnElsewhere ? FAR_PATIENCE : 0) +
      drawPatience(place.overall);
    sources.push(
      originSource({
        origin,
        version,
        patience,
        parallel: ORIGIN_PARALLEL,
        batchTime: ORIGIN_LIMIT,
        mayDraw: (index) => collection.isListed && isDrawn(isElsewhere(index), quietFor, place.overall),
        offset: Math.floor(((place.overall * DRAW_STRIDE) % 1) * manifest.digests.length),
      }),
    );
    return sources;
  }

  /**
   * This entry's place in the order of those responsible, in its zone and overall, 0 being the first; and the entry of its
   * zone of which it takes pieces.
   */
  #place({ version }: Collection): { inZone: number; overall: number; parent: string | undefined } {
    const { self, peers } = this.#options;
    const entries = [self, ...peers()];
    const key = keyOf(version);
    const near = entries.filter(({ zone }) => zone === self.zone).map(({ id }) => id);
    const overall = rendezvousOrder(
      key,
      entries.map(({ id }) => id),
    );
    // The first of all is the first of its zone.
    const inZone = rendezvousOrder(key, near);
    const place = inZone.indexOf(self.id);
    const parent = parentOf(place);
    return {
      inZone: place,
      overall: overall.indexOf(self.id),
      parent: parent === undefined ? undefined : inZone[parent],
    };
  }

  #holders(version: WeightsVersion): Array<{ peer: EntryReport; have: ChunkSet }> {
    return this.#peersHolding(version).map((peer) => {
      const { have, count } = peer.held.find((held) => keyOf(held) === keyOf(version))!;
      return { peer, have: ChunkSet.fromBytes(count, have) };
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
    for (const { held } of this.#options.peers()) {
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
    this.#options.onHeldChanged(place <= QUICK_STAND_INS);
    if (place === 0) void this.#putParts(collection, held, collection.stopped.signal);
  }

  /** Puts parts that are whole here and not in the object store yet. */
  async #putParts(collection: Collection, held: HeldWeights, signal: AbortSignal): Promise<void> {
    if (!collection.isListed) return;
    const stored = this.#storedParts(collection);
    const due = partsOf(held.manifest).filter(
      ({ index, pieces }) =>
        !stored.has(index) && !collection.putting.has(index) && pieces.every((piece) => held.have.has(piece)),
    );
    for (const { index, key, pieces } of due) {
      collection.putting.add(index);
      const bytes = Buffer.concat(pieces.map((piece) => held.piece(piece)!));
      const put = await this.#options.objects.put(key, bytes, withLimit(signal, OBJECT_LIMIT));
      collection.putting.delete(index);
      if (put.ok) collection.stored.add(index);
      this.#options.onHeldChanged(true);
    }
  }

  /** Sees to it that a whole version lies in the object store, whoever was to put it there. */
  async #keepStored(collection: Collection, held: HeldWeights, signal: AbortSignal): Promise<void> {
    const parts = partsOf(held.manifest);
    let isManifestStored = false;
    while (!signal.aborted) {
      await sleep(LISTING_INTERVAL * (0.5 + this.#options.random.fraction()), signal);
      if (this.#place(collection).overall !== 0) continue;
      await this.#putParts(collection, held, signal);
      if (isManifestStored || this.#storedParts(collection).size < parts.length) continue;
      const key = storedManifestKey(collection.version);
      const bytes = Buffer.from(JSON.stringify(held.manifest));
      const put = await this.#options.objects.put(key, bytes, withLimit(signal, CALL_LIMIT));
      isManifestStored = put.ok;
    }
  }

  #origin(): PieceOrigin | undefined {
    const endpoint = this.#options.fleet.routes?.configuration.origin;
    return endpoint === undefined ? undefined : this.#options.originAt(endpoint.address);
  }
}

/** Time without a piece after which the entry at `place` in the order draws from the origin, in milliseconds. */
export function drawPatience(place: number): number {
  const quick = Math.min(place, QUICK_STAND_INS) * ORIGIN_STAND_IN_PATIENCE;
  return quick + Math.max(0, place - QUICK_STAND_INS) * STAND_IN_PATIENCE;
}
