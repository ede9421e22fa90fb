/** Guards against relying on parts in the object store that were there before it was restored from an older copy. */
import { afterEach, beforeEach, it } from 'vitest';
import { MemoryStore } from '../../emulator/store/memory-store.js';
import { storeRevision } from '../../src/clients/store-revision.js';
import { FleetView } from '../../src/fleet/fleet-view.js';
import { digestOf } from '../../src/model/manifest.js';
import { seededRandom } from '../../src/model/random.js';
import { success } from '../../src/model/result.js';
import { silentLog } from '../../src/observability/log.js';
import type { EntryReport } from '../../src/protocol/reports.js';
import { type PieceManifest, WeightsLibrary } from '../../src/weights/held-weights.js';
import type { PieceOrigin } from '../../src/weights/piece-source.js';
import { partsOf, storedPrefix } from '../../src/weights/piece-sources.js';
import { VersionCollector } from '../../src/weights/version-collector.js';
import { ENGINE_CONFIGURATION } from '../forwarding/engine-configuration.js';
import { until } from '../support.js';

const PIECES = 16;
/** Time for which the restored store takes no objects, in milliseconds. */
const OUTAGE = 4_000;
const pieceOf = (index: number) => Buffer.from(`piece ${index}`.padEnd(16));
const manifest: PieceManifest = {
  model: 'm',
  version: 2,
  pieceBytes: 16,
  digests: Array.from({ length: PIECES }, (_, index) => digestOf(pieceOf(index))),
};
const parts = partsOf(manifest);
const origin: PieceOrigin = {
  manifest: async () => success(manifest),
  piece: async (_version, index) => success(pieceOf(index)),
};

let store: MemoryStore;
let fleet: FleetView;
let collector: VersionCollector;

/** What a peer reports that has been cut off since before the restoration: its word never changes. */
const peer = {
  id: 'peer',
  address: 'peer:1',
  zone: 'zone-b',
  linkRate: 0,
  backEndsRevision: storeRevision(0, 9)!,
  held: [{ ...manifest, count: PIECES, have: new Uint8Array(2), drawing: [], stored: [...parts.keys()] }],
} as unknown as EntryReport;

async function storedKeys(): Promise<string[]> {
  const listed = await store.list(storedPrefix(manifest), AbortSignal.timeout(1_000));
  return listed.ok ? listed.value : [];
}

beforeEach(async () => {
  store = new MemoryStore();
  fleet = new FleetView();
  const peers: EntryReport[] = [];
  collector = new VersionCollector({
    self: { id: 'self', zone: 'zone-a', linkRate: 1_000 },
    fleet,
    library: new WeightsLibrary(),
    objects: store,
    originAt: () => origin,
    peers: () => peers,
    agents: () => [],
    servedVersions: () => [],
    versionBound: 60_000,
    onHeldChanged: () => {},
    random: seededRandom(1),
    log: silentLog,
  });
  fleet.applyBackEndChanges([], storeRevision(0, 9)!);
  fleet.applyConfiguration({
    document: Buffer.from(''),
    configuration: { ...ENGINE_CONFIGURATION, origin: { service: 'weights', address: 'origin' } },
  });
  fleet.clock.addSample(performance.now(), performance.now());
  fleet.applyNamedVersion({ model: 'm', version: 2, notBefore: performance.now() });
  await collector.start();
  await until(async () => (await storedKeys()).length > parts.length, 'all parts and the manifest');
  peers.push(peer);
});

afterEach(() => collector.stop());

// The word of the peer counted again once 3 s had passed since the restoration.
it('parts that a restored store has lost are written again although a peer still reports them', async () => {
  store.restore(new MemoryStore().copy());
  store.faults.down = true;
  fleet.applyBackEndChanges([], storeRevision(1, 3)!);
  collector.noteOlderCopy();
  await new Promise((resolve) => setTimeout(resolve, OUTAGE));
  store.faults.down = false;
  await until(async () => (await storedKeys()).length > parts.length, 'the parts and the manifest again');
});
