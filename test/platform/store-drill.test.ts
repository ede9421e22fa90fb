/**
 * A store restored from an older copy: its versions go back and are assigned again. Rows used to be compared by version alone, so
 * a back end that joined at version 58 after version 100 had been read was not seen within 15 s, and one that set itself to leaving
 * at version 62 was not seen until the versions exceeded the known ones. If they had exceeded these before the next call, there
 * was no 410 answer either; only the era in the header reveals the restore.
 */
import { afterEach, beforeEach, describe, expect, it } from 'vitest';
import { MemoryStore, type StoreCopy } from '../../emulator/store/memory-store.js';
import { platformTables } from '../../platform/store.js';
import { eraOf, versionOf } from '../../src/clients/store-revision.js';
import type { WatchedTables } from '../../src/clients/watched-tables.js';
import { FleetView } from '../../src/fleet/fleet-view.js';
import { StoreSync } from '../../src/fleet/store-sync.js';
import { seededRandom } from '../../src/model/random.js';
import { silentLog } from '../../src/observability/log.js';
import { textRecordDecoder } from '../fleet/text-records.js';
import { until } from '../support.js';
import { type EraHeader, startStoreServer } from './wire-store.js';

/** All changes must be known this long after the store is back, in milliseconds; includes the hold time of removals. */
const MAX_DELAY = 3_000;
/** Number of heartbeats before the restore, so that versions go back by more than are written after it. */
const HEARTBEATS = 60;

let store: MemoryStore;
let tables: WatchedTables;
let fleet: FleetView;
let sync: StoreSync;
let stopStore: () => void;
/** The record that the back end `two` writes at each heartbeat. */
let two: string;

async function start(eraTold?: EraHeader): Promise<void> {
  store = new MemoryStore();
  two = 'ready 200';
  const { address, stop } = await startStoreServer(store, eraTold);
  stopStore = stop;
  tables = platformTables(address);
  store.write('operator', 'configuration', '1');
  store.write('backEnds', 'one', 'ready 100');
  store.write('backEnds', 'two', two);
  fleet = new FleetView();
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
}

beforeEach(() => start());
afterEach(async () => {
  await sync.stop();
  stopStore();
});

const ids = () => [...fleet.backEnds.records.keys()].sort();
const isUpToDate = () => fleet.backEnds.revision === store.revision;

/** Writes heartbeats of the back end `two`. */
async function writeHeartbeats(times = HEARTBEATS): Promise<void> {
  for (let beats = 0; beats < times; beats++) store.write('backEnds', 'two', two);
  await until(isUpToDate, 'the heartbeats');
}

/**
 * Makes the store unavailable for a moment and restores it from `copy`; `write` and then `versions` other writes are made before
 * it answers again.
 */
async function interruptAndRestore(copy: StoreCopy, versions = 0, write = () => {}): Promise<number> {
  // The latest answer is recent, so that the interruption is too short for records to expire.
  await writeHeartbeats(1);
  store.faults.down = true;
  await until(() => !sync.connected, 'the loss');
  store.restore(copy);
  write();
  for (let given = 0; given < versions; given++) store.write('others', 'row', String(given));
  store.faults.down = false;
  return performance.now();
}

async function expectWithinMaxDelay(since: number, condition: () => boolean, what: string): Promise<void> {
  await until(condition, what);
  expect(performance.now() - since).toBeLessThan(MAX_DELAY);
}

