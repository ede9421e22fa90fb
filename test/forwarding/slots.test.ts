/** Tests that an entry's requests obtain slots from agents, which communicate by datagrams as on separate machines. */
import { afterEach, beforeEach, expect, it } from 'vitest';
import { freeAddress } from '../../bench/processes/child.js';
import { STREAM_ROUTE } from '../../bench/simulation/stream-route.js';
import type { FleetConfiguration } from '../../src/fleet/configuration.js';
import type { SlotAnswers } from '../../src/forwarding/engine-slots.js';
import { seededRandom } from '../../src/model/random.js';
import { silentLog } from '../../src/observability/log.js';
import { SlotClient } from '../../src/peers/slot-client.js';
import { SlotServer } from '../../src/peers/slot-server.js';
import { blockEventLoop, createConnectionContext, until } from '../support.js';
import { ForwardingHarness, NOOP_CLAIM } from './forwarding-harness.js';
import { events, reply, StandInBackEnd } from './stand-in-back-end.js';

const SLOTS = 2;
const CONFIGURATION: FleetConfiguration = {
  revision: 1,
  routes: [{ ...STREAM_ROUTE, objective: 2_000 }],
  services: [
    {
      name: 'engines',
      maxConnections: 0,
      engine: {
        slots: SLOTS,
        layers: 4,
        models: [{ name: 'model' }],
        pieceCount: 4,
        pieceBytes: 64,
        readTokensPerSecond: 0,
        tokenTime: 0,
      },
    },
  ],
  origin: undefined,
  limits: { headerBytes: 16_384, bodyBytes: 200_000, headerTimeout: 5_000, idleTimeout: 10_000 },
  tenants: undefined,
};

interface Engine {
  backEnd: StandInBackEnd;
  agent: SlotServer;
  address: string;
}

let forwarding: ForwardingHarness;
let client: SlotClient;
let engines: Engine[];
let held: Array<() => void>;
/** Begin each held answer with a first event. */
let begins: Array<() => void>;

/** Starts an engine that holds its answers until `answerAll` or `held`, and its agent. */
async function startEngine(): Promise<Engine> {
  const backEnd = await new StandInBackEnd((request, response, body) => {
    begins.push(() => {
      response.writeHead(200, { 'x-request': String(request.headers['x-request']), 'x-version': '1' });
      response.write(events(1, 1));
      held.push(() => response.end());
    });
    held.push(() => reply(200, events(1, 1), { 'x-version': '1' })(request, response, body));
  }).start();
  const address = await freeAddress();
  const agent = new SlotServer(address, (await createConnectionContext('agent')).context, silentLog);
  await agent.start();
  agent.observe({ isServing: true, load: 0 });
  return { backEnd, agent, address };
}

function report({ backEnd, address }: Engine, isSwitching = false, entry = forwarding): void {
  const reportedAt = performance.now();
  const switchAt = Number.POSITIVE_INFINITY;
  entry.backEnds.applyReport(backEnd.address, {
    version: 1,
    isReached: true,
    isSwitching,
    slotAddress: address,
    load: 0,
    reportedAt,
    switchAt,
  });
}

function list(entry: ForwardingHarness): void {
  const layers = { from: 0, end: 4, version: 1 };
  const listed = engines.map(({ backEnd }, index): Parameters<ForwardingHarness['list']>[0] => [
    `engine-${index}`,
    backEnd,
    { slots: SLOTS, layers },
  ]);
  entry.list(...listed);
}

function answerAll(): void {
  for (const answer of held.splice(0)) answer();
}

function requests(): number {
  return engines.reduce((sum, { backEnd }) => sum + backEnd.requests.length, 0);
}

beforeEach(async () => {
  held = [];
  begins = [];
  engines = [await startEngine(), await startEngine()];
  client = new SlotClient(
    await freeAddress(),
    (await createConnectionContext('entry')).context,
    seededRandom(3),
  );
  await client.start();
  forwarding = new ForwardingHarness('engines');
  forwarding.slots = client;
  forwarding.log = { ...silentLog };
  await forwarding.start(CONFIGURATION);
  list(forwarding);
  for (const engine of engines) report(engine);
});

