/** Tests that what back ends state about themselves in their answers is logged and counted. */
import { afterEach, beforeEach, expect, it } from 'vitest';
import { silentLog } from '../../src/observability/log.js';
import { ForwardingHarness } from './forwarding-harness.js';
import { billingConfiguration, routeNamed } from './routes.js';
import { reply, StandInBackEnd } from './stand-in-back-end.js';

let backEnd: StandInBackEnd;
let forwarding: ForwardingHarness;
let lines: Array<{ message: string; fields: object }>;

const linesOf = (message: string) => lines.filter((line) => line.message === message);

beforeEach(async () => {
  lines = [];
  const write = (message: string, fields: object = {}) => lines.push({ message, fields });
  backEnd = await new StandInBackEnd(reply(200, 'done')).start();
  forwarding = new ForwardingHarness('billing');
  forwarding.log = { ...silentLog, info: write, warn: write };
  await forwarding.start(billingConfiguration(routeNamed('read')));
  forwarding.list(['one', backEnd, { start: 100 }]);
});

afterEach(async () => {
  await forwarding.stop();
  await backEnd.stop();
});

it('an answer of a back end that is leaving is counted, and the first one logged', async () => {
  backEnd.answer(reply(200, 'done', { 'x-leaving': '1' }));
  await forwarding.send('/read/');
  await forwarding.send('/read/');
  expect(linesOf('back end states that it is leaving')).toEqual([
    { message: 'back end states that it is leaving', fields: { backEnd: 'one', start: 100 } },
  ]);
  const text = await forwarding.metrics.registry.metrics();
  expect(text).toMatch(/thistleway_answers_of_leaving_back_ends\{role="test"\} [12]/);
});

it.each([['0'], ['yes'], ['']])('the value %j does not state that a back end is leaving', async (value) => {
  backEnd.answer(reply(200, 'done', { 'x-leaving': value }));
  await forwarding.send('/read/');
  expect(linesOf('back end states that it is leaving')).toEqual([]);
});

it('a back-off time is counted and logged once, and a malformed one counted and logged', async () => {
  backEnd.answer(reply(503, '', { 'x-not-run': '1', 'retry-after': '600.5' }));
  await forwarding.send('/read/');
  expect(linesOf('back end backs off')).toEqual([
    { message: 'back end backs off', fields: { backEnd: 'one', start: 100, milliseconds: 600_500 } },
  ]);
  forwarding.list(['two', backEnd]);
  backEnd.answer(reply(503, '', { 'x-not-run': '1', 'retry-after': 'soon' }));
  await forwarding.send('/read/');
  expect(linesOf('back-off time malformed')[0].fields).toEqual({ backEnd: 'two', text: 'soon' });
  const text = await forwarding.metrics.registry.metrics();
  expect(text).toContain('thistleway_back_ends_backing_off{role="test"} 1');
  expect(text).toContain('thistleway_back_end_backoffs{kind="malformed",role="test"} 1');
});

it('Retry-After of an answer other than a 503 is no back-off time', async () => {
  backEnd.answer(reply(200, 'done', { 'retry-after': '2.5' }));
  await forwarding.send('/read/');
  expect(linesOf('back end backs off')).toEqual([]);
});
