/** Guards against relying on what an engine held, or on an order that it had not carried out, after that has changed. */
import { afterEach, beforeEach, describe, expect, it } from 'vitest';
import { EngineWeights, type Fence } from '../../emulator/engine/weights.js';
import { ChunkStore } from '../../src/agent/chunk-store.js';
import { VersionLoader } from '../../src/agent/version-loader.js';
import { VersionReconciler, type VersionReconcilerComponents } from '../../src/agent/version-reconciler.js';
import type { EngineClient } from '../../src/engine/engine-client.js';
import { ChunkSet } from '../../src/model/chunk-set.js';
import { HybridClock } from '../../src/model/hybrid-clock.js';
import { buildManifest, type Manifest, versionOf } from '../../src/model/manifest.js';
import { failure, success } from '../../src/model/result.js';
import { silentLog } from '../../src/observability/log.js';
import { Timeline } from '../../src/observability/timeline.js';
import type { Assignment } from '../../src/protocol/messages.js';
import { until } from '../support.js';

const CHUNK_BYTES = 10;
/** Longer than the loader still attends to a version that is ready, in milliseconds. */
const LOAD_END_DELAY = 1_500;
const [first, second, third] = [1, 2, 3].map((value) => {
  const bytes = Buffer.concat([Buffer.alloc(CHUNK_BYTES, value), Buffer.alloc(CHUNK_BYTES, value + 10)]);
  const manifest = buildManifest(bytes, CHUNK_BYTES);
  return { bytes, manifest, version: versionOf(manifest) };
});
const WEIGHTS = [first, second, third];

/** The weights of the engine; replaced when it restarts. */
let weights: EngineWeights;
/** Carries out the unload orders that got no answer, as an engine does that stood still. */
let lateOrders: Array<() => void>;
let answersUnloads: boolean;
let answersState: boolean;
let stagedChunks: number;
let loader: VersionLoader;
let reconciler: VersionReconciler;

beforeEach(async () => {
  weights = new EngineWeights(true);
  lateOrders = [];
  answersUnloads = true;
  answersState = true;
  stagedChunks = 0;
  await startAgent();
});

afterEach(() => loader.stop());

/** Starts an agent process whose memory contains all chunks. */
async function startAgent(): Promise<void> {
  const store = new ChunkStore(1_000);
  for (const { manifest, bytes } of WEIGHTS) {
    store.pin(manifest);
    for (const [index, { digest }] of manifest.chunks.entries())
      store.put(digest, bytes.subarray(index * CHUNK_BYTES, (index + 1) * CHUNK_BYTES));
  }
  const timeline = new Timeline('test', new HybridClock());
  loader = new VersionLoader({ engine: createClient(), store, timeline, log: silentLog });
  reconciler = new VersionReconciler({
    exchange: exchangeWithAllChunks(),
    bursts: { join: () => {}, leave: () => {} },
    loader,
    timeline,
    log: silentLog,
    requestManifest: (version: string) => queueMicrotask(() => deliverManifest(version)),
    requestsInProgress: () => 0,
  } as unknown as VersionReconcilerComponents);
  loader.onChange = () => reconciler.reconcile();
  await loader.start();
}

function deliverManifest(version: string): void {
  const known = WEIGHTS.find((one) => one.version === version)!;
  reconciler.onManifest(version, known.manifest);
}

/** An exchange in which each transfer is complete as soon as it begins. */
function exchangeWithAllChunks() {
  const transfers = new Map<string, ChunkSet>();
  return {
    node: { transfers },
    held: (version: string) => transfers.get(version),
    begin({ version }: Assignment, { chunks }: Manifest) {
      if (transfers.has(version)) return true;
      const have = new ChunkSet(chunks.length);
      for (const index of chunks.keys()) have.add(index);
      transfers.set(version, have);
      reconciler.onComplete(version);
      return true;
    },
    end: (version: string) => transfers.delete(version),
  };
}

