/**
 * Entries share which request contents crash back ends. When each entry learnt this by itself, every entry sent such a content
 * two more times: with six entries, 11 of 16 engines crashed on one day, and 3 when the entries share their records.
 */
import { afterEach, beforeEach, expect, it } from 'vitest';
import { MemoryStore } from '../../emulator/store/memory-store.js';
import { reply, type Script } from '../forwarding/stand-in-back-end.js';
import { until } from '../support.js';
import { CRASHING_PATH, CrashingBackEnds, HARMLESS_PATH } from './crashing-back-ends.js';
import { type RunningEntry, send, startEntry, stopEntries } from './running-entry.js';

const BACK_ENDS = 6;

let store: MemoryStore;
let backEnds: CrashingBackEnds;
let entries: RunningEntry[];

beforeEach(async () => {
  store = new MemoryStore();
  store.write('operator', 'configuration', '1');
  backEnds = new CrashingBackEnds();
  await backEnds.start(BACK_ENDS, store);
  entries = [];
  for (const name of ['one', 'two', 'three']) await start(name);
});

afterEach(async () => {
  await stopEntries();
  await backEnds.stop();
});

async function start(name: string): Promise<RunningEntry> {
  const seeds = entries.map(({ settings }) => settings.peers);
  const entry = await startEntry(name, seeds, {}, undefined, store);
  entries.push(entry);
  const known = () => entry.entry.addresses('zone-a', 'region-a').length === entries.length;
  await until(known, 'the other entries');
  return entry;
}

const statusAt = async (entry: RunningEntry, path = CRASHING_PATH) => (await send(entry, path)).status;

it('a content that crashed a back end at each of two entries is refused by all entries', async () => {
  const [one, two, three] = entries;
  expect(await statusAt(one)).toBe(502);
  expect(await statusAt(two)).toBe(502);
  await until(async () => (await statusAt(three)) === 503, 'the refusal');
  for (const entry of entries) expect(await statusAt(entry)).toBe(503);
  expect(backEnds.ended).toBeLessThanOrEqual(3);
  expect(await statusAt(three, HARMLESS_PATH)).toBe(200);
});

it('an entry that starts later refuses the content too', async () => {
  await statusAt(entries[0]);
  await statusAt(entries[1]);
  await until(async () => (await statusAt(entries[2])) === 503, 'the refusal');
  const before = backEnds.ended;
  const four = await start('four');
  expect(await statusAt(four)).toBe(503);
  expect(backEnds.ended).toBe(before);
});

it('an entry that restarts at its address before its peers have noticed refuses the content too', async () => {
  await statusAt(entries[0]);
  await statusAt(entries[1]);
  await until(async () => (await statusAt(entries[2])) === 503, 'the refusal');
  const before = backEnds.ended;
  const [former] = entries.splice(2, 1);
  await former.entry.stop();
  const seeds = entries.map(({ settings }) => settings.peers);
  const next = await startEntry('three', seeds, { peers: former.settings.peers }, undefined, store);
  entries.push(next);
  await until(async () => (await statusAt(next, HARMLESS_PATH)) === 200, 'its start');
  await until(() => next.entry.addresses('zone-a', 'region-a').length === 3, 'the other entries');
  expect(await statusAt(next)).toBe(503);
  expect(backEnds.ended).toBe(before);
});

it('a content that one entry served successfully is not suspect at any entry', async () => {
  const [one, two, three] = entries;
  const answerAll = (script: Script) => {
    for (const backEnd of backEnds.all) backEnd.answer(script);
  };
  await statusAt(one);
  answerAll(reply(200, 'done'));
  await until(async () => (await statusAt(two)) === 200, 'an answer');
  for (const backEnd of backEnds.all) backEnd.answer(() => void backEnd.stop());
  expect(await statusAt(one)).toBe(502);
  answerAll(reply(200, 'done'));
  // Two back ends crashed on it, but it was served in between.
  await until(async () => (await statusAt(three)) !== 502, 'an answer');
  expect(await statusAt(three)).toBe(200);
});
