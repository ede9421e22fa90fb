/** Tests that the agent does not grant free slots faster than the rate limit of its engine. */
import { afterEach, beforeEach, expect, it } from 'vitest';
import { freeAddress } from '../../bench/processes/child.js';
import { seededRandom } from '../../src/model/random.js';
import { silentLog } from '../../src/observability/log.js';
import { SlotClient } from '../../src/peers/slot-client.js';
import { SlotServer } from '../../src/peers/slot-server.js';
import { createConnectionContext, until } from '../support.js';
import { ENGINE_CONFIGURATION, ENGINE_LAYERS } from './engine-configuration.js';
import { ForwardingHarness } from './forwarding-harness.js';
import { allowedInWindow, mostInWindow } from './rate-limit-audit.js';
import { events, reply, StandInBackEnd } from './stand-in-back-end.js';

const RATE = 2;
const SLOTS = 16;
const ENTRIES = 3;
/** Concurrent requests to each entry per round. */
const BURST = 5;
const ROUNDS = 15;
/** Time between two rounds, in milliseconds. */
const ROUND_PAUSE = 100;
/** Time after the first answer with a limit from which the limit must be kept, in milliseconds. */
const NOTICE_TIME = 500;

interface Entry {
  forwarding: ForwardingHarness;
  client: SlotClient;
}

let engine: StandInBackEnd;
let agent: SlotServer;
let agentAddress: string;
let entries: Entry[];
let arrivals: number[];

const pause = (milliseconds: number) => new Promise((resolve) => setTimeout(resolve, milliseconds));
const statusAt = async ({ forwarding }: Entry) => (await forwarding.send('/write/a')).status;

/** Starts an entry that knows the engine and its agent. */
async function startEntry(): Promise<Entry> {
  const client = new SlotClient(
    await freeAddress(),
    (await createConnectionContext('entry')).context,
    seededRandom(3),
  );
  await client.start();
  const forwarding = new ForwardingHarness('engines');
  forwarding.slots = client;
  await forwarding.start(ENGINE_CONFIGURATION);
  const layers = { from: 0, end: ENGINE_LAYERS, version: 1 };
  forwarding.list(['engine', engine, { slots: SLOTS, layers }]);
  forwarding.reportEngine(engine, { version: 1, slotAddress: agentAddress });
  return { forwarding, client };
}

beforeEach(async () => {
  arrivals = [];
  engine = await new StandInBackEnd((request, response, body) => {
    arrivals.push(performance.now());
    const headers = { 'x-version': '1', 'x-rate-limit': String(RATE) };
    reply(200, events(1, 1), headers)(request, response, body);
  }).start();
  agentAddress = await freeAddress();
  agent = new SlotServer(agentAddress, (await createConnectionContext('agent')).context, silentLog);
  await agent.start();
  agent.observe({ isServing: true, load: 0 });
  entries = [];
  for (let index = 0; index < ENTRIES; index++) entries.push(await startEntry());
});

afterEach(async () => {
  for (const { forwarding, client } of entries) {
    await forwarding.stop();
    await client.stop();
  }
  await agent.stop();
  await engine.stop();
});

it('an engine with an agent gets no more from all entries together than its rate limit allows', async () => {
  for (const entry of entries)
    await until(async () => (await statusAt(entry)) === 200, 'an answer with the limit');
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
