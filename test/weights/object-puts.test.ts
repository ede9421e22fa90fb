/**
 * Guards against writes of several parts to the object store at once, which delay all other traffic on the
 * links between regions.
 */
import { setTimeout as pause } from 'node:timers/promises';
import { expect, it } from 'vitest';
import { MemoryStore } from '../../emulator/store/memory-store.js';
import { FleetView } from '../../src/fleet/fleet-view.js';
import { digestOf } from '../../src/model/manifest.js';
import { seededRandom } from '../../src/model/random.js';
import { success } from '../../src/model/result.js';
import { silentLog } from '../../src/observability/log.js';
import { type PieceManifest, WeightsLibrary } from '../../src/weights/held-weights.js';
import type { PieceOrigin } from '../../src/weights/piece-source.js';
import { partsOf } from '../../src/weights/piece-sources.js';
import { VersionCollector } from '../../src/weights/version-collector.js';
import { ENGINE_CONFIGURATION } from '../forwarding/engine-configuration.js';
import { until } from '../support.js';

const PIECES = 16;
/** Time that the store needs for an object, in milliseconds: longer than the interval between two pieces. */
const PUT_TIME = 40;

const pieceOf = (index: number) => Buffer.from(`piece ${index}`.padEnd(16));
const manifest: PieceManifest = {
  model: 'm',
  version: 2,
  pieceBytes: 16,
  digests: Array.from({ length: PIECES }, (_, index) => digestOf(pieceOf(index))),
};
const origin: PieceOrigin = {
  manifest: async () => success(manifest),
  piece: async (_version, index) => success(pieceOf(index)),
};

/** A slow object store that counts concurrent writes. */
class SlowStore extends MemoryStore {
  most = 0;
  parts = 0;
  #inProgress = 0;

  override async put(...call: Parameters<MemoryStore['put']>) {
    this.most = Math.max(this.most, ++this.#inProgress);
    await pause(PUT_TIME);
    const outcome = await super.put(...call);
    this.#inProgress--;
    this.parts++;
    return outcome;
  }
}

it('parts of a version are written to the object store one at a time', async () => {
  const objects = new SlowStore();
  const fleet = new FleetView();
  const duty = new VersionCollector({
    self: { id: 'self', zone: 'zone-a', linkRate: 0 },
    fleet,
    library: new WeightsLibrary(),
    objects,
    originAt: () => origin,
    peers: () => [],
    agents: () => [],
    servedVersions: () => [],
    versionBound: 8_000,
    onHeldChanged: () => {},
    random: seededRandom(1),
    log: silentLog,
  });
  fleet.applyConfiguration({
    document: Buffer.from(''),
    configuration: { ...ENGINE_CONFIGURATION, origin: { service: 'weights', address: 'origin' } },
  });
  fleet.clock.addSample(performance.now(), performance.now());
  fleet.applyNamedVersion({ model: 'm', version: 2, notBefore: performance.now() });
  await duty.start();
  await until(() => objects.parts >= partsOf(manifest).length, 'all parts in the store');
  await duty.stop();
  expect(objects.most).toBe(1);
});
