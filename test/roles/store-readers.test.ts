/** One entry of each zone reads the store and forwards changes to the others, which take over if it fails. */
import { afterEach, beforeEach, describe, expect, it } from 'vitest';
import { MemoryStore } from '../../emulator/store/memory-store.js';
import { type Log, silentLog } from '../../src/observability/log.js';
import { reply, StandInBackEnd } from '../forwarding/stand-in-back-end.js';
import { until } from '../support.js';
import { type RunningEntry, send, startEntry, stopEntries, writeRecords } from './running-entry.js';

/** Time in which the reading entry has forwarded an update, in milliseconds. */
const SETTLE_TIME = 1_500;
const OBSERVATION_TIME = 2_000;

/** Time without an answer after which an entry takes the store for unavailable, and more, in milliseconds. */
const OUTAGE_TIME = 2_500;

/** A store that counts one entry's calls for changes. */
class CountingStore extends MemoryStore {
  changeCalls = 0;
  readonly #shared: MemoryStore;

  constructor(shared: MemoryStore) {
    super();
    this.#shared = shared;
  }

  override read(...call: Parameters<MemoryStore['read']>): ReturnType<MemoryStore['read']> {
    return this.faults.down ? super.read(...call) : this.#shared.read(...call);
  }

  override changes(...call: Parameters<MemoryStore['changes']>): ReturnType<MemoryStore['changes']> {
    this.changeCalls++;
    return this.faults.down ? super.changes(...call) : this.#shared.changes(...call);
  }
}

let shared: MemoryStore;
let backEnd: StandInBackEnd;
let entries: Array<RunningEntry & { store: CountingStore }>;

function pause(milliseconds: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, milliseconds));
}

async function start(name: string): Promise<void> {
  const store = new CountingStore(shared);
  const seeds = entries.map(({ settings }) => settings.peers);
  const started = await startEntry(name, seeds, {}, undefined, store);
  entries.push({ ...started, store });
}

/** The entries that call the store within `OBSERVATION_TIME`. */
async function readers(): Promise<typeof entries> {
  const before = entries.map(({ store }) => store.changeCalls);
  await pause(OBSERVATION_TIME);
  return entries.filter(({ store }, index) => store.changeCalls > before[index]);
}

const serves = (entry: RunningEntry, revision: number) => async () =>
  (await send(entry, `/${revision}/`)).status === 200;

beforeEach(async () => {
  shared = new MemoryStore();
  backEnd = await new StandInBackEnd(reply(200, 'done')).start();
  writeRecords(shared, 1, backEnd);
  entries = [];
  for (const name of ['one', 'two', 'three']) await start(name);
  for (const { entry } of entries)
    await until(() => entry.addresses('zone-a', 'region-a').length === 3, 'all three entries');
  await pause(SETTLE_TIME);
});

afterEach(async () => {
  await stopEntries();
  await backEnd.stop();
});

describe('entries of one zone', () => {
  it('let one of them read the store, and all apply what it reads', async () => {
    expect(await readers()).toHaveLength(1);
    writeRecords(shared, 2, backEnd);
    for (const entry of entries) await until(serves(entry, 2), 'the next configuration');
  });

  it('receive changes after the reading entry has stopped', async () => {
    const [reader] = await readers();
    await reader.entry.stop();
    writeRecords(shared, 2, backEnd);
    for (const entry of entries.filter((one) => one !== reader))
      await until(serves(entry, 2), 'the next configuration');
  });

  it('receive changes after the store has become unavailable to the reading entry', async () => {
    const [reader] = await readers();
    reader.store.faults.down = true;
    await pause(SETTLE_TIME);
    writeRecords(shared, 2, backEnd);
    for (const entry of entries) await until(serves(entry, 2), 'the next configuration');
    shared.write('backEnds', 'one', undefined);
    for (const entry of entries) await until(async () => !(await serves(entry, 2)()), 'the removal');
  });
});

it('an entry alone in its zone learns from others, while it does not reach the store, what leaves and that the store is there', async () => {
  const messages: string[] = [];
  const log: Log = {
    ...silentLog,
    info: (message) => messages.push(message),
    warn: (message) => messages.push(message),
  };
  const store = new CountingStore(shared);
  const seeds = entries.map(({ settings }) => settings.peers);
  const alone = await startEntry('alone', seeds, { zone: 'zone-b' }, log, store);
  await until(serves(alone, 1), 'its start');
  store.faults.down = true;
  shared.write('backEnds', 'one', undefined);
  await until(async () => !(await serves(alone, 1)()), 'the removal');
  expect(messages).not.toContain('store regained');
  await pause(OUTAGE_TIME);
  store.faults.down = false;
  await until(async () => messages.includes('store regained'), 'the store');
  expect(messages).not.toContain('store was unavailable, removals are held back');
});
