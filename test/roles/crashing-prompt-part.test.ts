/**
 * Guards against prompt parts that crash back ends at several entries: no two requests with the part are alike, they come at any
 * entry, and entries are killed or join later. Without quarantine of parts, these tests sent 27 requests after the fifth crash, and
 * 123 with four kills.
 */
import { afterEach, beforeEach, describe, expect, it } from 'vitest';
import { MemoryStore } from '../../emulator/store/memory-store.js';
import { CrashingFleet, type ListedBackEnd } from '../forwarding/crashing-fleet.js';
import { until } from '../support.js';
import { type RunningEntry, send, startEntry, stopEntries } from './running-entry.js';

const BACK_ENDS = 10;
const NAMES = ['one', 'two', 'three'];
/** Maximum number of sends of requests with the part after its fifth crash, at all entries together. */
const MAX_SENDS = 3;
const ROUNDS = 16;
/** Time between two rounds, in milliseconds. */
const INTERVAL = 100;
const SOUND_IN_A_ROUND = 4;
const BAD_GATEWAY = 502;
const FIRST_PART = 'aaaa';
const DEADLY = 'dead';
/** Time by which the part is known everywhere, in milliseconds. */
const SETTLE_TIME = 800;

let store: MemoryStore;
let fleet: CrashingFleet;
let requests: number;

beforeEach(async () => {
  requests = 0;
  store = new MemoryStore();
  store.write('operator', 'configuration', '1');
  fleet = new CrashingFleet(BACK_ENDS, [DEADLY], 'noHead');
  fleet.onListChanged = (listed) => writeList(listed);
  await fleet.start();
});

afterEach(async () => {
  await stopEntries();
  await fleet.stop();
});

function writeList(listed: ListedBackEnd[]): void {
  const records = new Map(
    listed.map(({ id, backEnd, start }) => {
      const { address } = backEnd;
      const record = { service: 'billing', address, zone: 'zone-a', slots: 8, leaving: false, start };
      return [id, JSON.stringify(record)];
    }),
  );
  for (let index = 0; index < BACK_ENDS; index++)
    store.write('backEnds', `b${index}`, records.get(`b${index}`));
}

async function startEntries(names: readonly string[], others: RunningEntry[] = []): Promise<RunningEntry[]> {
  const entries = [...others];
  for (const name of names) {
    const seeds = entries.map(({ settings }) => settings.peers);
    entries.push(await startEntry(name, seeds, {}, undefined, store));
  }
  for (const entry of entries) {
    await until(async () => (await sendTo(entry, ['a', 'b'])) === 200, 'service');
    const { zone, region } = entry.settings;
    await until(() => entry.entry.addresses(zone, region).length === entries.length, 'the others');
  }
  return entries;
}

async function sendTo(entry: RunningEntry, parts: readonly string[]): Promise<number> {
  const requestId = `r${++requests}`;
  const prompt = [...parts, requests.toString(16)].map((part) => `${part}:10`).join(',');
  return (await send(entry, `/1/${requestId}`, { requestId, parts: prompt }).catch(() => ({ status: 0 })))
    .status;
}

/** Sends requests with the deadly part beside sound ones, in turn to all entries; returns the statuses of the sound ones. */
async function play(entries: readonly RunningEntry[]): Promise<number[]> {
  const deadly: Array<Promise<number>> = [];
  const sound: Array<Promise<number>> = [];
  for (let round = 0; round < ROUNDS; round++) {
    const entryAt = (index: number) => entries[(round + index) % entries.length];
    deadly.push(sendTo(entryAt(0), [FIRST_PART, DEADLY]));
    for (let index = 0; index < SOUND_IN_A_ROUND; index++)
      sound.push(sendTo(entryAt(index), [FIRST_PART, `b${(round + index) % 7}`]));
    await new Promise((resolve) => setTimeout(resolve, INTERVAL));
  }
  await Promise.all(deadly);
  return Promise.all(sound);
}

/** Plays until the part is quarantined. */
async function playUntilKnown(entries: readonly RunningEntry[]): Promise<void> {
  await play(entries);
  await new Promise((resolve) => setTimeout(resolve, SETTLE_TIME));
}

/** Plays on: sound requests are served, except those in progress at a back end that a trial crashes. */
async function expectServed(entries: readonly RunningEntry[]): Promise<void> {
  const before = fleet.crashCount;
  const failed = (await play(entries)).filter((status) => status !== 200);
  expect(failed.filter((status) => status !== BAD_GATEWAY)).toEqual([]);
  expect(failed.length).toBeLessThanOrEqual((fleet.crashCount - before) * SOUND_IN_A_ROUND);
}

describe('a prompt part that crashes back ends, at several entries', () => {
  it('is sent at most three more times after its fifth crash, and sound requests beside it are served', async () => {
    const entries = await startEntries(NAMES);
    await playUntilKnown(entries);
    await expectServed(entries);
    expect(fleet.sendsAfterFifthCrash(DEADLY)).toBeLessThanOrEqual(MAX_SENDS);
  });

  it('is not sent more often if all entries are killed at once', async () => {
    for (let kill = 0; kill < 4; kill++) {
      const entries = await startEntries(NAMES);
      await playUntilKnown(entries);
      await expectServed(entries);
      await stopEntries();
    }
    expect(fleet.sendsAfterFifthCrash(DEADLY)).toBeLessThanOrEqual(MAX_SENDS);
  });

  it('is refused by an entry that joins later, by what the others tell it while the store is down', async () => {
    const entries = await startEntries(NAMES.slice(0, 2));
    await playUntilKnown(entries);
    const before = fleet.crashCount;
    store.faults.down = true;
    const seeds = entries.map(({ settings }) => settings.peers);
    const late = await startEntry('late', seeds, {}, undefined, store);
    await until(async () => (await sendTo(late, ['a', 'b'])) === 200, 'service');
    expect(await sendTo(late, [FIRST_PART, DEADLY])).toBe(503);
    expect(fleet.crashCount).toBe(before);
  });

  it('is refused by an entry that starts alone, by what the store keeps', async () => {
    const entries = await startEntries(NAMES.slice(0, 2));
    await playUntilKnown(entries);
    await stopEntries();
    const before = fleet.crashCount;
    const [alone] = await startEntries(['alone']);
    expect(await sendTo(alone, [FIRST_PART, DEADLY])).toBe(503);
    expect(fleet.crashCount).toBe(before);
  });
});
