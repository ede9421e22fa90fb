import { describe, expect, it } from 'vitest';
import { OriginWeights } from '../../emulator/platform/weights.js';
import { VersionReconciler, type VersionReconcilerComponents } from '../../src/agent/version-reconciler.js';
import { HybridClock } from '../../src/model/hybrid-clock.js';
import { Timeline } from '../../src/observability/timeline.js';
import type { Assignment } from '../../src/protocol/messages.js';

const [first, second] = new OriginWeights(
  ['first', 'second'].map((label, seed) => ({
    label,
    bytes: 64,
    chunkBytes: 64,
    seed,
    unchangedShare: 1,
    changedSeed: 0,
  })),
).versions;

function assignment(version: string): Assignment {
  return {
    deployment: 'd',
    tenant: 't',
    model: 'm',
    version,
    places: ['place-a'],
    priority: 0,
    objective: 'fastest',
    revision: 1,
  };
}

/** A reconciler whose exchange and engine make no progress; requested manifests are added to `requested`. */
function createReconciler(requested: string[], ready: Set<string>): VersionReconciler {
  const noop = () => undefined;
  const components = {
    exchange: { node: { transfers: new Map() }, begin: () => true, held: noop, end: noop },
    bursts: { join: noop, leave: noop },
    loader: { ready, load: noop, unload: noop },
    log: {},
    timeline: new Timeline('a', new HybridClock()),
    requestManifest: (version: string) => requested.push(version),
    requestsInProgress: () => 0,
  };
  return new VersionReconciler(components as unknown as VersionReconcilerComponents);
}

describe('the version reconciler', () => {
  it('drops the manifest of a version that is no longer assigned', () => {
    const requested: string[] = [];
    const versions = createReconciler(requested, new Set());
    versions.assign([assignment(first.version)], 1);
    versions.onManifest(first.version, first.manifest);
    versions.assign([assignment(second.version)], 2);
    versions.assign([assignment(first.version)], 3);
    expect(requested).toEqual([first.version, second.version, first.version]);
  });

  it('keeps the manifest of a version that is served until its successor is ready', () => {
    const requested: string[] = [];
    const versions = createReconciler(requested, new Set([first.version]));
    versions.assign([assignment(first.version)], 1);
    versions.onManifest(first.version, first.manifest);
    versions.assign([assignment(second.version)], 2);
    expect(versions.progress().find(({ version }) => version === first.version)?.bytesTotal).toBe(64);
  });

  it('ignores assignments of an older revision', () => {
    const requested: string[] = [];
    const versions = createReconciler(requested, new Set());
    versions.assign([assignment(second.version)], 2);
    versions.assign([assignment(first.version)], 1);
    expect(requested).toEqual([second.version]);
  });
});
