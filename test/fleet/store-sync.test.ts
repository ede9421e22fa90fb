/** StoreSync through outages of the store, lost history, restored copies, and reading by another process. */
import { afterEach, beforeEach, describe, expect, it } from 'vitest';
import { MemoryStore } from '../../emulator/store/memory-store.js';
import type { RowsSnapshot, WatchedTables } from '../../src/clients/watched-tables.js';
import { FleetView } from '../../src/fleet/fleet-view.js';
import type { RecordDecoder, RecordFault } from '../../src/fleet/record-decoder.js';
import { CLOCK_TOLERANCE } from '../../src/fleet/store-clock.js';
import { StoreSync } from '../../src/fleet/store-sync.js';
import { seededRandom } from '../../src/model/random.js';
import { failure } from '../../src/model/result.js';
import { silentLog } from '../../src/observability/log.js';
import { until } from '../support.js';
import { textRecordDecoder as decoder } from './text-records.js';

const HEARTBEAT_INTERVAL = 1_200;
/** Longer than a silence of the store after which records may have expired, in milliseconds. */
const OUTAGE_TIME = 2_200;

let store: MemoryStore;
let fleet: FleetView;
let sync: StoreSync;
/** When the first reading began, in milliseconds of the monotonic clock. */
let startedAt: number;

const ids = () => [...fleet.backEnds.records.keys()].sort();

beforeEach(async () => {
  store = new MemoryStore();
  store.write('operator', 'configuration', '1');
  store.write('operator', 'model', '1');
  store.write('backEnds', 'one', 'ready');
  store.write('backEnds', 'two', 'ready');
  fleet = new FleetView();
  sync = new StoreSync({
    tables: store,
    decoder,
    fleet,
    heartbeatInterval: HEARTBEAT_INTERVAL,
    random: seededRandom(1),
    log: silentLog,
  });
  startedAt = performance.now();
  await sync.start();
  await until(() => fleet.complete, 'the first reading');
});

afterEach(() => sync.stop());

