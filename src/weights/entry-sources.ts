/** Where an entry fetches pieces from: the entry before it in its zone, others, the object store, agents, the origin. */
import type { ObjectStore } from '../clients/object-store.js';
import { ChunkSet } from '../model/chunk-set.js';
import { hash32 } from '../model/random.js';
import type { EngineAgentRow } from '../peers/engine-agents.js';
import type { EntryReport } from '../protocol/reports.js';
import { drawPlan, isDrawn } from '../systems/origin-draw.js';
import { type PieceManifest, versionKey } from './held-weights.js';
import type { PieceOrigin, PieceSource } from './piece-source.js';
import { holds, objectSource, originSource, partsOf, peerSource } from './piece-sources.js';

/** Time for one object, in milliseconds. */
export const OBJECT_TIMEOUT = 3_000;
/** Time for a batch from another process, and for a piece of the origin, in milliseconds. */
const BATCH_TIMEOUT = 2_000;
const ORIGIN_TIMEOUT = 1_500;
/** Pieces of one answer of an entry, and of an agent whose link is narrow. */
const ENTRY_BATCH_SIZE = 12;
const AGENT_BATCH_SIZE = 2;
/** Batches that are open at the same time at one entry. */
const ENTRY_CONCURRENCY = 2;
/**
 * Batches that are open at the same time at one entry of another zone, and the bytes of each: all that processes of two
 * regions tell one another shares the link between them, and waits behind what is on its way there.
 */
const OTHER_ZONE_CONCURRENCY = 1;
const OTHER_ZONE_BATCH_BYTES = 200_000;
/** Without news for this long an entry that is not responsible fetches as well, in milliseconds, times its place. */
export const STAND_IN_PATIENCE = 1_200;
/** Other entries of the zone than the one before this are asked after this time without a piece, in milliseconds: about
 * twice the time in which a piece that has come somewhere is told of and asked for. */
const SAME_ZONE_PATIENCE = 300;
/**
 * Entries of other zones are asked after this, in milliseconds: their bytes are dear, those of the origin are dearer. The
 * first of a zone asks them at once for a version that has just been named: nobody nearer has the piece sooner, and whoever
 * draws it may be cut off meanwhile. One that starts again finds the version in its zone: seven entries that restarted in
 * turn, three times, carried 22 to 30 MB between regions where half of each copy came from another zone, and filled the
 * links there for 0.5 s, so that messages were lost.
 */
const OTHER_ZONE_PATIENCE = 300;
/**
 * Parts that are read from the object store at the same time. An entry that has heard no other of its zone may not be
 * the only one: those that start together would share the link between regions for a copy each.
 */
const OBJECT_CONCURRENCY = 2;

/** An entry's place in the order of those responsible for a version, 0 being the first. */
export interface EntryRank {
  inZone: number;
  overall: number;
  /** The entry of its zone of which it takes pieces; undefined for the first. */
  parent: string | undefined;
}

/** Another entry, and what it holds of the version. */
export interface EntryHolding {
  peer: EntryReport;
  have: ChunkSet;
  /** Pieces that it draws from the origin now. */
  drawing: readonly number[];
}

/** What the sources are made of. */
export interface EntrySourceOptions {
  self: { id: string; zone: string };
  place: EntryRank;
  manifest: PieceManifest;
  holders: readonly EntryHolding[];
  /** Agents that are connected here. */
  agents: readonly EngineAgentRow[];
  /** No other entry of the zone was heard. */
  isOnlyEntryOfZone: boolean;
  objects: ObjectStore;
  /** Parts that are known to lie in the object store. */
  stored: ReadonlySet<number>;
  /** Undefined where it is not known, or what the object store has is not. */
  origin: PieceOrigin | undefined;
  /** Engines serve the version. */
  isServed: boolean;
  /** Time since the latest piece came, in milliseconds. */
  sinceLastPiece: number;
}

