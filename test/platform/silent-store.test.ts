/** Established connections to the store that go silent without a reset, while new ones work. */
import { afterEach, beforeEach, describe, expect, it } from 'vitest';
import { MemoryStore } from '../../emulator/store/memory-store.js';
import { platformTables } from '../../platform/store.js';
import { FleetView } from '../../src/fleet/fleet-view.js';
import { StoreSync } from '../../src/fleet/store-sync.js';
import { seededRandom } from '../../src/model/random.js';
import { silentLog } from '../../src/observability/log.js';
import { textRecordDecoder } from '../fleet/text-records.js';
import { SilentProxy } from '../silent-proxy.js';
import { until } from '../support.js';
import { startStoreServer } from './wire-store.js';

/**
 * Changes in the store must be known this long after the connections went silent, in milliseconds: processes count as connected
 * again 3 s after it.
 */
const MAX_DELAY = 2_800;

let store: MemoryStore;
let proxy: SilentProxy;
let stopStore: () => void;

beforeEach(async () => {
  store = new MemoryStore();
  store.write('operator', 'configuration', '1');
  store.write('backEnds', 'one', 'ready');
  store.write('backEnds', 'two', 'ready');
  const { address, stop } = await startStoreServer(store);
  stopStore = stop;
  proxy = await new SilentProxy(address).start();
});

afterEach(async () => {
  await proxy.stop();
  stopStore();
});

describe('a call to the store', () => {
  it('uses a new connection after one timed out', async () => {
    const tables = platformTables(proxy.address);
    const read = (limit: number) => tables.read('operator', '', AbortSignal.timeout(limit));
    const first = await Promise.all(Array.from({ length: 5 }, () => read(2_000)));
    expect(first.every(({ ok }) => ok)).toBe(true);
    proxy.silence();
    expect((await read(200)).ok).toBe(false);
    const after = await Promise.all(Array.from({ length: 4 }, () => read(2_000)));
    expect(after.map(({ ok }) => ok)).toEqual([true, true, true, true]);
  });
});

describe('StoreSync', () => {
  let fleet: FleetView;
  let sync: StoreSync;

  beforeEach(async () => {
    fleet = new FleetView();
    const tables = platformTables(proxy.address);
    sync = new StoreSync({
      tables,
      decoder: textRecordDecoder,
      fleet,
      heartbeatInterval: 1_200,
      random: seededRandom(1),
      log: silentLog,
    });
    await sync.start();
    await until(() => fleet.complete, 'the first reading');
    // Wait until calls for changes of both tables are pending.
    await new Promise((resolve) => setTimeout(resolve, 700));
  });

  afterEach(() => sync.stop());

  /** Time until `condition` holds, in milliseconds. */
  async function timeUntil(condition: () => boolean, what: string): Promise<number> {
    const since = performance.now();
    await until(condition, what);
    return performance.now() - since;
  }

  it('receives a configuration in time', async () => {
    proxy.silence();
    store.write('operator', 'configuration', '2');
    expect(await timeUntil(() => fleet.configurationRevision === 2, 'it')).toBeLessThan(MAX_DELAY);
  });

  it('receives a leaving and a removed back end in time', async () => {
    proxy.silence();
    store.write('backEnds', 'one', 'leaving');
    store.write('backEnds', 'two', undefined);
    const took = await timeUntil(() => {
      const { records } = fleet.backEnds;
      return records.get('one')?.leaving === true && !records.has('two');
    }, 'both');
    expect(took).toBeLessThan(MAX_DELAY);
  });
});
