/** Guards against requests to an engine with weights that are not proven, by entries that did not hear its agent announce the switch. */
import { afterEach, beforeEach, expect, it } from 'vitest';
import { MemoryStore } from '../../emulator/store/memory-store.js';
import { type Connection, connect } from '../../src/protocol/connection.js';
import type { EngineReport, WeightsPlan } from '../../src/protocol/reports.js';
import { reply, StandInBackEnd } from '../forwarding/stand-in-back-end.js';
import { createConnectionContext, until } from '../support.js';
import { type RunningEntry, send, startEntry, stopEntries, writeRecords } from './running-entry.js';

const START = 100;
/** Requests by which the engine is chosen if it is used; another back end, in another zone, takes those that it does not get. */
const MANY = 12;
/** Time in which an entry receives several reports of another one, in milliseconds. */
const SEVERAL_REPORTS = 600;

/** One process of the engine's agent. */
class Agent {
  readonly plans: WeightsPlan[] = [];
  readonly #connections: Connection[] = [];

  constructor(readonly name: string) {}

  async connect({ settings }: RunningEntry): Promise<Connection> {
    const { context } = await createConnectionContext(this.name);
    const connected = await connect(settings.peers, context, AbortSignal.timeout(2_000));
    if (!connected.ok) throw new Error(connected.error.reason);
    connected.value.handleMessages((message) => {
      if (message.type === 'weightsPlan') this.plans.push(message.plan);
    });
    this.#connections.push(connected.value);
    return connected.value;
  }

  report(changes: Partial<EngineReport> = {}, connection = this.#connections.at(-1)!): void {
    const report: EngineReport = {
      start: START,
      address: engine.address,
      slotAddress: '',
      version: 1,
      isReached: true,
      isSwitching: false,
      isProven: false,
      load: 0,
      switchesIn: undefined,
      held: [],
      ...changes,
    };
    connection.send({ type: 'engineReport', report });
  }

  end(): void {
    for (const connection of this.#connections.splice(0)) connection.close();
  }
}

let store: MemoryStore;
let engine: StandInBackEnd;
let other: StandInBackEnd;
let one: RunningEntry;
let first: Agent;
let second: Agent;

async function startReady(name: string, seeds: RunningEntry[] = []): Promise<RunningEntry> {
  const addresses = seeds.map(({ settings }) => settings.peers);
  const started = await startEntry(name, addresses, {}, undefined, store);
  await until(() => started.entry.isReady, `${name} to be ready`);
  return started;
}

/** Whether the engine gets requests from an entry. */
async function isUsedBy(entry: RunningEntry): Promise<boolean> {
  const before = engine.requests.length;
  for (let sent = 0; sent < MANY; sent++) expect((await send(entry, '/1/')).status).toBe(200);
  return engine.requests.length > before;
}

const used = (entry: RunningEntry) => until(() => isUsedBy(entry), 'requests to the engine');
const avoided = (entry: RunningEntry) =>
  until(async () => !(await isUsedBy(entry)), 'the engine to be avoided');
const isHeardBy = (entry: RunningEntry, peer: RunningEntry) =>
  until(() => entry.entry.addresses('zone-a', 'region-a').includes(peer.settings.callers), 'the other entry');

beforeEach(async () => {
  store = new MemoryStore();
  engine = await new StandInBackEnd(reply(200, 'engine')).start();
  other = await new StandInBackEnd(reply(200, 'other')).start();
  writeRecords(store, 1, engine, 4, 'billing', START);
  const record = { service: 'billing', address: other.address, zone: 'zone-b', slots: 4, leaving: false };
  store.write('backEnds', 'two', JSON.stringify(record));
  one = await startReady('one');
  first = new Agent('first');
  second = new Agent('second');
});

afterEach(async () => {
  first.end();
  second.end();
  await stopEntries();
  await Promise.all([engine.stop(), other.stop()]);
});

/** The first agent announces a switch and ends. */
async function leaveSwitchUnfinished(): Promise<void> {
  await first.connect(one);
  first.report({ isSwitching: true });
  await avoided(one);
  first.end();
}

it('an entry that starts after the agent has ended learns of the switch from another entry', async () => {
  await leaveSwitchUnfinished();
  const two = await startReady('two', [one]);
  await isHeardBy(two, one);
  await isHeardBy(one, two);
  await avoided(two);
  expect(await isUsedBy(two)).toBe(false);
});

it('the next agent is told of the switch until it has proven the weights', async () => {
  await leaveSwitchUnfinished();
  await second.connect(one);
  second.report({ version: 0, isReached: false });
  await until(() => second.plans.at(-1)?.hasUnfinishedSwitch === true, 'a plan that tells of the switch');
  expect(await isUsedBy(one)).toBe(false);
  second.report({ isSwitching: true });
  second.report({ isProven: true });
  await used(one);
  await until(() => second.plans.at(-1)?.hasUnfinishedSwitch === undefined, 'a plan without it');
});

it('an agent is not told of a switch that it has announced itself', async () => {
  await first.connect(one);
  first.report({ isSwitching: true });
  await avoided(one);
  const received = first.plans.length;
  await until(() => first.plans.length > received + 1, 'further plans');
  expect(first.plans.some(({ hasUnfinishedSwitch }) => hasUnfinishedSwitch === true)).toBe(false);
});

it('an entry that has lost the agent does not end the switch by passing an earlier report on', async () => {
  const two = await startReady('two', [one]);
  await isHeardBy(two, one);
  const { context } = await createConnectionContext('first');
  const connections: Connection[] = [];
  for (const { settings } of [one, two]) {
    const connected = await connect(settings.peers, context, AbortSignal.timeout(2_000));
    if (!connected.ok) throw new Error(connected.error.reason);
    connections.push(connected.value);
  }
  first.report({ isProven: true }, connections[0]);
  await used(two);
  first.report({ isSwitching: true }, connections[1]);
  await avoided(two);
  const endsAt = performance.now() + SEVERAL_REPORTS;
  while (performance.now() < endsAt) expect(await isUsedBy(two)).toBe(false);
  for (const connection of connections) connection.close();
});
