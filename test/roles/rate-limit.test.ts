/** Entries share a back end's rate limit. Otherwise each would send at the full rate, or without any limit. */
import { afterEach, beforeEach, expect, it } from 'vitest';
import { MemoryStore } from '../../emulator/store/memory-store.js';
import { allowedInWindow, mostInWindow } from '../forwarding/rate-limit-audit.js';
import { reply, StandInBackEnd } from '../forwarding/stand-in-back-end.js';
import { until } from '../support.js';
import { type RunningEntry, send, startEntry, stopEntries, writeRecords } from './running-entry.js';

const RATE = 2;
const PATH = '/1/limited';
/** Concurrent requests to each entry, number of bursts, and the pause between them in milliseconds. */
const BURST = 5;
const ROUNDS = 15;
const ROUND_PAUSE = 100;
/** A limit applies from this long after the answer that carried it was forwarded, in milliseconds. */
const NOTICE_TIME = 500;

let store: MemoryStore;
let backEnd: StandInBackEnd;
let arrivals: number[];
let entries: RunningEntry[];

const pause = (milliseconds: number) => new Promise((resolve) => setTimeout(resolve, milliseconds));
const statusAt = async (entry: RunningEntry) => (await send(entry, PATH)).status;

beforeEach(async () => {
  arrivals = [];
  store = new MemoryStore();
  backEnd = await new StandInBackEnd((request, response, body) => {
    arrivals.push(performance.now());
    reply(200, 'done', { 'x-rate-limit': String(RATE) })(request, response, body);
  }).start();
  writeRecords(store, 1, backEnd, 16);
  entries = [];
  for (const name of ['one', 'two', 'three']) {
    const seeds = entries.map(({ settings }) => settings.peers);
    entries.push(await startEntry(name, seeds, {}, undefined, store));
  }
  for (const entry of entries) {
    const { zone, region } = entry.settings;
    await until(() => entry.entry.addresses(zone, region).length === entries.length, 'the others');
  }
});

afterEach(async () => {
  await stopEntries();
  await backEnd.stop();
});

it('all entries together stay within the rate limit of a back end without an agent', async () => {
  await Promise.all(entries.map(statusAt));
  await pause(NOTICE_TIME);
  const before = arrivals.length;
  const statuses: number[] = [];
  for (let round = 0; round < ROUNDS; round++) {
    const sent = entries.flatMap((entry) => Array.from({ length: BURST }, () => statusAt(entry)));
    statuses.push(...(await Promise.all(sent)));
    await pause(ROUND_PAUSE);
  }
  expect(mostInWindow(arrivals.slice(before))).toBeLessThanOrEqual(allowedInWindow(RATE));
  expect(new Set(statuses)).toEqual(new Set([200, 503]));
});
