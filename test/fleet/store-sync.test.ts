/** Following the store through its faults. */
import { afterEach, beforeEach, describe, expect, it } from 'vitest';
import { MemoryStore } from '../../emulator/store/memory-store.js';
import type { RowsSnapshot, WatchedTables } from '../../src/clients/watched-tables.js';
import { FleetView } from '../../src/fleet/fleet-view.js';
import { CLOCK_TOLERANCE } from '../../src/fleet/store-clock.js';
import { StoreSync } from '../../src/fleet/store-sync.js';
import { seededRandom } from '../../src/model/random.js';
import { silentLog } from '../../src/observability/log.js';
import { until } from '../support.js';
import { textRecords as decoder } from './text-records.js';

let store: MemoryStore;
let fleet: FleetView;
let sync: StoreSync;

const ids = () => [...fleet.backEnds.records.keys()].sort();

beforeEach(async () => {
  store = new MemoryStore();
  store.write('operator', 'configuration', '1');
  store.write('operator', 'model', '1');
  store.write('backEnds', 'one', 'ready');
  store.write('backEnds', 'two', 'ready');
  fleet = new FleetView();
  sync = new StoreSync({ tables: store, decoder, fleet, random: seededRandom(1), log: silentLog });
  await sync.start();
  await until(() => fleet.complete, 'the first reading');
});

afterEach(() => sync.stop());

describe('a process that follows the store', () => {
  it('takes what is there and what changes', async () => {
    expect(fleet.configurationRevision).toBe(1);
    expect(ids()).toEqual(['one', 'two']);
    store.write('operator', 'configuration', '2');
    store.write('backEnds', 'two', 'leaving');
    await until(() => fleet.configurationRevision === 2, 'the configuration');
    await until(() => fleet.backEnds.records.get('two')?.leaving === true, 'the leaving back end');
  });

  it('knows how late it may take the clock of the store to be, where all answers are long under way', async () => {
    const stamps: Array<{ stamp: number; at: number }> = [];
    /** The answer is made at once and arrives much later. */
    const late = async <T extends { ok: boolean; value?: unknown }>(answer: Promise<T>): Promise<T> => {
      const made = await answer;
      if (made.ok) stamps.push({ stamp: (made.value as RowsSnapshot).storeTime, at: performance.now() });
      await new Promise((resolve) => setTimeout(resolve, 4 * CLOCK_TOLERANCE));
      return made;
    };
    const tables: WatchedTables = {
      read: (table, partition, signal) => late(store.read(table, partition, signal)),
      changes: (query, signal) => late(store.changes({ ...query, wait: 0 }, signal)),
      transact: (...call) => store.transact(...call),
    };
    const view = new FleetView();
    const slow = new StoreSync({ tables, decoder, fleet: view, random: seededRandom(1), log: silentLog });
    await slow.start();
    await until(() => view.complete, 'the first reading');
    await slow.stop();
    const [{ stamp, at }] = stamps;
    expect(view.clock.localTimeAt(stamp)).toBeLessThanOrEqual(at + CLOCK_TOLERANCE);
  });

  it('takes a removal at once while the store answers', async () => {
    store.write('backEnds', 'one', undefined);
    await until(() => ids().length === 1, 'the removal');
  });

  it('reads all again where the history is forgotten, and compares', async () => {
    store.faults.down = true;
    await until(() => !sync.connected, 'the loss');
    store.write('backEnds', 'one', undefined);
    store.write('operator', 'configuration', '3');
    store.forgetHistory();
    store.faults.down = false;
    await until(() => fleet.configurationRevision === 3, 'the configuration');
    await until(() => ids().join() === 'two', 'the removal');
  });

  it('keeps back ends that lapsed while the store was away, until they are back or are not', async () => {
    const seen: string[] = [];
    fleet.listen({
      onBackEnds: (changes) => {
        for (const change of changes) if (change.type === 'gone') seen.push(change.id);
      },
    });
    store.faults.down = true;
    await until(() => !sync.connected, 'the loss');
    // The outage must be longer than what passes for a hiccup.
    await new Promise((resolve) => setTimeout(resolve, 1_200));
    store.write('backEnds', 'one', undefined);
    store.write('backEnds', 'two', undefined);
    store.faults.down = false;
    await until(() => sync.connected && fleet.backEnds.revision === store.revision, 'the return');
    expect(ids()).toEqual(['one', 'two']);
    store.write('backEnds', 'one', 'ready');
    await until(() => ids().join() === 'one', 'the one that is still missing is gone');
    expect(seen).toEqual(['two']);
  });

  it('keeps back ends that an older copy of the store lacks, though the store was never seen away', async () => {
    const copy = store.copy();
    store.write('backEnds', 'three', 'ready');
    await until(() => ids().includes('three'), 'the one that joins');
    store.restore(copy);
    await until(() => fleet.backEnds.revision === store.revision, 'the copy');
    expect(ids()).toEqual(['one', 'three', 'two']);
    await until(() => ids().join() === 'one,two', 'the end of the one that is still missing');
  });

  it('holds a back end for leaving, once it has heard of it, while the store is away and a peer knows less', async () => {
    store.write('backEnds', 'one', 'leaving');
    await until(() => fleet.backEnds.records.get('one')?.leaving === true, 'the notice');
    const { revision } = fleet.backEnds.records.get('one')!;
    store.faults.down = true;
    await until(() => !sync.connected, 'the loss');
    const older = { ...fleet.backEnds.records.get('one')!, leaving: false, revision: revision - 1 };
    fleet.takeBackEnds({ revision: fleet.backEnds.revision - 1, records: [older] });
    fleet.takeBackEnds({ revision: fleet.backEnds.revision + 1, records: [older] });
    expect(fleet.backEnds.records.get('one')?.leaving).toBe(true);
  });

  it('dates a version that it sees being named, and none that was there before', async () => {
    expect(fleet.versions.newest('model')).toMatchObject({
      version: 1,
      notBefore: Number.NEGATIVE_INFINITY,
    });
    store.write('operator', 'model', '2');
    const writtenAt = performance.now();
    await until(() => fleet.versions.newest('model')?.version === 2, 'the version');
    // The stand-in's clock is that of this process.
    expect(fleet.versions.newest('model')?.notBefore).toBeLessThanOrEqual(writtenAt);
    expect(fleet.versions.newest('model')?.notBefore).toBeGreaterThan(writtenAt - 500);
  });

  it('dates a version that was named while the store was away from the last answer before', async () => {
    await new Promise((resolve) => setTimeout(resolve, 100));
    store.faults.down = true;
    const lostAt = performance.now();
    await until(() => !sync.connected, 'the loss');
    store.write('operator', 'model', '3');
    await new Promise((resolve) => setTimeout(resolve, 600));
    store.faults.down = false;
    await until(() => fleet.versions.newest('model')?.version === 3, 'the version');
    expect(fleet.versions.newest('model')?.notBefore).toBeLessThanOrEqual(lostAt);
  });

  it('does not take a version for newly named that it reads again, or that is written again', async () => {
    store.write('operator', 'model', '2');
    await until(() => fleet.versions.newest('model')?.version === 2, 'the version');
    const { notBefore } = fleet.versions.newest('model')!;
    await new Promise((resolve) => setTimeout(resolve, 500));
    store.write('operator', 'model', '2');
    store.write('operator', 'configuration', '3');
    await until(() => fleet.configurationRevision === 3, 'the next revision');
    store.forgetHistory();
    store.write('operator', 'configuration', '4');
    await until(() => fleet.configurationRevision === 4, 'the one after it');
    expect(fleet.versions.newest('model')?.notBefore).toBe(notBefore);
  });
});

