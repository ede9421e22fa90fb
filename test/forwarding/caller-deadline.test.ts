/** Guards against treating callers by the deadline that they choose, which says nothing about what they were told before. */
import { afterEach, beforeEach, expect, it } from 'vitest';
import { STREAM_ROUTE } from '../../bench/simulation/stream-route.js';
import type { SlotRequest } from '../../src/forwarding/engine-slots.js';
import { ENGINE_CONFIGURATION, ENGINE_LAYERS } from './engine-configuration.js';
import { ForwardingHarness, NOOP_CLAIM } from './forwarding-harness.js';
import { reply, StandInBackEnd } from './stand-in-back-end.js';

const { timeout, objective } = STREAM_ROUTE;
/** Callers of one deployment give 5.1 to 6 s on routes of 6 s. */
const DEADLINES = [timeout, timeout - 200, 5_100];

/** Interval of a timer that does not fire while the process gets no processor, in milliseconds. */
const TICK = 5;

let engine: StandInBackEnd;
let forwarding: ForwardingHarness;
let asked: SlotRequest[];

beforeEach(async () => {
  asked = [];
  engine = await new StandInBackEnd(reply(200, 'served')).start();
  forwarding = new ForwardingHarness('engines');
  // All slots are taken for as long as the test runs.
  forwarding.slots = {
    ask(_agent, request, answers) {
      asked.push(request);
      setImmediate(() => answers.onQueued());
      return NOOP_CLAIM;
    },
  };
  await forwarding.start(ENGINE_CONFIGURATION);
  const layers = { from: 0, end: ENGINE_LAYERS, version: 1 };
  forwarding.list(['one', engine, { layers }]);
  forwarding.reportEngine(engine, { version: 1, slotAddress: '127.0.0.1:1' });
});

afterEach(async () => {
  await forwarding.stop();
  await engine.stop();
});

/** Returns the time since the call in which this process got the processor, in milliseconds; read once. */
function startRunningTime(): () => number {
  let ticks = 0;
  const timer = setInterval(() => ticks++, TICK);
  return () => {
    clearInterval(timer);
    return ticks * TICK;
  };
}

it.each(DEADLINES)(
  'a caller that gives %i ms is refused as soon as it could not be served in time',
  async (time) => {
    const elapsed = startRunningTime();
    const answer = await forwarding.send('/write/', { headers: { 'x-time-left': String(time) } });
    expect(answer.status).toBe(503);
    expect(elapsed()).toBeLessThan(objective);
  },
);

it('callers wait in the same place of the queues of agents, and as long, whatever deadline they give', async () => {
  for (const time of DEADLINES)
    await forwarding.send('/write/', { headers: { 'x-time-left': String(time) } });
  expect(asked.map(({ urgency }) => urgency)).toEqual(DEADLINES.map(() => asked[0].urgency));
  for (const { patience } of asked) expect(patience).toBeLessThan(objective);
});