describe.each([
  { what: 'with versions below those that were read', versions: 0 },
  { what: 'with versions beyond those that were read', versions: 2 * HEARTBEATS },
])('a store restored from an older copy, $what', ({ versions }) => {
  it('is followed: back ends that join or leave afterwards are seen', async () => {
    const copy = store.copy();
    await writeHeartbeats();
    const since = await interruptAndRestore(copy, versions, () => {
      store.write('backEnds', 'three', 'ready 300');
      store.write('backEnds', 'one', 'leaving 100');
    });
    await expectWithinMaxDelay(since, () => ids().join() === 'one,three,two', 'the one that joined');
    await expectWithinMaxDelay(
      since,
      () => fleet.backEnds.records.get('one')?.leaving === true,
      'the one that leaves',
    );
  });

  it('does not restore a removed back end, nor make a leaving one serve again', async () => {
    const copy = store.copy();
    store.write('backEnds', 'one', undefined);
    two = 'leaving 200';
    store.write('backEnds', 'two', two);
    await until(() => ids().join() === 'two' && fleet.backEnds.records.get('two')!.leaving, 'both');
    const seen: string[] = [];
    fleet.listen({
      onBackEnds: (changes) => {
        for (const change of changes)
          if (change.type === 'changed' && !change.record.leaving) seen.push(change.record.id);
      },
    });
    await interruptAndRestore(copy, versions);
    await until(isUpToDate, 'the copy');
    expect(ids()).toEqual(['two']);
    expect(fleet.backEnds.records.get('two')?.leaving).toBe(true);
    expect(seen).toEqual([]);
  });

  it('keeps back ends that joined after the copy until they write their records again or the hold time ends', async () => {
    const copy = store.copy();
    store.write('backEnds', 'three', 'ready 300');
    store.write('backEnds', 'four', 'ready 400');
    await until(() => ids().length === 4, 'both');
    await interruptAndRestore(copy, versions);
    await until(isUpToDate, 'the copy');
    expect(ids()).toEqual(['four', 'one', 'three', 'two']);
    store.write('backEnds', 'three', 'ready 300');
    await until(() => ids().join() === 'one,three,two', 'the end of the one that is still missing');
  });

  it('reverts neither the configuration nor a version, and keeps the date of a version that is named again', async () => {
    const copy = store.copy();
    store.write('operator', 'configuration', '5');
    store.write('operator', 'model', '2');
    await until(() => fleet.versions.newest('model')?.version === 2, 'the version');
    const { notBefore } = fleet.versions.newest('model')!;
    await interruptAndRestore(copy, versions);
    await until(isUpToDate, 'the copy');
    expect(fleet.configurationRevision).toBe(5);
    store.write('operator', 'model', '2');
    store.write('operator', 'configuration', '5');
    store.write('operator', 'configuration', '6');
    await until(() => fleet.configurationRevision === 6, 'the next configuration');
    expect(fleet.versions.newest('model')).toMatchObject({ version: 2, notBefore });
  });
});

describe('a revision from before the restore', () => {
  const never = AbortSignal.timeout(60_000);

  it('has no history of changes in the next era', async () => {
    const copy = store.copy();
    await writeHeartbeats();
    const before = await tables.read('backEnds', '', never);
    store.restore(copy);
    await until(isUpToDate, 'the copy');
    const after = before.ok ? before.value.revision : 0;
    expect(await tables.changes({ table: 'backEnds', after, wait: 0 }, never)).toEqual({
      ok: false,
      error: { type: 'historyForgotten' },
    });
  });

  it('fails as a condition even if its version number was assigned again', async () => {
    const row = { table: 'own', partition: '', key: 'lease' };
    const copy = store.copy();
    const written = await tables.transact([], [{ ...row, value: Buffer.from('mine') }], never);
    store.restore(copy);
    await tables.read('own', '', never);
    const again = await tables.transact([], [{ ...row, value: Buffer.from('another’s') }], never);
    const revisionOf = (outcome: typeof written) =>
      outcome.ok && outcome.value.type === 'committed' ? outcome.value.revision : 0;
    expect(versionOf(revisionOf(again))).toBe(versionOf(revisionOf(written)));
    const renewal = [{ ...row, revision: revisionOf(written) }];
    expect(await tables.transact(renewal, [{ ...row, value: Buffer.from('mine') }], never)).toMatchObject({
      ok: true,
      value: { type: 'conflict' },
    });
  });
});

describe('an answer', () => {
  it('from an earlier era is an error', async () => {
    let eraHeader = 7;
    await sync.stop();
    stopStore();
    await start(() => eraHeader);
    const read = () => tables.read('backEnds', '', AbortSignal.timeout(60_000));
    expect((await read()).ok).toBe(true);
    eraHeader = 6;
    expect((await read()).ok).toBe(false);
  });

  it('from an earlier era that arrives late changes nothing', async () => {
    let eraHeader: number | undefined = 7;
    await sync.stop();
    stopStore();
    await start(() => eraHeader);
    const { revision } = fleet.backEnds;
    eraHeader = 6;
    store.write('backEnds', 'three', 'ready 300');
    await until(() => !sync.connected, 'the error');
    expect(fleet.backEnds.revision).toBe(revision);
    eraHeader = 7;
    await until(() => ids().length === 3, 'the answer of the present one');
  });

  it.each([undefined, '', 'second', -1, 1.5])(
    'with the era %j is attributed to the latest era',
    async (unreadable) => {
      let eraHeader: number | string | undefined = 7;
      await sync.stop();
      stopStore();
      await start(() => eraHeader);
      eraHeader = unreadable;
      store.write('backEnds', 'three', 'ready 300');
      await until(() => ids().length === 3, 'the news');
      expect(eraOf(fleet.backEnds.revision)).toBe(7);
    },
  );
});
