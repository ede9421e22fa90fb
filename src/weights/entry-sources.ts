/**
 * The sources from which an entry fetches pieces: its parent entry in the zone, other entries, the object
 * store, agents and the origin.
 */
import type { ObjectStore } from '../clients/object-store.js';
import { ChunkSet } from '../model/chunk-set.js';
import { hash32 } from '../model/random.js';
import type { EngineAgentRow } from '../peers/engine-agents.js';
import type { EntryReport } from '../protocol/reports.js';
import { drawPlan, isDrawn } from '../systems/origin-draw.js';
import { type PieceManifest, versionKey } from './held-weights.js';
import type { PieceOrigin, PieceSource } from './piece-source.js';
import { holds, objectSource, originSource, partsOf, peerSource } from './piece-sources.js';

/** Timeout for one object, in milliseconds. */
export const OBJECT_TIMEOUT = 3_000;
/** Timeouts for a batch from another process and for a piece from the origin, in milliseconds. */
const BATCH_TIMEOUT = 2_000;
const ORIGIN_TIMEOUT = 1_500;
/** Pieces per batch from an entry, and from an agent, whose link is slow. */
const ENTRY_BATCH_SIZE = 12;
const AGENT_BATCH_SIZE = 2;
/** Concurrent batches per entry. */
const ENTRY_CONCURRENCY = 2;
/**
 * Concurrent batches per entry of another zone, and the bytes of each. All messages between processes of two
 * regions share the link between them and queue behind what is in flight there.
 */
const OTHER_ZONE_CONCURRENCY = 1;
const OTHER_ZONE_BATCH_BYTES = 200_000;
/**
 * An entry fetches from outside its zone in place of those before it in the zone's order when no piece has
 * arrived for this long, in milliseconds, times its position in that order.
 */
export const STAND_IN_PATIENCE = 1_200;
/**
 * Entries of the zone other than the parent are used after this long without a piece, in milliseconds: about
 * twice the time in which the arrival of a piece elsewhere is announced and the piece requested.
 */
const SAME_ZONE_PATIENCE = 300;
/**
 * Entries of other zones are used after this long, in milliseconds: their bytes are expensive, though less so
 * than those of the origin. The first entry of a zone uses them at once for a version that has just been
 * named: nobody nearer has the piece sooner, and the entry that draws it may be cut off meanwhile. An entry
 * that restarts finds the version in its zone: seven entries that restarted in turn, three times, transferred
 * 22 to 30 MB between regions because half of each copy came from another zone, and saturated the links there
 * for 0.5 s, so that messages were lost.
 */
const OTHER_ZONE_PATIENCE = 300;
/**
 * Concurrent reads of parts from the object store. An entry that has received no report from another entry of
 * its zone uses 1, as it may not be the only one: entries that start together would share the link between
 * regions for a copy each.
 */
const OBJECT_CONCURRENCY = 2;

/** Position of an entry in the orders in which entries fetch a version, 0 being the first. */
export interface EntryRank {
  inZone: number;
  overall: number;
  /** The entry of its zone from which it fetches pieces; undefined for the first. */
  parent: string | undefined;
}

/** Another entry, and the pieces of the version that it holds. */
export interface EntryHolding {
  peer: EntryReport;
  have: ChunkSet;
  /** Pieces that it is fetching from the origin. */
  drawing: readonly number[];
}

export interface EntrySourceOptions {
  self: { id: string; zone: string };
  place: EntryRank;
  manifest: PieceManifest;
  holders: readonly EntryHolding[];
  /** Agents connected to this entry. */
  agents: readonly EngineAgentRow[];
  /** No report of another entry of the zone has been received. */
  isOnlyEntryOfZone: boolean;
  objects: ObjectStore;
  /** Indexes of the parts known to be in the object store. */
  stored: ReadonlySet<number>;
  /** Undefined if no origin is configured, or while the contents of the object store are unknown. */
  origin: PieceOrigin | undefined;
  /** Engines already serve the version. */
  isServed: boolean;
  /** Time since the last piece arrived, in milliseconds. */
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
    // Entries start at different pieces, which they can then exchange.
    offset: hash32(self.id),
  });
}

/** Batch size for entries of another zone. */
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
    longestBackOff: plan.retryInterval,
    batchTimeout: ORIGIN_TIMEOUT,
    mayDraw: (index) => isDrawn(isAvailableElsewhere(index), sinceLastPiece, place.overall),
    isElsewhere: isAvailableElsewhere,
    firstOf: plan.firstOf,
  });
  return [source];
}

function otherZonePatience(place: EntryRank, isServed: boolean): number {
  return place.inZone === 0 && !isServed ? 0 : OTHER_ZONE_PATIENCE + standInPatience(place);
}

function standInPatience({ inZone }: EntryRank): number {
  return inZone * STAND_IN_PATIENCE;
}