function createClient(): EngineClient {
  const fenced = { type: 'fenced' as const, reason: 'stale' };
  return {
    state: async () => {
      if (!answersState) return failure({ type: 'engineUnreachable', reason: 'no answer in time' });
      return success({ versions: [...weights.versions.values()], fence: weights.fence, active: 0 });
    },
    claim: async () => {
      const epoch = weights.fence.epoch + 1;
      return weights.claim(epoch) ? success(epoch) : failure(fenced);
    },
    stage: async (version, chunk, data) => {
      stagedChunks++;
      return success(weights.stage(version, chunk, data));
    },
    order: async (order: { kind: string; version: string; fence: Fence }) => {
      if (order.kind === 'unload' && !answersUnloads) {
        lateOrders.push(() => carryOut(order));
        return failure({ type: 'engineUnreachable', reason: 'no answer in time' });
      }
      return carryOut(order) ? success(undefined) : failure(fenced);
    },
    complete: () => Promise.reject(new Error('not used')),
    cancel: async () => {},
  } as EngineClient;
}

function carryOut({ kind, version, fence }: { kind: string; version: string; fence: Fence }): boolean {
  if (!weights.admits(fence)) return false;
  if (kind === 'unload') weights.unload(version);
  else {
    weights.beginLoad(version);
    weights.endLoad(version);
  }
  return true;
}

/** @param revision - revision of the deployment, which may be older than that of the assignments */
function assignment({ version }: { version: string }, revision: number): Assignment {
  return {
    deployment: `d-${version}`,
    tenant: 't',
    model: 'm',
    version,
    places: ['place-a'],
    priority: 0,
    objective: 'fastest',
    revision,
  };
}

function isServed({ version }: { version: string }): boolean {
  return loader.ready.has(version) && weights.serving(version)?.loadedDigest === version;
}

describe('an agent and its engine', () => {
  // The engine's report that it held the version was relied on for as long as the agent ran.
  it('a version that the engine has lost is loaded again', async () => {
    reconciler.assign([assignment(first, 1)], 1);
    await until(() => isServed(first), 'the first load');
    await new Promise((resolve) => setTimeout(resolve, LOAD_END_DELAY));
    weights = new EngineWeights(true);
    await until(() => isServed(first), 'the second load');
  });

  it('a version is not staged again because its engine did not answer for a moment', async () => {
    reconciler.assign([assignment(first, 1)], 1);
    await until(() => isServed(first), 'the load');
    const staged = stagedChunks;
    await new Promise((resolve) => setTimeout(resolve, LOAD_END_DELAY));
    answersState = false;
    await until(() => !loader.ready.has(first.version), 'the silence is noticed');
    answersState = true;
    await until(() => isServed(first), 'the engine answers');
    expect(stagedChunks).toBe(staged);
  });

  // Orders to load were stamped with the age of the deployment, those to unload with that of the assignments.
  it('a version of an older deployment is loaded after an order for a newer one', async () => {
    reconciler.assign([assignment(second, 9)], 10);
    await until(() => isServed(second), 'the load for the newer deployment');
    reconciler.assign([assignment(first, 5)], 12);
    await until(() => isServed(first), 'the load for the older deployment');
    await until(() => weights.serving(second.version) === undefined, 'the unload');
    reconciler.assign([assignment(third, 7)], 14);
    await until(() => isServed(third), 'the load after the unload');
  });

  // An unload order without an answer was taken for one that is never carried out.
  it('a late unload order does not remove a version that is assigned again', async () => {
    reconciler.assign([assignment(first, 1)], 1);
    await until(() => isServed(first), 'the first version');
    answersUnloads = false;
    reconciler.assign([assignment(second, 2)], 2);
    await until(() => lateOrders.length > 0, 'the unload order');
    reconciler.assign([assignment(first, 3), assignment(second, 2)], 3);
    await until(() => isServed(first), 'the first version again');
    for (const carryOutLate of lateOrders) carryOutLate();
    expect(weights.serving(first.version)?.loadedDigest).toBe(first.version);
  });

  it('an unload order that was lost is sent again', async () => {
    reconciler.assign([assignment(first, 1)], 1);
    await until(() => isServed(first), 'the first version');
    answersUnloads = false;
    reconciler.assign([assignment(second, 2)], 2);
    await until(() => lateOrders.length > 0, 'the unload order');
    answersUnloads = true;
    await until(() => weights.serving(first.version) === undefined, 'the unload');
  });
});
