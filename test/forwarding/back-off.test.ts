/** Guards against requests to a back end that has refused one and asked for a back-off time. */
import { setTimeout as sleep } from 'node:timers/promises';
import { afterEach, beforeEach, expect, it } from 'vitest';
import { ForwardingHarness } from './forwarding-harness.js';
import { routeNamed } from './routes.js';
import { reply, StandInBackEnd } from './stand-in-back-end.js';

const CONFIGURATION = {
  revision: 1,
  routes: [routeNamed('read')],
  services: [{ name: 'billing', maxConnections: 0, engine: undefined }],
  origin: undefined,
  limits: { headerBytes: 16_384, bodyBytes: 200_000, headerTimeout: 5_000, idleTimeout: 10_000 },
  tenants: undefined,
};
/** Back-off time in seconds; longer than any test takes. */
const LONG_BACKOFF = '600';
/** Requests enough that each of two eligible back ends gets some of them, and the pause between them in milliseconds. */
const MANY = 30;
const PAUSE = 20;

let busy: StandInBackEnd;
let free: StandInBackEnd;
let forwarding: ForwardingHarness;

const refuse = (retryAfter: string) => reply(503, '', { 'x-not-run': '1', 'retry-after': retryAfter });

beforeEach(async () => {
  busy = await new StandInBackEnd(refuse(LONG_BACKOFF)).start();
  free = await new StandInBackEnd(reply(200, 'free')).start();
  forwarding = new ForwardingHarness('billing');
  await forwarding.start(CONFIGURATION);
});

afterEach(async () => {
  await forwarding.stop();
  await Promise.all([busy.stop(), free.stop()]);
});

it('a back end gets no request during the back-off time for which it has asked', async () => {
  forwarding.list(['one', busy]);
  await forwarding.send('/read/');
  busy.answer(reply(200, 'busy'));
  forwarding.list(['one', busy], ['two', free]);
  for (let sent = 0; sent < MANY; sent++) {
    expect(await forwarding.send('/read/')).toMatchObject({ status: 200, body: 'free' });
    await sleep(PAUSE);
  }
  expect(busy.requests).toHaveLength(1);
});
