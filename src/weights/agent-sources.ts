/**
 * The sources from which an agent fetches pieces: entries of its own zone first, then the object store,
 * entries of other zones, and the origin.
 */
import type { ObjectStore } from '../clients/object-store.js';
import { ChunkSet } from '../model/chunk-set.js';
import type { WeightsPlan } from '../protocol/reports.js';
import { SMALL_BATCH } from '../systems/upload-limit.js';
import { type PieceManifest, versionKey } from './held-weights.js';
import type { PieceOriginFactory, PieceSource } from './piece-source.js';
import { holds, objectSource, originSource, partsOf, peerSource } from './piece-sources.js';

/**
 * Timeout of a batch, in milliseconds. It is long, because requesting a piece again while it is in flight
 * would fill a slow link with duplicates.
 */
export const BATCH_TIMEOUT = 4_000;
const ORIGIN_TIMEOUT = 4_000;
/**
 * The object store, entries of other zones and the origin are used as well once no piece has arrived for this
 * long, in milliseconds times `patienceFactor`. Links between regions carry about one copy per second: agents
 * that read from the store would delay the entries, whose copy all agents of the zone wait for.
 */
const OBJECT_PATIENCE = 1_200;
const OBJECT_PATIENCE_BESIDE_ENTRY = 2_000;
const OTHER_ZONE_PATIENCE = 2_000;
const OBJECT_CONCURRENCY = 2;
const ORIGIN_PATIENCE = 6_000;
/**
 * Each agent of a zone falls back to the origin this much later than the one before it, in milliseconds: the
 * origin accepts only some 50 connections in total.
 */
const ORIGIN_STAGGER = 1_000;
const ORIGIN_CONCURRENCY = 2;

export interface AgentSourceOptions {
  plan: WeightsPlan;
  manifest: PieceManifest;
  objects: ObjectStore;
  originAt: PieceOriginFactory;
  /** Makes agents that do not know of one another start at different pieces. */
  offset: number;
  /** Random factor of 1 to 2, so that agents do not fall back to an expensive source at the same time. */
  patienceFactor: number;
}

/** The sources of one version, in order of preference. */
export function agentSources(options: AgentSourceOptions): PieceSource[] {
  const { plan, manifest, objects, originAt, offset, patienceFactor } = options;
  const stored = new Set<number>();
  const sources: PieceSource[] = [];
  for (const { address, held, isNear } of plan.holders) {
    const advertised = held.find((one) => versionKey(one) === versionKey(manifest));
    if (advertised === undefined) continue;
    for (const index of advertised.stored) stored.add(index);
    sources.push(
      peerSource({
        name: `entry ${address}`,
        address,
        manifest,
        has: holds(ChunkSet.fromBytes(advertised.count, advertised.have)),
        patience: isNear ? 0 : OTHER_ZONE_PATIENCE * patienceFactor,
        concurrency: 1,
        batchSize: SMALL_BATCH,
        batchTimeout: BATCH_TIMEOUT,
        offset,
      }),
    );
  }
  // Without a plan from an entry it is unknown which parts are stored, so every part is tried.
  if (plan.holders.length === 0) for (const { index } of partsOf(manifest)) stored.add(index);
  sources.push(
    objectSource({
      objects,
      manifest,
      stored,
      patience: (plan.hasNearEntry ? OBJECT_PATIENCE_BESIDE_ENTRY : OBJECT_PATIENCE) * patienceFactor,
      concurrency: OBJECT_CONCURRENCY,
      batchTimeout: BATCH_TIMEOUT,
      offset,
    }),
  );
  if (plan.origin === '') return sources;
  sources.push(
    originSource({
      origin: originAt(plan.origin),
      version: manifest,
      patience: ORIGIN_PATIENCE * patienceFactor + ORIGIN_STAGGER * plan.position,
      concurrency: ORIGIN_CONCURRENCY,
      batchTimeout: ORIGIN_TIMEOUT,
      mayDraw: () => true,
      firstOf: (count) => offset % count,
    }),
  );
  return sources;
}
