/** Tests kept connections that die without being closed or reset while new connections to the back end work. */
import { afterEach, beforeEach, describe, expect, it } from 'vitest';
import type { FleetConfiguration } from '../../src/fleet/configuration.js';
import { SilentProxy } from '../silent-proxy.js';
import { until } from '../support.js';
import { type Answer, ForwardingHarness } from './forwarding-harness.js';
import { routeNamed } from './routes.js';
import { reply, StandInBackEnd } from './stand-in-back-end.js';

/** Interval of the requests that keep the back end busy, in milliseconds. */
const BUSY_INTERVAL = 40;
/** Time within which a request on a silent connection must be answered, in milliseconds. */
const DETECTION_TIME = 1_500;

const CONFIGURATION: FleetConfiguration = {
  revision: 1,
  routes: [routeNamed('read'), routeNamed('start', { repeatability: 'never', timeout: 700 })],
  services: [{ name: 'billing', maxConnections: 0, engine: undefined }],
  origin: undefined,
  limits: { headerBytes: 16_384, bodyBytes: 200_000, headerTimeout: 5_000, idleTimeout: 10_000 },
  tenants: undefined,
};

let backEnd: StandInBackEnd;
let proxy: SilentProxy;
let forwarding: ForwardingHarness;
const answer = reply(200, 'whole');

beforeEach(async () => {
  backEnd = await new StandInBackEnd(answer).start();
  proxy = await new SilentProxy(backEnd.address).start();
  forwarding = new ForwardingHarness('billing');
  await forwarding.start(CONFIGURATION);
  forwarding.list(['one', backEnd, { address: proxy.address, slots: 16 }]);
});

afterEach(async () => {
  await forwarding.stop();
  await Promise.all([proxy.stop(), backEnd.stop()]);
});

/** Opens `count` connections and leaves them idle. */
async function keepConnections(count: number): Promise<void> {
  backEnd.answer((request, response, body) => setTimeout(() => answer(request, response, body), 80));
  await Promise.all(Array.from({ length: count }, () => forwarding.send('/read/')));
  expect(proxy.open).toBe(count);
  backEnd.answer(answer);
}

/** Returns the answer and the time it took, in milliseconds. */
async function timed(answering: Promise<Answer>): Promise<{ answer: Answer; took: number }> {
  const sentAt = performance.now();
  return { answer: await answering, took: performance.now() - sentAt };
}

describe('a kept connection that has gone silent', () => {
  it('is abandoned if the back end answers requests that were sent later', async () => {
    await keepConnections(1);
    proxy.silence();
    const waiting = timed(forwarding.send('/read/'));
    let isOver = false;
    void waiting.then(() => {
      isOver = true;
    });
    while (!isOver) {
      await new Promise((resolve) => setTimeout(resolve, BUSY_INTERVAL));
      await forwarding.send('/read/');
    }
    const { answer: got, took } = await waiting;
    expect(got).toMatchObject({ status: 200, body: 'whole' });
    expect(took).toBeLessThan(DETECTION_TIME);
  });

  it('does not exclude the back end: the request is sent there again on a new connection', async () => {
    await keepConnections(1);
    proxy.silence();
    const { answer: got, took } = await timed(forwarding.send('/read/'));
    expect(got).toMatchObject({ status: 200, body: 'whole' });
    expect(took).toBeLessThan(DETECTION_TIME);
  });

  it('makes the other connections that were idle at that time suspect, and none of them is used again', async () => {
    await keepConnections(6);
    proxy.silence();
    expect((await forwarding.send('/read/')).status).toBe(200);
    const afterwards = await Promise.all(Array.from({ length: 5 }, () => timed(forwarding.send('/read/'))));
    for (const { answer: got, took } of afterwards) {
      expect(got.status).toBe(200);
      expect(took).toBeLessThan(DETECTION_TIME / 4);
    }
  });

  it('is not used again after a non-repeatable request has timed out on it, and neither are the others', async () => {
    await keepConnections(4);
    proxy.silence();
    expect((await forwarding.send('/start/')).status).toBe(504);
    for (let count = 0; count < 4; count++) expect((await forwarding.send('/start/')).status).toBe(200);
    expect(backEnd.requests.filter(({ url }) => url === '/start/').length).toBe(4);
  });
});

describe('a suspended back end', () => {
  it('is probed again if the caller of the probing request leaves', async () => {
    backEnd.answer(() => {});
    const silences = Array.from({ length: 3 }, () => forwarding.send('/read/').catch(() => undefined));
    await Promise.all(silences);
    await until(
      () => forwarding.backEnds.rows.get('one')!.health.admits(performance.now(), true),
      'the end of the suspension',
    );
    const seen = backEnd.requests.length;
    const trial = forwarding.openRequest('/read/');
    await until(() => backEnd.requests.length > seen, 'the probe to reach the back end');
    trial.destroy();
    await until(() => forwarding.backEnds.rows.get('one')!.inFlight === 0, 'the probe to end');
    backEnd.answer(answer);
    expect((await forwarding.send('/read/')).status).toBe(200);
  });
});