describe('StoreSync reading the store', () => {
  it('applies the initial state and later changes', async () => {
    expect(fleet.configurationRevision).toBe(1);
    expect(ids()).toEqual(['one', 'two']);
    store.write('operator', 'configuration', '2');
    store.write('backEnds', 'two', 'leaving');
    await until(() => fleet.configurationRevision === 2, 'the configuration');
    await until(() => fleet.backEnds.records.get('two')?.leaving === true, 'the leaving back end');
  });

  it('decodes only the last valid version of a row that changed several times since the last answer', async () => {
    const decoded: string[] = [];
    const lastDecoder: RecordDecoder = {
      ...decoder,
      operatorRecord: (row) => {
        const text = row.value?.toString() ?? '';
        if (row.key === 'configuration') decoded.push(text);
        return text === 'invalid'
          ? failure({ type: 'badRecord' } as unknown as RecordFault)
          : decoder.operatorRecord(row);
      },
    };
    const lateFleet = new FleetView();
    const late = new StoreSync({
      tables: store,
      decoder: lastDecoder,
      fleet: lateFleet,
      heartbeatInterval: HEARTBEAT_INTERVAL,
      random: seededRandom(1),
      log: silentLog,
    });
    await late.start();
    await until(() => lateFleet.complete, 'the first reading');
    decoded.length = 0;
    for (const text of ['2', '3', '4', 'invalid']) store.write('operator', 'configuration', text);
    await until(() => lateFleet.configurationRevision > 1, 'the configuration');
    await late.stop();
    expect(lateFleet.configurationRevision).toBe(4);
    expect(decoded).toEqual(['invalid', '4']);
  });

  it('takes what others know if the store does not answer its first call, and then leaves it to them', async () => {
    store.faults.silent = true;
    const startedFleet = new FleetView();
    const started = new StoreSync({
      tables: store,
      decoder,
      fleet: startedFleet,
      heartbeatInterval: HEARTBEAT_INTERVAL,
      random: seededRandom(1),
      log: silentLog,
    });
    started.timeUntilReading = () => Number.POSITIVE_INFINITY;
    startedFleet.clock.addSample(performance.now(), performance.now());
    const outdated = { revision: store.revision, asOf: performance.now() - 10_000 };
    await started.start();
    started.adoptOperatorTable(outdated, 'peer');
    expect(started.operatorTable).toBeUndefined();
    await new Promise((resolve) => setTimeout(resolve, 1_800));
    started.adoptOperatorTable(outdated, 'peer');
    expect(started.operatorTable).toEqual(outdated);
    const operatorReads = () => reads.filter((table) => table === 'operator').length;
    const reads: string[] = [];
    const read = store.read.bind(store);
    store.read = (table, ...call) => {
      reads.push(table);
      return read(table, ...call);
    };
    await new Promise((resolve) => setTimeout(resolve, 2_500));
    await started.stop();
    expect(operatorReads()).toBeLessThanOrEqual(1);
  });

  it('bounds the estimate of the store clock by the time of the call if every response is delayed', async () => {
    const stamps: Array<{ stamp: number; at: number }> = [];
    /** Produces the response at once but delivers it much later. */
    const late = async <T extends { ok: boolean; value?: unknown }>(answer: Promise<T>): Promise<T> => {
      const response = await answer;
      if (response.ok)
        stamps.push({ stamp: (response.value as RowsSnapshot).storeTime, at: performance.now() });
      await new Promise((resolve) => setTimeout(resolve, 4 * CLOCK_TOLERANCE));
      return response;
    };
    const tables: WatchedTables = {
      read: (table, partition, signal) => late(store.read(table, partition, signal)),
      changes: (query, signal) => late(store.changes({ ...query, wait: 0 }, signal)),
      transact: (...call) => store.transact(...call),
    };
    const slowFleet = new FleetView();
    const slowSync = new StoreSync({
      tables,
      decoder,
      fleet: slowFleet,
      heartbeatInterval: HEARTBEAT_INTERVAL,
      random: seededRandom(1),
      log: silentLog,
    });
    await slowSync.start();
    await until(() => slowFleet.complete, 'the first reading');
    await slowSync.stop();
    const [{ stamp, at }] = stamps;
    expect(slowFleet.clock.localTimeAt(stamp)).toBeLessThanOrEqual(at + CLOCK_TOLERANCE);
  });

  it('applies a removal at once while the store is available', async () => {
    store.write('backEnds', 'one', undefined);
    await until(() => ids().length === 1, 'the removal');
  });

  it('reads the whole table again and compares it after the store has lost its history', async () => {
    store.faults.down = true;
    await until(() => !sync.connected, 'the loss');
    store.write('backEnds', 'one', undefined);
    store.write('operator', 'configuration', '3');
    store.forgetHistory();
    store.faults.down = false;
    await until(() => fleet.configurationRevision === 3, 'the configuration');
    await until(() => ids().join() === 'two', 'the removal');
  });

  it('keeps back ends whose records expired during an outage until the hold time is over', async () => {
    const seen: string[] = [];
    fleet.listen({
      onBackEnds: (changes) => {
        for (const change of changes) if (change.type === 'gone') seen.push(change.id);
      },
    });
    store.faults.down = true;
    await until(() => !sync.connected, 'the loss');
    // Records may expire during an outage of this length.
    await new Promise((resolve) => setTimeout(resolve, 2_000));
    store.write('backEnds', 'one', undefined);
    store.write('backEnds', 'two', undefined);
    store.faults.down = false;
    await until(() => sync.connected && fleet.backEnds.revision === store.revision, 'the return');
    expect(ids()).toEqual(['one', 'two']);
    store.write('backEnds', 'one', 'ready');
    await until(() => ids().join() === 'one', 'the one that is still missing is gone');
    expect(seen).toEqual(['two']);
  });

  it('keeps back ends missing from a restored older copy even if no outage was seen', async () => {
    const copy = store.copy();
    store.write('backEnds', 'three', 'ready');
    await until(() => ids().includes('three'), 'the one that joins');
    store.restore(copy);
    await until(() => fleet.backEnds.revision === store.revision, 'the copy');
    expect(ids()).toEqual(['one', 'three', 'two']);
    await until(() => ids().join() === 'one,two', 'the end of the one that is still missing');
  });

  it('keeps them although the store was available to others, as it was while it went back', async () => {
    const copy = store.copy();
    store.write('backEnds', 'three', 'ready');
    await until(() => ids().includes('three'), 'the one that joins');
    const since = performance.now() - 60_000;
    store.faults.down = true;
    await until(() => !sync.connected, 'the loss');
    await new Promise((resolve) => setTimeout(resolve, OUTAGE_TIME));
    store.restore(copy);
    store.faults.down = false;
    await until(() => fleet.backEnds.revision === store.revision, 'the copy');
    sync.noteStoreAvailable({ since, until: performance.now() });
    expect(ids()).toEqual(['one', 'three', 'two']);
  });

  // What this process had written was not written again, and it went on telling others that it was there.
  it('notices that the store was restored although a peer with a newer list noticed it first', async () => {
    let restorations = 0;
    sync.onStoreRestored = () => restorations++;
    const copy = store.copy();
    store.faults.down = true;
    await until(() => !sync.connected, 'the loss');
    store.restore(copy);
    const records = [...fleet.backEnds.records.values()];
    fleet.applyBackEndList({ revision: store.revision, records }, 'peer');
    store.faults.down = false;
    await until(() => sync.connected, 'the answers of the store');
    expect(restorations).toBe(1);
  });

  it('keeps a back end as leaving while the store is unavailable and a peer has an older list', async () => {
    store.write('backEnds', 'one', 'leaving');
    await until(() => fleet.backEnds.records.get('one')?.leaving === true, 'the notice');
    const { revision } = fleet.backEnds.records.get('one')!;
    store.faults.down = true;
    await until(() => !sync.connected, 'the loss');
    const older = { ...fleet.backEnds.records.get('one')!, leaving: false, revision: revision - 1 };
    fleet.applyBackEndList({ revision: fleet.backEnds.revision - 1, records: [older] }, 'peer');
    fleet.applyBackEndList({ revision: fleet.backEnds.revision + 1, records: [older] }, 'peer');
    expect(fleet.backEnds.records.get('one')?.leaving).toBe(true);
  });

  it('dates a version whose naming it observes, but not one that was named before the first read', async () => {
    expect(fleet.versions.newest('model')).toMatchObject({
      version: 1,
      notBefore: Number.NEGATIVE_INFINITY,
    });
    store.write('operator', 'model', '2');
    const writtenAt = performance.now();
    await until(() => fleet.versions.newest('model')?.version === 2, 'the version');
    // The in-memory store uses the clock of this process.
    expect(fleet.versions.newest('model')?.notBefore).toBeLessThanOrEqual(writtenAt);
    // After a stall of this process the answer before is the bound, which is the first reading here.
    const bound = Math.min(writtenAt - 500, startedAt);
    expect(fleet.versions.newest('model')?.notBefore).toBeGreaterThan(bound);
  });

  it('dates a version named during an outage from the last response before it', async () => {
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

  it('keeps the date of a version that is read or written again', async () => {
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

describe('StoreSync reading the store for others', () => {
  /** The values of the rows of back ends that are forwarded from now on. */
  const forwardedRows = () => {
    const forwarded: string[] = [];
    sync.onForward = ({ table, rows }) => {
      if (table === 'backEnds') forwarded.push(...rows.map(({ value }) => value?.toString() ?? 'removed'));
    };
    return forwarded;
  };

  /** Writes the record of the back end `one` and waits until it has been read. */
  const write = async (entry: string) => {
    store.write('backEnds', 'one', entry);
    await until(() => fleet.backEnds.revision === store.revision, entry);
  };

  it('forwards a record of a former start that it ignores itself, and the next record', async () => {
    await write('ready 100');
    await write('ready 200');
    const forwarded = forwardedRows();
    await write('ready 100');
    expect(fleet.backEnds.records.get('one')?.start).toBe(200);
    // Others may have accepted the delayed record, as they may not have known the start before it.
    await write('ready 200');
    await write('ready 200');
    expect(forwarded).toEqual(['ready 100', 'ready 200']);
  });

  // Guards against requests to a back end that leaves: others were not told so by a reader that had heard it from the back end.
  it('forwards that a back end is leaving although the back end has told this process so itself', async () => {
    const forwarded = forwardedRows();
    fleet.applyLeaving({ id: 'one' });
    await write('leaving');
    await write('leaving');
    expect(forwarded).toEqual(['leaving']);
  });

  it('forwards a configuration that a peer has sent this process before', async () => {
    const forwarded: Array<number | undefined> = [];
    sync.onForward = ({ table }, change) => table === 'operator' && forwarded.push(change?.latest?.revision);
    const document = decoder.configuration(Buffer.from('2'));
    if (document.ok) fleet.applyConfiguration(document.value);
    expect(fleet.configurationRevision).toBe(2);
    store.write('operator', 'configuration', '2');
    await until(() => forwarded.some((revision) => revision !== undefined), 'the configuration');
    store.write('operator', 'configuration', '2');
    store.write('operator', 'configuration', '3');
    await until(() => fleet.configurationRevision === 3, 'the next one');
    expect(forwarded.filter((revision) => revision !== undefined)).toEqual([2, 3]);
  });

  it('forwards a start that an agent has told this process before', async () => {
    await write('ready 100');
    const forwarded = forwardedRows();
    fleet.applyReportedStart({ id: 'one', start: 200 });
    await write('ready 200');
    await write('ready 200');
    expect(forwarded).toEqual(['ready 200']);
  });

  it('forwards a start that the record did not name before', async () => {
    const forwarded = forwardedRows();
    await write('ready 100');
    expect(forwarded).toEqual(['ready 100']);
  });

  it('forwards a change that it has from the list of another process', async () => {
    const forwarded = forwardedRows();
    const [record] = [...fleet.backEnds.records.values()].filter(({ id }) => id === 'one');
    const revision = store.revision + 1;
    const records = [{ ...record, leaving: true, revision }];
    fleet.applyBackEndList({ revision, records }, 'peer');
    await write('leaving');
    await until(() => forwarded.length > 0, 'the change to be forwarded');
    expect(forwarded).toEqual(['leaving']);
  });

  it('forwards what it reads after the same change has come from another reader', async () => {
    const forwarded = forwardedRows();
    const { changes: calls = 0 } = store.calls;
    await until(() => (store.calls.changes ?? 0) >= calls + 2, 'calls that wait for changes of both tables');
    const after = store.revision;
    sync.applyForwarded(
      {
        table: 'backEnds',
        after,
        revision: after + 1,
        storeTime: performance.now(),
        since: performance.now(),
        rows: [
          {
            table: 'backEnds',
            partition: '',
            key: 'one',
            value: Buffer.from('leaving'),
            revision: after + 1,
          },
        ],
      },
      'reader',
    );
    expect(fleet.backEnds.records.get('one')?.leaving).toBe(true);
    await write('leaving');
    await until(() => forwarded.length > 0, 'the change to be forwarded');
    expect(forwarded).toEqual(['leaving']);
  });

  it('forwards a record that was removed and written again before one answer', async () => {
    const forwarded = forwardedRows();
    store.write('backEnds', 'one', undefined);
    store.write('backEnds', 'one', 'ready');
    await until(() => fleet.backEnds.revision === store.revision, 'both changes');
    expect(forwarded).toEqual(['removed', 'ready']);
  });
});

describe('StoreSync with another process reading the store', () => {
  /** An update of the operator's table after revision `after`, as the reading process forwards it. */
  const news = (after: number, revision: number, value: string, key = 'configuration') => ({
    table: 'operator' as const,
    after,
    revision,
    storeTime: performance.now(),
    since: performance.now() - 50,
    rows: [{ table: 'operator', partition: '', key, value: Buffer.from(value), revision }],
  });

  it('applies forwarded changes without calling the store', async () => {
    sync.timeUntilReading = () => Number.POSITIVE_INFINITY;
    await new Promise((resolve) => setTimeout(resolve, 1_200));
    const callsBefore = { ...store.calls };
    sync.applyForwarded(news(store.revision, store.revision + 1, '7'), 'reader');
    expect(fleet.configurationRevision).toBe(7);
    await new Promise((resolve) => setTimeout(resolve, 400));
    expect(store.calls).toEqual(callsBefore);
  });

  it('forwards what it has read although another process has taken over before the answer', async () => {
    const forwarded: string[] = [];
    sync.onForward = ({ rows }) => forwarded.push(...rows.map((row) => row.key));
    const calls = store.calls.changes ?? 0;
    await until(() => (store.calls.changes ?? 0) > calls, 'a call that waits for changes');
    sync.timeUntilReading = () => Number.POSITIVE_INFINITY;
    // The call may be for either table.
    store.write('operator', 'configuration', '7');
    store.write('backEnds', 'three', 'ready');
    await until(() => forwarded.length > 0, 'its answer');
  });

  it('reads the store itself after a missed update', async () => {
    sync.timeUntilReading = () => Number.POSITIVE_INFINITY;
    await new Promise((resolve) => setTimeout(resolve, 1_200));
    store.write('operator', 'configuration', '8');
    sync.applyForwarded(news(store.revision + 5, store.revision + 6, '9'), 'reader');
    expect(fleet.configurationRevision).toBe(1);
    await until(() => fleet.configurationRevision === 8, 'what the store has');
  });

  it('reads a configuration itself that was announced beside forwarded rows and never arrives, once', async () => {
    sync.timeUntilReading = () => Number.POSITIVE_INFINITY;
    await new Promise((resolve) => setTimeout(resolve, 1_200));
    const after = sync.operatorTable!.revision;
    store.write('operator', 'configuration', '2');
    fleet.noteRemoteConfigurationRevision(2);
    const forwarded = { table: 'operator' as const, after, revision: store.revision };
    sync.applyForwarded({ ...forwarded, storeTime: performance.now(), since: 0, rows: [] }, 'reader');
    const reads = () => store.calls.read;
    const before = reads();
    await new Promise((resolve) => setTimeout(resolve, 2_500));
    // Others read for this process, and are to provide the configuration.
    expect(reads()).toBe(before);
    await until(() => fleet.configurationRevision === 2, 'the configuration');
    expect(reads()).toBe(before + 1);
    sync.timeUntilReading = () => 0;
    fleet.noteRemoteConfigurationRevision(3);
    await until(() => reads() === before + 2, 'a read of the whole table');
    await new Promise((resolve) => setTimeout(resolve, 500));
    expect(reads()).toBe(before + 2);
  });

  it('leaves a missed update to reports that make up for it', async () => {
    sync.timeUntilReading = () => Number.POSITIVE_INFINITY;
    await new Promise((resolve) => setTimeout(resolve, 1_200));
    const callsBefore = { ...store.calls };
    const { revision } = store;
    sync.applyForwarded(news(revision + 1, revision + 2, '7'), 'reader');
    await new Promise((resolve) => setTimeout(resolve, 300));
    sync.adoptOperatorTable({ revision: revision + 2, asOf: performance.now() }, 'reader');
    await new Promise((resolve) => setTimeout(resolve, 1_000));
    expect(store.calls).toEqual(callsBefore);
    expect(sync.operatorTable?.revision).toBe(revision + 2);
  });

  it('skips no changes that it has to forward because another process knows them', async () => {
    const forwarded: number[] = [];
    sync.onForward = ({ table, after }) => table === 'operator' && forwarded.push(after);
    const { revision } = sync.operatorTable!;
    sync.adoptOperatorTable({ revision: revision + 100, asOf: performance.now() }, 'peer');
    store.write('operator', 'model', '2');
    await until(() => forwarded.length > 0, 'the change');
    expect(forwarded[0]).toBe(revision);
  });

  it('dates a version by when the reading process saw it', async () => {
    sync.timeUntilReading = () => Number.POSITIVE_INFINITY;
    await new Promise((resolve) => setTimeout(resolve, 1_200));
    const update = news(store.revision, store.revision + 1, '2', 'model');
    sync.applyForwarded(update, 'reader');
    expect(fleet.versions.newest('model')).toMatchObject({ version: 2, notBefore: update.since });
  });

  /** An update with the removal of back end `one`, which the store answered `silence` milliseconds after the latest answer. */
  const removalAfter = (silence: number) => ({
    ...news(store.revision, store.revision + 1, ''),
    table: 'backEnds' as const,
    storeTime: performance.now() + silence,
    rows: [{ table: 'backEnds', partition: '', key: 'one', value: undefined, revision: store.revision + 1 }],
  });

  it('holds a removal back if the update is the first answer of the store after an outage', async () => {
    sync.timeUntilReading = () => Number.POSITIVE_INFINITY;
    sync.applyForwarded(removalAfter(2_000), 'reader');
    expect(ids()).toEqual(['one', 'two']);
    await until(() => ids().join() === 'two', 'the end of the hold');
  });

  it('applies a removal at once if the store has answered meanwhile, though without news', () => {
    sync.timeUntilReading = () => Number.POSITIVE_INFINITY;
    const update = removalAfter(2_000);
    const { revision } = store;
    sync.applyForwarded(
      {
        ...update,
        after: revision,
        revision,
        storeTime: update.storeTime - 1_000,
        rows: [],
      },
      'reader',
    );
    sync.applyForwarded(update, 'reader');
    expect(ids()).toEqual(['two']);
  });
});
