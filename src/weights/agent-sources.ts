/** Where an agent fetches pieces from: near entries first, then the object store, far entries, the origin. */
import type { ObjectStore } from '../clients/object-store.js';
import { ChunkSet } from '../model/chunk-set.js';
import type { WeightsPlan } from '../protocol/reports.js';
import { SMALL_BATCH } from '../systems/upload-limit.js';
import { type PieceManifest, versionKey } from './held-weights.js';
import type { PieceOriginFactory, PieceSource } from './piece-source.js';
import { holds, objectSource, originSource, partsOf, peerSource } from './piece-sources.js';

/** Asking for a piece again while it is on its way would fill a narrow link with copies: it has until this, in milliseconds. */
export const BATCH_TIMEOUT = 4_000;
const ORIGIN_TIMEOUT = 4_000;
/**
 * Without a piece for this long, in milliseconds times `impatience`, the object store, far entries and the origin are
 * asked too. Links between regions carry about one copy a second: agents at the store would delay the entries, on whose
 * copy those of the whole zone wait.
 */
const OBJECT_PATIENCE = 1_200;
const OBJECT_PATIENCE_BESIDE_ENTRY = 2_000;
const OTHER_ZONE_PATIENCE = 2_000;
const OBJECT_CONCURRENCY = 2;
const ORIGIN_PATIENCE = 6_000;
/** Each agent of a zone turns to the origin this much later, in milliseconds: it accepts some 50 connections of all. */
const ORIGIN_STAGGER = 1_000;
const ORIGIN_CONCURRENCY = 2;

/** What the sources are made of. */
export interface AgentSourceOptions {
  plan: WeightsPlan;
  manifest: PieceManifest;
  objects: ObjectStore;
  originAt: PieceOriginFactory;
  /** Spreads agents that do not know of one another over the pieces. */
  offset: number;
  /** 1 to 2: agents do not turn to a dear source all at once. */
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
  // An agent that no entry has told anything asks for every part.
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
      offset: offset % manifest.digests.length,
    }),
  );
  return sources;
}
