/** Guards against cutting a stream whose back end fails while all others are full for a moment. */
import { afterEach, beforeEach, expect, it } from 'vitest';
import type { FleetConfiguration } from '../../src/fleet/configuration.js';
import { until } from '../support.js';
import { ForwardingHarness } from './forwarding-harness.js';
import { routeNamed } from './routes.js';
import { events, reply, StandInBackEnd } from './stand-in-back-end.js';

const CONFIGURATION: FleetConfiguration = {
  revision: 1,
  routes: [routeNamed('write', { isStream: true, repeatability: 'resumable', longestPause: 100 })],
  services: [{ name: 'billing', maxConnections: 0, engine: undefined }],
  origin: undefined,
  limits: { headerBytes: 16_384, bodyBytes: 200_000, headerTimeout: 5_000, idleTimeout: 10_000 },
  tenants: undefined,
};

/** Time for which the other back end is full, in milliseconds. */
const FULL_FOR = 400;
const notRun = reply(503, '', { 'x-not-run': '1' });
let one: StandInBackEnd;
let two: StandInBackEnd;
let forwarding: ForwardingHarness;

beforeEach(async () => {
  one = await new StandInBackEnd(() => {}).start();
  two = await new StandInBackEnd(() => {}).start();
  forwarding = new ForwardingHarness('billing');
  await forwarding.start(CONFIGURATION);
  forwarding.list(['one', one], ['two', two]);
});

afterEach(async () => {
  await forwarding.stop();
  await Promise.all([one.stop(), two.stop()]);
});

/** Breaks the first request after two events; further ones are refused until `isFree`, and resumed after that. */
function failFirst(isFree: () => boolean): void {
  let requests = 0;
  const script: Parameters<StandInBackEnd['answer']>[0] = (request, response, body) => {
    const isFirst = requests++ === 0;
    if (!isFirst && !isFree()) return notRun(request, response, body);
    const from = Number(request.headers['last-event-id'] ?? 0) + 1;
    const head = { 'x-request': String(request.headers['x-request']), 'content-type': 'text/event-stream' };
    response.writeHead(200, head);
    if (!isFirst) return void response.end(events(from, 6));
    response.write(events(from, 2));
    setTimeout(() => response.destroy(), 50);
  };
  one.answer(script);
  two.answer(script);
}

it('a stream whose back end fails is resumed once another one is free', async () => {
  let isFree = false;
  failFirst(() => isFree);
  setTimeout(() => {
    isFree = true;
  }, FULL_FOR);
  const answer = await forwarding.send('/write/a');
  expect(answer).toMatchObject({ status: 200, whole: true, body: events(1, 6) });
});

it('a stream whose back end fails is cut if no other one is free before its caller gives up', async () => {
  failFirst(() => false);
  const answer = await forwarding.send('/write/a');
  expect(answer).toMatchObject({ status: 200, whole: false, body: events(1, 2) });
  await until(() => forwarding.active === 0, 'the request has ended');
});

it('a stream whose back end fails is cut at once if no other one can ever resume it', async () => {
  forwarding.list(['one', one]);
  failFirst(() => true);
  expect(await forwarding.send('/write/a')).toMatchObject({ whole: false, body: events(1, 2) });
  expect(one.requests).toHaveLength(1);
});
