/**
 * Tests the stored quarantine state: crashes survive restarts of all entries, and each trial is claimed by one entry
 * only.
 */
import { setTimeout as pause } from 'node:timers/promises';
import { afterEach, expect, it } from 'vitest';
import { MemoryStore } from '../../emulator/store/memory-store.js';
import { StoreClock } from '../../src/fleet/store-clock.js';
import { PoisonGuard } from '../../src/forwarding/poison-guard.js';
import { QuarantineRecords, type QuarantineState } from '../../src/forwarding/quarantine-records.js';
import { seededRandom } from '../../src/model/random.js';
import { silentLog } from '../../src/observability/log.js';
import { Metrics } from '../../src/observability/metrics.js';
import { until } from '../support.js';

const TABLE = 'quarantine';
const PARTITION = 'quarantine';

const running: QuarantineRecords[] = [];

afterEach(async () => {
  await Promise.all(running.splice(0).map((records) => records.stop()));
});

interface Started {
  records: QuarantineRecords;
  states: QuarantineState[];
}

async function start(store: MemoryStore, name: string): Promise<Started> {
  const options = { tables: store, name, clock: new StoreClock(), random: seededRandom(1), log: silentLog };
  const records = new QuarantineRecords(options);
  const states: QuarantineState[] = [];
  records.onRead = (state) => states.push(state);
  running.push(records);
  await records.start();
  return { records, states };
}

const rowsOf = async (store: MemoryStore) => {
  const read = await store.read(TABLE, PARTITION, new AbortController().signal);
  return read.ok ? read.value.rows : [];
};

const put = (store: MemoryStore, key: string, value: string) =>
  store.transact(
    [],
    [{ table: TABLE, partition: PARTITION, key, value: Buffer.from(value) }],
    new AbortController().signal,
  );

const crashesRead = ({ states }: Started) =>
  states.flatMap(({ crashes }) => crashes.map(({ backEnd }) => backEnd));

const note = ({ records }: Started, backEnd: string, suspects = ['deadly']) =>
  records.noteCrash({ backEnd, at: performance.now(), suspects });

/** Waits until the row of entry `name` holds `count` crashes. */
const untilStored = (store: MemoryStore, name: string, count: number) =>
  until(async () => {
    const row = (await rowsOf(store)).find(({ key }) => key === `crashes/${name}`);
    return row?.value !== undefined && JSON.parse(row.value.toString()).length === count;
  }, 'its row');

it('crashes are read by entries that start after all others have stopped, and by the next process of the same name', async () => {
  const store = new MemoryStore();
  const one = await start(store, 'one');
  note(one, 'b1');
  await untilStored(store, 'one', 1);
  await one.records.stop();
  const [same, other] = [await start(store, 'one'), await start(store, 'two')];
  await until(() => crashesRead(same).length > 0 && crashesRead(other).length > 0, 'the crash');
  note(same, 'b2');
  await untilStored(store, 'one', 2);
});

it('a crash detected while the store is unavailable is written later', async () => {
  const store = new MemoryStore();
  store.faults.down = true;
  const one = await start(store, 'one');
  note(one, 'b1');
  await pause(50);
  store.faults.down = false;
  await untilStored(store, 'one', 1);
});

it('crashes that an older copy of the store lacks are written again', async () => {
  const store = new MemoryStore();
  const one = await start(store, 'one');
  note(one, 'b1');
  await untilStored(store, 'one', 1);
  const copy = store.copy();
  note(one, 'b2');
  await untilStored(store, 'one', 2);
  store.restore(copy);
  one.records.noteOlderCopy();
  await untilStored(store, 'one', 2);
});

it('a write does not overwrite crashes that another write has added', async () => {
  const store = new MemoryStore();
  const one = await start(store, 'one');
  note(one, 'b1');
  await untilStored(store, 'one', 1);
  // The store may execute an unanswered call seconds later: here, a call of an earlier process of the same name.
  const late = JSON.stringify([{ backEnd: 'b0', at: 0, suspects: ['deadly'] }]);
  await put(store, 'crashes/one', late);
  note(one, 'b2');
  await untilStored(store, 'one', 3);
});

it('malformed rows are ignored, and the other rows are read', async () => {
  const store = new MemoryStore();
  for (const [key, value] of [
    ['two', 'no JSON'],
    ['three', '{"a":1}'],
    ['four', '[{"backEnd":1}]'],
  ])
    await put(store, `crashes/${key}`, value);
  await put(store, 'crashes/five', JSON.stringify([{ backEnd: 'b1', at: 0, suspects: ['deadly'] }]));
  const one = await start(store, 'one');
  await until(() => one.states.length > 0, 'a reading');
  expect(crashesRead(one)).toEqual(['b1']);
});

it('an entry’s row is limited in size, and crashes with quarantined contents are dropped last', async () => {
  const store = new MemoryStore();
  const one = await start(store, 'one');
  one.records.quarantinedOf = (crash) => (crash.suspects.includes('deadly') ? crash : undefined);
  note(one, 'first');
  for (let crash = 0; crash < 400; crash++)
    note(
      one,
      `c${crash}`,
      Array.from({ length: 16 }, (_, suspect) => `a content of 22 chars ${suspect}`),
    );
  await until(async () => (await rowsOf(store)).length === 1, 'the row');
  const [{ value }] = await rowsOf(store);
  expect(value!.byteLength).toBeLessThan(65_536);
  expect(value!.toString()).toContain('"first"');
});

