/** Guards against counting time in which the entry was not scheduled as silence of its back ends, and sending requests twice. */
import { afterEach, beforeEach, expect, it } from 'vitest';
import { STREAM_ROUTE } from '../../bench/simulation/stream-route.js';
import type { FleetConfiguration } from '../../src/fleet/configuration.js';
import { blockEventLoop } from '../support.js';
import { ForwardingHarness } from './forwarding-harness.js';
import { events, StandInBackEnd } from './stand-in-back-end.js';

/** Longer than any silence after which a request is sent to another back end, in milliseconds. */
const STANDSTILL = 1_600;
/** Time to the answer of the back end, in milliseconds; short enough not to count as silence. */
const ANSWER_TIME = 200;

const CONFIGURATION: FleetConfiguration = {
  revision: 1,
  routes: [STREAM_ROUTE],
  services: [{ name: 'engines', maxConnections: 0, engine: undefined }],
  origin: undefined,
  limits: { headerBytes: 16_384, bodyBytes: 200_000, headerTimeout: 5_000, idleTimeout: 10_000 },
  tenants: [],
};

let forwarding: ForwardingHarness;
let backEnds: StandInBackEnd[];

beforeEach(async () => {
  const start = () =>
    new StandInBackEnd((request, response) => {
      setTimeout(() => {
        response.writeHead(200, {
          'x-request': String(request.headers['x-request']),
          'content-type': 'text/event-stream',
        });
        response.end(events(1, 3));
      }, ANSWER_TIME);
    }).start();
  backEnds = [await start(), await start()];
  forwarding = new ForwardingHarness('engines');
  await forwarding.start(CONFIGURATION);
  forwarding.list(['one', backEnds[0]], ['two', backEnds[1]]);
});

afterEach(async () => {
  await forwarding.stop();
  await Promise.all(backEnds.map((backEnd) => backEnd.stop()));
});

it('a request is sent once although its entry was stalled while the back end worked', async () => {
  const answer = forwarding.send('/write/a');
  await new Promise((resolve) => setTimeout(resolve, ANSWER_TIME / 2));
  blockEventLoop(STANDSTILL);
  expect(await answer).toMatchObject({ status: 200, body: events(1, 3), whole: true });
  expect(backEnds.flatMap(({ requests }) => requests)).toHaveLength(1);
});