describe('a process that reads the store for others', () => {
  it('passes on an entry of a former start that it does not take itself, and the one after it', async () => {
    const passed: string[] = [];
    sync.onNews = ({ table, rows }) => {
      if (table === 'backEnds') passed.push(...rows.map(({ value }) => value?.toString() ?? ''));
    };
    const write = async (entry: string) => {
      store.write('backEnds', 'one', entry);
      await until(() => fleet.backEnds.revision === store.revision, entry);
    };
    await write('ready 100');
    await write('ready 200');
    passed.length = 0;
    await write('ready 100');
    expect(fleet.backEnds.records.get('one')?.start).toBe(200);
    // Others may have taken the late entry: they did not know of the start before it.
    await write('ready 200');
    await write('ready 200');
    expect(passed).toEqual(['ready 100', 'ready 200']);
  });
});

describe('a process for which another one reads the store', () => {
  /** News of the operator's table after revision `after`, as the reader passes them on. */
  const news = (after: number, revision: number, value: string, key = 'configuration') => ({
    table: 'operator' as const,
    after,
    revision,
    storeTime: performance.now(),
    since: performance.now() - 50,
    rows: [{ table: 'operator', partition: '', key, value: Buffer.from(value), revision }],
    holdsRemovalsFor: 0,
  });

  it('takes what it passes on, and asks the store for nothing', async () => {
    sync.isReader = () => false;
    await new Promise((resolve) => setTimeout(resolve, 1_200));
    const asked = { ...store.calls };
    sync.take(news(store.revision, store.revision + 1, '7'));
    expect(fleet.configurationRevision).toBe(7);
    await new Promise((resolve) => setTimeout(resolve, 400));
    expect(store.calls).toEqual(asked);
  });

  it('reads the store itself where it has missed something', async () => {
    sync.isReader = () => false;
    await new Promise((resolve) => setTimeout(resolve, 1_200));
    store.write('operator', 'configuration', '8');
    sync.take(news(store.revision + 5, store.revision + 6, '9'));
    expect(fleet.configurationRevision).toBe(1);
    await until(() => fleet.configurationRevision === 8, 'what the store has');
  });

  it('dates a version by when the reader saw it', async () => {
    sync.isReader = () => false;
    await new Promise((resolve) => setTimeout(resolve, 1_200));
    const passed = news(store.revision, store.revision + 1, '2', 'model');
    sync.take(passed);
    expect(fleet.versions.newest('model')).toMatchObject({ version: 2, notBefore: passed.since });
  });

  it('keeps back ends for as long as the reader does', async () => {
    sync.isReader = () => false;
    const { revision } = store;
    sync.take({
      ...news(revision, revision + 1, ''),
      table: 'backEnds',
      rows: [{ table: 'backEnds', partition: '', key: 'one', value: undefined, revision: revision + 1 }],
      holdsRemovalsFor: 300,
    });
    expect(ids()).toEqual(['one', 'two']);
    await until(() => ids().join() === 'two', 'the end of the hold');
  });
});