afterEach(async () => {
  answerAll();
  await forwarding.stop();
  await client.stop();
  for (const { backEnd, agent } of engines) {
    await agent.stop();
    await backEnd.stop();
  }
});

it('all slots of the engines are used, and a waiting request gets the next free slot', async () => {
  const answers = Array.from({ length: 2 * SLOTS + 1 }, () => forwarding.send('/write/a'));
  await until(() => requests() === 2 * SLOTS, 'all slots to be taken');
  expect(engines.map(({ backEnd }) => backEnd.requests.length)).toEqual([SLOTS, SLOTS]);
  await until(() => forwarding.active === 2 * SLOTS + 1, 'the last request to wait');
  held.shift()?.();
  await until(() => requests() === 2 * SLOTS + 1, 'the waiting request');
  answerAll();
  expect((await Promise.all(answers)).map(({ status }) => status)).toEqual(answers.map(() => 200));
  await until(() => engines.every(({ agent }) => agent.figures.granted === 0), 'all slots to be released');
});

it('a caller that leaves releases its slot or its place in the queue', async () => {
  const left = Array.from({ length: 2 * SLOTS + 1 }, () => forwarding.openRequest('/write/a'));
  await until(() => requests() === 2 * SLOTS, 'all slots to be taken');
  for (const one of left) one.destroy();
  await until(() => engines.every(({ agent }) => agent.figures.granted === 0), 'all slots to be released');
});

it('an engine that reads slowly gets the next request once the answer before it has begun', async () => {
  // A prompt is read in 1.9 s.
  const declaredPace = { readTokensPerSecond: 1_000, tokenTime: 8 };
  for (const { agent } of engines) agent.observe({ isServing: true, load: 0, declaredPace });
  const headers = { 'x-tokens': '1900,10' };
  const answers = Array.from({ length: 3 }, () => forwarding.send('/write/a', { headers }));
  await until(() => requests() === 2, 'a request at each engine');
  expect(engines.map(({ backEnd }) => backEnd.requests.length)).toEqual([1, 1]);
  const [, ...others] = held.splice(0);
  const begunAt = performance.now();
  begins[0]();
  await until(() => requests() === 3, 'the third request');
  expect(performance.now() - begunAt).toBeLessThan(1_000);
  expect(engines.reduce((sum, { agent }) => sum + agent.figures.granted, 0)).toBe(3);
  for (const answer of others) answer();
  answerAll();
  await Promise.all(answers);
});

it('an engine whose agent does not respond is used without slots', async () => {
  for (const { agent } of engines) await agent.stop();
  const answers = Array.from({ length: 3 }, () => forwarding.send('/write/a'));
  await until(() => requests() === 3, 'requests without slots');
  answerAll();
  expect((await Promise.all(answers)).map(({ status }) => status)).toEqual([200, 200, 200]);
});

it('an engine is used without slots while its agent has just started and does not know its state', async () => {
  for (const [index, { agent, address }] of engines.entries()) {
    await agent.stop();
    engines[index].agent = new SlotServer(
      address,
      (await createConnectionContext('agent')).context,
      silentLog,
    );
    await engines[index].agent.start();
  }
  const answers = Array.from({ length: 3 }, () => forwarding.send('/write/a'));
  await until(() => requests() === 3, 'requests without slots');
  answerAll();
  expect((await Promise.all(answers)).map(({ status }) => status)).toEqual([200, 200, 200]);
});

it('agents whose answers arrive while this process is paused are not considered unresponsive', async () => {
  // With this objective a request waits for a slot for 0.6 s: long enough for the queue of an engine, shorter than
  // engines may be silent.
  const routes = CONFIGURATION.routes.map((route) => ({ ...route, objective: 1_200 }));
  const configuration = { ...CONFIGURATION, revision: 2, routes };
  forwarding.fleet.applyConfiguration({ document: Buffer.from(''), configuration });
  const taken = Array.from({ length: 2 * SLOTS }, () => forwarding.send('/write/a'));
  await until(() => requests() === 2 * SLOTS, 'all slots to be taken');
  let asked = 0;
  const ask = client.ask.bind(client);
  client.ask = (...question) => {
    const claim = ask(...question);
    // Pauses the process once both agents of a request have been asked. The pause is longer than agents may be
    // silent, and shorter than the request waits.
    if (++asked % 2 === 0) blockEventLoop(300);
    return claim;
  };
  // An agent is still asked after one unanswered request, so only the second request shows whether it is considered
  // unresponsive.
  expect((await forwarding.send('/write/a')).status).toBe(503);
  expect((await forwarding.send('/write/a')).status).toBe(503);
  expect(requests()).toBe(2 * SLOTS);
  answerAll();
  await Promise.all(taken);
});

