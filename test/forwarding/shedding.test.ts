/** Callers are served, and back-off times kept, while back ends refuse a share of the requests at random. */
import { expect, it } from 'vitest';
import { STREAM_ROUTE } from '../../bench/simulation/stream-route.js';
import { ForwardingHarness } from './forwarding-harness.js';
import { billingConfiguration } from './routes.js';
import { type Shedding, SheddingBackEnd, sendEvenly } from './shedding-back-ends.js';

const NONE: Shedding = { share: 0, backoff: 0 };
const DURATION = 6_000;
/** Requests that a back end may get from one process during a back-off, by the users' rules. */
const ALLOWED = 2;

it.concurrent.each([
  {
    who: 'one of four',
    shedding: [{ share: 0.4, backoff: 2_000 }, NONE, NONE, NONE],
    perSecond: 33,
    served: 1,
  },
  { who: 'all of four', shedding: Array(4).fill({ share: 0.4, backoff: 1_000 }), perSecond: 10, served: 0.7 },
  {
    who: 'all of four, seldom',
    shedding: Array(4).fill({ share: 0.2, backoff: 600 }),
    perSecond: 17,
    served: 0.95,
  },
])('$who back ends shed requests', { timeout: 30_000 }, async ({ shedding, perSecond, served }) => {
  const backEnds = shedding.map((one, index) => new SheddingBackEnd(one, index + 1));
  for (const { backEnd } of backEnds) await backEnd.start();
  const forwarding = new ForwardingHarness('billing');
  const route = { ...STREAM_ROUTE, targets: [{ service: 'billing', weight: 1 }] };
  await forwarding.start(billingConfiguration(route));
  forwarding.list(
    ...backEnds.map(({ backEnd }, index): Parameters<ForwardingHarness['list']>[0] => [`b${index}`, backEnd]),
  );
  const { share } = await sendEvenly(forwarding, STREAM_ROUTE.pathPrefix, perSecond, DURATION);
  await forwarding.stop();
  for (const { backEnd } of backEnds) await backEnd.stop();
  expect(Math.max(...backEnds.map((one) => one.mostDuringBackoff))).toBeLessThanOrEqual(ALLOWED);
  expect(share).toBeGreaterThanOrEqual(served);
});
