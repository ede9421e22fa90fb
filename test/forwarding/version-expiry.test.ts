/** Requests at engines whose version expires: none may begin there from then on. */
import { afterEach, beforeEach, describe, expect, it } from 'vitest';
import { until } from '../support.js';
import { ENGINE_CONFIGURATION, ENGINE_LAYERS } from './engine-configuration.js';
import { ForwardingHarness } from './forwarding-harness.js';
import { reply, type Script, StandInBackEnd } from './stand-in-back-end.js';

const LISTED = { layers: { from: 0, end: ENGINE_LAYERS, version: 1 } };
const LISTED_NEXT = { layers: { from: 0, end: ENGINE_LAYERS, version: 2 } };
const silent: Script = () => {};

let engine: StandInBackEnd;
let next: StandInBackEnd;
let forwarding: ForwardingHarness;

beforeEach(async () => {
  engine = await new StandInBackEnd(silent).start();
  next = await new StandInBackEnd(reply(200, 'served by the next', { 'x-version': '2' })).start();
  forwarding = new ForwardingHarness('engines');
  await forwarding.start(ENGINE_CONFIGURATION);
  forwarding.list(['one', engine, LISTED]);
  forwarding.tell(engine, { version: 1 });
});

afterEach(async () => {
  await forwarding.stop();
  await engine.stop();
  await next.stop();
});

describe('figures of versions that expire', () => {
  it('tell of a request that was taken back', async () => {
    forwarding.expireIn(1_000);
    const answer = forwarding.send('/write/');
    await until(() => engine.requests.length === 1, 'the request there');
    forwarding.list(['one', engine, LISTED], ['two', next, LISTED_NEXT]);
    expect(await answer).toMatchObject({ status: 200, body: 'served by the next' });
    const text = await forwarding.metrics.text();
    expect(text).toMatch(/thistleway_version_withdrawals\{[^}]*\} 1/);
    expect(text).toMatch(/thistleway_version_late_begins\{[^}]*\} 0/);
  });

  it('tell of an answer on a version that had expired, as of an engine that holds another one than it told', async () => {
    engine.answer(reply(200, 'late', { 'x-version': '1' }));
    forwarding.list(['one', engine, LISTED_NEXT]);
    forwarding.tell(engine, { version: 2 });
    forwarding.expireIn(0);
    expect((await forwarding.send('/write/')).body).toBe('late');
    expect(await forwarding.metrics.text()).toMatch(/thistleway_version_late_begins\{[^}]*\} 1/);
  });
});