/** The sources of one version, in order of preference. */
export function entrySources(options: EntrySourceOptions): PieceSource[] {
  return [
    ...options.holders.map((holder) => entrySource(holder, options)),
    objectStoreSource(options),
    ...options.agents.flatMap((agent) => agentSource(agent, options)),
    ...originSources(options),
  ];
}

function entrySource(
  { peer, have }: EntryHolding,
  { self, place, manifest, isServed }: EntrySourceOptions,
): PieceSource {
  const { parent } = place;
  const isNear = peer.zone === self.zone;
  const sameZonePatience = parent === undefined || peer.id === parent ? 0 : SAME_ZONE_PATIENCE;
  return peerSource({
    name: `entry ${peer.address}`,
    address: peer.address,
    manifest,
    has: holds(have),
    patience: isNear ? sameZonePatience : otherZonePatience(place, isServed),
    concurrency: isNear ? ENTRY_CONCURRENCY : OTHER_ZONE_CONCURRENCY,
    batchSize: isNear ? ENTRY_BATCH_SIZE : otherZoneBatchSize(manifest),
    batchTimeout: BATCH_TIMEOUT,
    // Entries take different pieces first, which they then have for one another.
    offset: hash32(self.id),
  });
}

/** Pieces that are asked for at a time in another zone. */
function otherZoneBatchSize({ pieceBytes }: PieceManifest): number {
  return Math.max(1, Math.min(ENTRY_BATCH_SIZE, Math.floor(OTHER_ZONE_BATCH_BYTES / pieceBytes)));
}

function objectStoreSource({
  self,
  place,
  manifest,
  isOnlyEntryOfZone,
  objects,
  stored,
}: EntrySourceOptions): PieceSource {
  return objectSource({
    objects,
    manifest,
    stored,
    patience: standInPatience(place),
    concurrency: isOnlyEntryOfZone ? 1 : OBJECT_CONCURRENCY,
    batchTimeout: OBJECT_TIMEOUT,
    offset: hash32(self.id),
  });
}

function agentSource(
  { address, report }: EngineAgentRow,
  { place, manifest }: EntrySourceOptions,
): PieceSource[] {
  const advertised = report?.held.find((other) => versionKey(other) === versionKey(manifest));
  if (advertised === undefined) return [];
  const source = peerSource({
    name: `agent ${address}`,
    address,
    manifest,
    has: holds(ChunkSet.fromBytes(advertised.count, advertised.have)),
    patience: standInPatience(place),
    concurrency: 1,
    batchSize: AGENT_BATCH_SIZE,
    batchTimeout: BATCH_TIMEOUT,
  });
  return [source];
}

function originSources(options: EntrySourceOptions): PieceSource[] {
  const { place, manifest, holders, stored, origin, isServed, sinceLastPiece } = options;
  if (origin === undefined) return [];
  const storedPieces = new Set(
    partsOf(manifest).flatMap(({ index, pieces }) => (stored.has(index) ? pieces : [])),
  );
  const isAvailableElsewhere = (index: number) =>
    storedPieces.has(index) ||
    holders.some(({ have, drawing }) => have.has(index) || drawing.includes(index));
  const isDrawnElsewhere = holders.some(({ have, drawing }) => have.size > 0 || drawing.length > 0);
  const plan = drawPlan({ place: place.overall, isServed, isDrawnElsewhere });
  const source = originSource({
    origin,
    version: manifest,
    patience: plan.patience,
    concurrency: plan.parallel,
    batchTimeout: ORIGIN_TIMEOUT,
    mayDraw: (index) => isDrawn(isAvailableElsewhere(index), sinceLastPiece, place.overall),
    offset: plan.firstOf(manifest.digests.length),
  });
  return [source];
}

function otherZonePatience(place: EntryRank, isServed: boolean): number {
  return place.inZone === 0 && !isServed ? 0 : OTHER_ZONE_PATIENCE + standInPatience(place);
}

function standInPatience({ inZone }: EntryRank): number {
  return inZone * STAND_IN_PATIENCE;
}
