/** Kept connections to back ends that go silent for good, without a reset, while new ones work. */
import { afterEach, beforeEach, describe, expect, it } from 'vitest';
import type { FleetConfiguration } from '../../src/fleet/configuration.js';
import { SilentProxy } from '../silent-proxy.js';
import { until } from '../support.js';
import { type Answer, ForwardingHarness } from './forwarding-harness.js';
import { routeNamed } from './routes.js';
import { reply, StandInBackEnd } from './stand-in-back-end.js';

/** Time between two requests that keep the back end busy, in milliseconds. */
const BUSY_INTERVAL = 40;
/** A request whose connection is silent must have its answer after this at the latest, in milliseconds. */
const NOTICED_WITHIN = 1_500;

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

/** Leaves `count` kept connections behind. */
async function keepConnections(count: number): Promise<void> {
  backEnd.answer((request, response, body) => setTimeout(() => answer(request, response, body), 80));
  await Promise.all(Array.from({ length: count }, () => forwarding.send('/read/')));
  expect(proxy.open).toBe(count);
  backEnd.answer(answer);
}

/** Time until the answer, in milliseconds, with the answer. */
async function timed(answering: Promise<Answer>): Promise<{ answer: Answer; took: number }> {
  const sentAt = performance.now();
  return { answer: await answering, took: performance.now() - sentAt };
}

describe('a kept connection that went silent', () => {
  it('is given up where the back end answers requests that were sent later', async () => {
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
    expect(took).toBeLessThan(NOTICED_WITHIN);
  });

  it('costs a request no back end: the same one is asked on a new connection', async () => {
    await keepConnections(1);
    proxy.silence();
    const { answer: got, took } = await timed(forwarding.send('/read/'));
    expect(got).toMatchObject({ status: 200, body: 'whole' });
    expect(took).toBeLessThan(NOTICED_WITHIN);
  });

  it('makes the others suspect that were idle meanwhile: none of them is used again', async () => {
    await keepConnections(6);
    proxy.silence();
    expect((await forwarding.send('/read/')).status).toBe(200);
    const afterwards = await Promise.all(Array.from({ length: 5 }, () => timed(forwarding.send('/read/'))));
    for (const { answer: got, took } of afterwards) {
      expect(got.status).toBe(200);
      expect(took).toBeLessThan(NOTICED_WITHIN / 4);
    }
  });

  it('is not used again after a request that may run once only has timed out on it, nor are the others', async () => {
    await keepConnections(4);
    proxy.silence();
    expect((await forwarding.send('/start/')).status).toBe(504);
    for (let count = 0; count < 4; count++) expect((await forwarding.send('/start/')).status).toBe(200);
    expect(backEnd.requests.filter(({ url }) => url === '/start/').length).toBe(4);
  });
});

describe('a back end that is left out', () => {
  it('is tried again after the request that tried it was left by its caller', async () => {
    backEnd.answer(() => {});
    const silences = Array.from({ length: 3 }, () => forwarding.send('/read/').catch(() => undefined));
    await Promise.all(silences);
    await until(
      () => forwarding.backEnds.rows.get('one')!.health.admits(performance.now(), true),
      'the trial',
    );
    const seen = backEnd.requests.length;
    const trial = forwarding.openRequest('/read/');
    await until(() => backEnd.requests.length > seen, 'the trial reaches the back end');
    trial.destroy();
    await until(() => forwarding.backEnds.rows.get('one')!.inFlight === 0, 'the trial has ended');
    backEnd.answer(answer);
    expect((await forwarding.send('/read/')).status).toBe(200);
  });
});