it('a request that waits at an engine that begins to switch is served by another', async () => {
  const [first, second] = engines;
  report(second, true);
  const answers = Array.from({ length: SLOTS + 1 }, () => forwarding.send('/write/a'));
  await until(() => first.backEnd.requests.length === SLOTS, 'the slots of the first engine');
  report(second);
  report(first, true);
  first.agent.observe({ isServing: false, load: SLOTS });
  await until(() => second.backEnd.requests.length === 1, 'the waiting request at the other engine');
  answerAll();
  expect((await Promise.all(answers)).map(({ status }) => status)).toEqual(answers.map(() => 200));
});

it('a first request is not held while agents refuse it repeatedly', async () => {
  const reasons: unknown[] = [];
  forwarding.log.info = (message, fields) => {
    if (message === 'ended') reasons.push((fields as { reason?: string }).reason);
  };
  // The engines take no requests, and the entry has not been told.
  for (const { agent } of engines) agent.observe({ isServing: false, load: 0 });
  expect((await forwarding.send('/write/a')).status).toBe(503);
  // The request was refused for lack of a back end instead of waiting until its deadline.
  expect(reasons).toEqual(['no back end']);
});

it('a request for which the agents predict no slot in its time is refused at once', async () => {
  const asked: SlotAnswers[] = [];
  const reasons: unknown[] = [];
  const other = new ForwardingHarness('engines');
  other.log = {
    ...silentLog,
    info: (message, fields) => {
      if (message === 'ended') reasons.push((fields as { reason?: string }).reason);
    },
  };
  other.slots = {
    ask(_agent, _wish, answers) {
      asked.push(answers);
      return NOOP_CLAIM;
    },
  };
  await other.start(CONFIGURATION);
  list(other);
  for (const engine of engines) report(engine, false, other);
  const sent = other.send('/write/a');
  await until(() => asked.length === 2, 'both engines to be asked');
  for (const answers of asked) answers.onRefused(3_000);
  expect((await sent).status).toBe(503);
  expect(reasons).toEqual(['back ends full']);
  expect(asked).toHaveLength(2);
  await other.stop();
});

it('a slot is not used if its engine has been removed from the list in the meantime', async () => {
  const asked: SlotAnswers[] = [];
  const other = new ForwardingHarness('engines');
  other.slots = {
    ask(_agent, _wish, answers) {
      asked.push(answers);
      return NOOP_CLAIM;
    },
  };
  await other.start(CONFIGURATION);
  list(other);
  for (const engine of engines) report(engine, false, other);
  const sent = other.send('/write/a');
  await until(() => asked.length === 2, 'both engines to be asked');
  other.list();
  for (const answers of asked) answers.onGranted();
  expect((await sent).status).toBe(503);
  expect(requests()).toBe(0);
  await other.stop();
});

it('a request that gets no slot in time is refused with a retry-after header', async () => {
  // With this objective it waits for 0.2 s; the engines, which do not answer here, are not considered silent before 0.8 s.
  const routes = CONFIGURATION.routes.map((route) => ({ ...route, objective: 400 }));
  const configuration = { ...CONFIGURATION, revision: 2, routes };
  forwarding.fleet.applyConfiguration({ document: Buffer.from(''), configuration });
  const taken = Array.from({ length: 2 * SLOTS }, () => forwarding.send('/write/a'));
  await until(() => requests() === 2 * SLOTS, 'all slots to be taken');
  const refused = await forwarding.send('/write/a');
  expect(refused.status).toBe(503);
  expect(Number(refused.headers['retry-after'])).toBeGreaterThan(0);
  expect(requests()).toBe(2 * SLOTS);
  answerAll();
  await Promise.all(taken);
});