it('a trial is claimed only once and by one entry', async () => {
  const store = new MemoryStore();
  const [one, two] = [await start(store, 'one'), await start(store, 'two')];
  const noTrials = new Map([['deadly', 0]]);
  const claims = await Promise.all([one.records.claimTrial(noTrials), two.records.claimTrial(noTrials)]);
  expect(claims.map(({ type }) => type).sort()).toEqual(['claimed', 'taken']);
  const late = await two.records.claimTrial(noTrials);
  expect(late).toEqual({ type: 'taken', trials: new Map([['deadly', 1]]) });
  const next = await start(store, 'three');
  await until(() => next.states.length > 0, 'a reading');
  expect(next.states[0].trials).toEqual(new Map([['deadly', 1]]));
  expect((await next.records.claimTrial(new Map([['deadly', 1]]))).type).toBe('claimed');
});

it('a trial is not claimed if the store is unavailable or its answer is lost', async () => {
  const store = new MemoryStore();
  const one = await start(store, 'one');
  store.faults.down = true;
  expect((await one.records.claimTrial(new Map([['deadly', 0]]))).type).toBe('unknown');
  store.faults.down = false;
  store.faults.losesAnswers = true;
  expect((await one.records.claimTrial(new Map([['deadly', 0]]))).type).toBe('unknown');
  store.faults.losesAnswers = false;
  expect((await one.records.claimTrial(new Map([['deadly', 0]]))).type).toBe('taken');
});

it('a released trial can be claimed again', async () => {
  const store = new MemoryStore();
  const one = await start(store, 'one');
  await one.records.claimTrial(new Map([['deadly', 0]]));
  await one.records.releaseTrials(new Map([['deadly', 1]]), 1);
  expect((await one.records.claimTrial(new Map([['deadly', 0]]))).type).toBe('claimed');
});

/** A store that executes deletions late, as after calls that were given up. */
class LateDeletions extends MemoryStore {
  isLate = false;
  readonly #held: Array<() => void> = [];

  override async transact(...call: Parameters<MemoryStore['transact']>): ReturnType<MemoryStore['transact']> {
    const [, writes] = call;
    if (this.isLate && writes.some(({ value }) => value === undefined))
      await new Promise<void>((resolve) => this.#held.push(resolve));
    return super.transact(...call);
  }

  /** Executes the deletions that have arrived, and waits until those to which their answers lead have arrived. */
  async release(): Promise<void> {
    for (const resume of this.#held.splice(0)) resume();
    await pause(20);
  }
}

it.each(['the entry that claimed it', 'another entry'])(
  'a trial that %s releases late does not free one that was claimed since',
  async (releasing) => {
    const store = new LateDeletions();
    const [one, two] = [await start(store, 'one'), await start(store, 'two')];
    const [late, other] = releasing === 'another entry' ? [two, one] : [one, two];
    const noTrials = new Map([['deadly', 0]]);
    const oneTrial = new Map([['deadly', 1]]);
    await one.records.claimTrial(noTrials);
    store.isLate = true;
    void late.records.releaseTrials(oneTrial, 1);
    // Its first call only tells it the revision of the row.
    if (late === two) await store.release();
    store.isLate = false;
    await other.records.releaseTrials(oneTrial, 1);
    expect((await other.records.claimTrial(noTrials)).type).toBe('claimed');
    await store.release();
    expect((await late.records.claimTrial(noTrials)).type).toBe('taken');
  },
);

it('a trial that another entry claimed is released', async () => {
  const store = new MemoryStore();
  const [one, two] = [await start(store, 'one'), await start(store, 'two')];
  await one.records.claimTrial(new Map([['deadly', 0]]));
  await two.records.claimTrial(new Map([['deadly', 1]]));
  await one.records.releaseTrials(new Map([['deadly', 2]]), Number.POSITIVE_INFINITY);
  expect((await rowsOf(store)).map(({ key }) => key)).toEqual([]);
});

it('one of two entries that claim a trial concurrently sends the request, and neither while the store is unavailable', async () => {
  const store = new MemoryStore();
  const guards = await Promise.all(
    ['one', 'two'].map(async (name) => {
      const { records } = await start(store, name);
      const guard = new PoisonGuard({
        log: silentLog,
        metrics: new Metrics('test'),
        placeOf: () => 0,
        hasEnded: () => false,
        isLeaving: () => false,
        records,
      });
      // Two crashes that are old enough for a trial.
      for (const backEnd of ['b1', 'b2'])
        guard.takeNews({
          type: 'crashed',
          backEnd,
          age: backEnd === 'b1' ? 60_000 : 50_000,
          suspects: ['deadly'],
        });
      return guard;
    }),
  );
  const content = { fingerprints: ['deadly'], tenant: '', parts: [] };
  const admitAll = () => Promise.all(guards.map((guard) => guard.admit(content, 'service')));
  store.faults.down = true;
  expect((await admitAll()).map(({ type }) => type)).toEqual(['quarantined', 'quarantined']);
  store.faults.down = false;
  expect((await admitAll()).map(({ type }) => type).sort()).toEqual(['quarantined', 'trial']);
});
