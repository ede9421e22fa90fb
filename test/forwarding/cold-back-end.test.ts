/** Tests that a back end that is cold after its start gets no more requests than its service declares. */
import { afterEach, beforeEach, expect, it } from 'vitest';
import { until } from '../support.js';
import { ForwardingHarness } from './forwarding-harness.js';
import { billingConfiguration, routeNamed } from './routes.js';
import { reply, StandInBackEnd } from './stand-in-back-end.js';

const RATE = 20;
const COLD_TIME = 1_500;
/** Interval at which callers send, in milliseconds. */
const INTERVAL = 10;
/** More than these requests in one second make a cold back end fail. */
const MOST_A_SECOND = 1.5 * RATE + 5;

let forwarding: ForwardingHarness;
let cold: StandInBackEnd;
let arrivals: number[];

beforeEach(async () => {
  arrivals = [];
  cold = await new StandInBackEnd((request, response, body) => {
    arrivals.push(performance.now());
    reply(200, 'done')(request, response, body);
  }).start();
  forwarding = new ForwardingHarness('billing');
  const configuration = billingConfiguration(routeNamed('bill'));
  const [service] = configuration.services;
  await forwarding.start({
    ...configuration,
    services: [{ ...service, warmUp: { rate: RATE, time: COLD_TIME } }],
  });
  forwarding.fleet.clock.addSample(performance.now(), performance.now());
});

afterEach(async () => {
  await forwarding.stop();
  await cold.stop();
});

/** Sends requests at the interval until `isOver`. */
async function sendUntil(isOver: () => boolean): Promise<void> {
  const timer = setInterval(() => void forwarding.send('/bill/').catch(() => {}), INTERVAL);
  await until(isOver, 'the end');
  clearInterval(timer);
}

const mostInSecond = () =>
  Math.max(0, ...arrivals.map((from) => arrivals.filter((at) => at >= from && at < from + 1_000).length));

it('gets requests at the declared rate until it is warm, and then all, without an answer having told so', async () => {
  const begun = performance.now();
  forwarding.list(['cold', cold, { coldLeft: COLD_TIME }]);
  await sendUntil(() => performance.now() >= begun + COLD_TIME);
  const whileCold = arrivals.filter((at) => at < begun + COLD_TIME);
  expect(whileCold.length).toBeGreaterThan(0);
  expect(mostInSecond()).toBeLessThanOrEqual(MOST_A_SECOND);
  const answers = await Promise.all(
    Array.from({ length: 2 * MOST_A_SECOND }, () => forwarding.send('/bill/')),
  );
  expect(answers.every(({ status }) => status === 200)).toBe(true);
  expect(mostInSecond()).toBeGreaterThanOrEqual(2 * MOST_A_SECOND);
});

it('gets no request while the store does not answer', async () => {
  forwarding.store.faults.down = true;
  forwarding.list(['cold', cold, { coldLeft: COLD_TIME }]);
  const statuses = await Promise.all(Array.from({ length: 5 }, () => forwarding.send('/bill/')));
  expect(statuses.map(({ status }) => status)).toEqual(Array(5).fill(503));
  expect(arrivals).toHaveLength(0);
});

it('gets requests as ever if it was there from the beginning', async () => {
  forwarding.list(['warm', cold, { coldLeft: 0 }]);
  await Promise.all(Array.from({ length: 2 * MOST_A_SECOND }, () => forwarding.send('/bill/')));
  expect(arrivals).toHaveLength(2 * MOST_A_SECOND);
});

it('counts as cold after it has crashed, until it has answered for the declared time', async () => {
  forwarding.list(['crashed', cold, { coldLeft: 0 }]);
  const { health } = forwarding.backEnds.rows.get('crashed')!;
  health.noteCrashed(performance.now());
  await sendUntil(() => !health.suspended);
  const begun = performance.now();
  await sendUntil(() => performance.now() >= begun + COLD_TIME);
  expect(mostInSecond()).toBeLessThanOrEqual(MOST_A_SECOND);
  await sendUntil(() => mostInSecond() > MOST_A_SECOND);
});

it('a request does not block the process while the time of the store is unknown', async () => {
  // An entry that starts during an outage of the store has its list from other entries.
  const other = new ForwardingHarness('billing');
  const configuration = billingConfiguration(routeNamed('bill'));
  const [service] = configuration.services;
  const warmUp = { rate: RATE, time: COLD_TIME };
  await other.start({ ...configuration, services: [{ ...service, warmUp }] });
  other.store.faults.down = true;
  other.list(['cold', cold, { coldLeft: COLD_TIME }]);
  expect((await other.send('/bill/')).status).toBe(503);
  expect(arrivals).toHaveLength(0);
  await other.stop();
});
