/** What an entry tells agents about how long a request waits, and its callers about when to come back. */
import { afterEach, beforeEach, expect, it, vi } from 'vitest';
import { STREAM_ROUTE } from '../../bench/simulation/stream-route.js';
import type { SlotAnswers, SlotRequest } from '../../src/forwarding/engine-slots.js';
import { ENGINE_CONFIGURATION, ENGINE_LAYERS } from './engine-configuration.js';
import { ForwardingHarness, NOOP_CLAIM } from './forwarding-harness.js';
import { events, reply, StandInBackEnd } from './stand-in-back-end.js';

const { objective } = STREAM_ROUTE;
/** A route to the same engines whose answers are no streams. */
const WHOLE_ROUTE = { ...STREAM_ROUTE, name: 'classify', pathPrefix: '/classify/', isStream: false };
/** Time to the first event of the engine, in milliseconds; longer than the configuration declares. */
const FIRST_EVENT = 250;
const PROMPT = { headers: { 'x-tokens': '600,100' } };

let engine: StandInBackEnd;
let forwarding: ForwardingHarness;
let asked: SlotRequest[];
let answer: (answers: SlotAnswers) => void;

beforeEach(async () => {
  asked = [];
  answer = (answers) => answers.onGranted();
  engine = await new StandInBackEnd((request, response, body) => {
    const status = Number(request.headers['x-whole-answer']);
    if (status > 0) return reply(status, 'whole')(request, response, body);
    setTimeout(() => reply(200, events(1, 1), { 'x-version': '1' })(request, response, body), FIRST_EVENT);
  }).start();
  forwarding = new ForwardingHarness('engines');
  forwarding.slots = {
    ask(_agent, request, answers) {
      asked.push(request);
      setImmediate(() => answer(answers));
      return NOOP_CLAIM;
    },
  };
  await forwarding.start({ ...ENGINE_CONFIGURATION, routes: [STREAM_ROUTE, WHOLE_ROUTE] });
  forwarding.list(['one', engine, { layers: { from: 0, end: ENGINE_LAYERS, version: 1 } }]);
  forwarding.reportEngine(engine, { version: 1, slotAddress: '127.0.0.1:1' });
});

afterEach(async () => {
  await forwarding.stop();
  await engine.stop();
});

/** Time from the arrival of a request during which a slot is in time, however long it took to ask for one. */
function longestWaitInTime({ waitedFor, inTimeFor }: SlotRequest): number {
  return waitedFor + inTimeFor;
}

it('a slot is in time as long as the observed first events allow', async () => {
  await forwarding.send('/write/', PROMPT);
  expect(longestWaitInTime(asked[0])).toBeGreaterThan(objective - FIRST_EVENT);
  await Promise.all(Array.from({ length: 8 }, () => forwarding.send('/write/', PROMPT)));
  await forwarding.send('/write/', PROMPT);
  expect(longestWaitInTime(asked.at(-1)!)).toBeLessThanOrEqual(objective - FIRST_EVENT);
});

it('a request for which agents predict no slot in its time is refused at once, until they expect one', async () => {
  answer = (answers) => answers.onRefused(900);
  const sentAt = performance.now();
  const refused = await forwarding.send('/write/');
  expect(refused.status).toBe(503);
  expect(performance.now() - sentAt).toBeLessThan(objective / 4);
  expect(Number(refused.headers['retry-after'])).toBeGreaterThanOrEqual(0.9);
  expect(engine.requests).toHaveLength(0);
});

it('a caller that is refused does not come back after its own request', async () => {
  const waits = forwarding.backEnds.waitsOf('engines');
  const waiting = vi.spyOn(waits, 'waiting');
  answer = (answers) => answers.onRefused(900);
  await forwarding.send('/write/');
  expect(waiting.mock.results.map(({ value }) => value)).toEqual([0]);
});

it('refusals are counted by reason with the age of the request, and waits by their ending', async () => {
  await forwarding.send('/write/');
  answer = (answers) => answers.onQueued();
  await forwarding.send('/write/');
  const page = await forwarding.metrics.registry.metrics();
  expect(page).toMatch(/refused_seconds_count\{role="test",reason="back ends full"\} 1/);
  expect(page).toMatch(/slot_waits\{ending="inTimeSent",role="test"\} 1/);
  expect(page).toMatch(/slot_waits\{ending="inTimeUnserved",role="test"\} 1/);
});

it.each([
  ['rejections', '/write/', 400],
  ['answers that are no streams', '/classify/', 200],
])('%s have no first event: streams are in time for as long as before', async (_kind, path, status) => {
  await forwarding.send('/write/', PROMPT);
  const whole = { headers: { ...PROMPT.headers, 'x-whole-answer': String(status) } };
  const answers = await Promise.all(Array.from({ length: 8 }, () => forwarding.send(path, whole)));
  for (const wholeAnswer of answers) expect(wholeAnswer.status).toBe(status);
  await forwarding.send('/write/', PROMPT);
  expect(asked).toHaveLength(10);
  expect(asked[9].inTimeFor).toBeGreaterThan(asked[0].inTimeFor - 20);
  expect(asked[9].inTimeFor).toBeLessThan(asked[0].inTimeFor + 20);
});
