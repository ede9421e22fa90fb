/** Entries that do not share a back end's rate limit each send at the whole rate, or at any rate. */
import { afterEach, beforeEach, expect, it } from 'vitest';
import { MemoryStore } from '../../emulator/store/memory-store.js';
import { allowedInWindow, mostInWindow } from '../forwarding/rate-limit-audit.js';
import { reply, StandInBackEnd } from '../forwarding/stand-in-back-end.js';
import { until } from '../support.js';
import { type RunningEntry, send, startEntry, stopEntries, write } from './running-entry.js';

const RATE = 2;
const PATH = '/1/limited';
/** Requests at once to each entry, how often, and the time between, in milliseconds. */
const BURST = 5;
const ROUNDS = 15;
const ROUND_PAUSE = 100;
/** Limits bind from this long after an answer with them was passed on, in milliseconds. */
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
  write(store, 1, backEnd, 16);
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

it('a back end without an agent gets no more from all entries together than its rate limit allows', async () => {
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
