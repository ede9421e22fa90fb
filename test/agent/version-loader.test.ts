import { afterEach, describe, expect, it } from 'vitest';
import { EngineWeights, type Fence } from '../../emulator/engine/weights.js';
import { ChunkStore } from '../../src/agent/chunk-store.js';
import { VersionLoader } from '../../src/agent/version-loader.js';
import type { EngineClient } from '../../src/engine/engine-client.js';
import { HybridClock } from '../../src/model/hybrid-clock.js';
import { buildManifest, digestOf, versionOf } from '../../src/model/manifest.js';
import { failure, success } from '../../src/model/result.js';
import { silentLog } from '../../src/observability/log.js';
import { Timeline } from '../../src/observability/timeline.js';
import { until } from '../support.js';

const CHUNKS = [1, 2, 3].map((value) => Buffer.alloc(10, value));
const MANIFEST = buildManifest(Buffer.concat(CHUNKS), 10);
const VERSION = versionOf(MANIFEST);

/** A client that calls the emulated engine's weights directly, without a network. */
function createClient(weights: EngineWeights): EngineClient {
  const fenced = { type: 'fenced' as const, reason: 'stale' };
  return {
    state: async () => success({ versions: [...weights.versions.values()], fence: weights.fence, active: 0 }),
    claim: async () => {
      const epoch = weights.fence.epoch + 1;
      return weights.claim(epoch) ? success(epoch) : failure(fenced);
    },
    stage: async (version, chunk, data) => success(weights.stage(version, chunk, data)),
    order: async ({ kind, version, fence }: { kind: string; version: string; fence: Fence }) => {
      if (!weights.admits(fence)) return failure(fenced);
      if (kind === 'unload') return success(weights.unload(version));
      weights.beginLoad(version);
      weights.endLoad(version);
      return success(undefined);
    },
    complete: () => Promise.reject(new Error('not used')),
    cancel: async () => {},
  } as EngineClient;
}

const loaders: VersionLoader[] = [];

async function createLoader(weights: EngineWeights, held = CHUNKS): Promise<VersionLoader> {
  const store = new ChunkStore(1_000);
  store.pin(MANIFEST);
  for (const chunk of held) store.put(digestOf(chunk), chunk);
  const timeline = new Timeline('test', new HybridClock());
  const loader = new VersionLoader({ engine: createClient(weights), store, timeline, log: silentLog });
  await loader.start();
  loaders.push(loader);
  return loader;
}

afterEach(async () => {
  for (const loader of loaders.splice(0)) await loader.stop();
});

describe('the version loader', () => {
  it('counts a version as ready once the engine reports its digest', async () => {
    const loader = await createLoader(new EngineWeights(true));
    expect([...loader.ready]).toEqual([]);
    void loader.load(VERSION, MANIFEST, 1);
    await until(() => loader.ready.has(VERSION), 'readiness');
  });

  it('sends no load order while a chunk is missing', async () => {
    const weights = new EngineWeights(true);
    const loader = await createLoader(weights, CHUNKS.slice(0, 2));
    for (const [index, chunk] of CHUNKS.slice(0, 2).entries()) loader.stageEarly(VERSION, index, chunk);
    void loader.load(VERSION, MANIFEST, 1);
    await until(() => weights.versions.get(VERSION) !== undefined, 'staging');
    await new Promise((resolve) => setTimeout(resolve, 50));
    expect(weights.versions.get(VERSION)!.state).toBe('staging');
    expect(weights.audit.loads).toBe(0);
  });

  it('does not count a version as ready if the engine reports another digest for it', async () => {
    const weights = new EngineWeights(false);
    weights.stage(VERSION, 0, CHUNKS[0]);
    weights.beginLoad(VERSION);
    weights.endLoad(VERSION);
    const loader = await createLoader(weights);
    expect(weights.audit.partialLoads).toBe(1);
    expect(loader.ready.has(VERSION)).toBe(false);
  });

  it('cannot unload a version from an engine that a newer agent process has claimed', async () => {
    const weights = new EngineWeights(true);
    const old = await createLoader(weights);
    void old.load(VERSION, MANIFEST, 1);
    await until(() => old.ready.has(VERSION), 'readiness');
    weights.claim(weights.fence.epoch + 1);
    await old.unload(VERSION, 1);
    expect(weights.serving(VERSION)).toBeDefined();
    expect(weights.audit.ordersRefused).toBe(1);
  });

  it('stops counting a version as ready as soon as its unloading starts', async () => {
    const weights = new EngineWeights(true);
    const loader = await createLoader(weights);
    void loader.load(VERSION, MANIFEST, 1);
    await until(() => loader.ready.has(VERSION), 'readiness');
    const unloading = loader.unload(VERSION, 1);
    expect(loader.ready.has(VERSION)).toBe(false);
    await unloading;
    expect(weights.serving(VERSION)).toBeUndefined();
  });
});
