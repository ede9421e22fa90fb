/** Guards against sending a request on what was known before its connection took long to open. */
import { afterEach, beforeEach, expect, it, vi } from 'vitest';
import { STREAM_ROUTE } from '../../bench/simulation/stream-route.js';
import type { FleetConfiguration } from '../../src/fleet/configuration.js';
import { BackEndConnection } from '../../src/forwarding/back-end-connection.js';
import { blockEventLoop } from '../support.js';
import { ForwardingHarness, NAMES } from './forwarding-harness.js';
import { events, reply, StandInBackEnd } from './stand-in-back-end.js';

const STANDSTILL = 1_600;
const CONFIGURATION: FleetConfiguration = {
  revision: 1,
  routes: [STREAM_ROUTE],
  services: [{ name: 'engines', maxConnections: 0, engine: undefined }],
  origin: undefined,
  limits: { headerBytes: 16_384, bodyBytes: 200_000, headerTimeout: 5_000, idleTimeout: 10_000 },
  tenants: [],
};

let forwarding: ForwardingHarness;
let backEnd: StandInBackEnd;

beforeEach(async () => {
  backEnd = await new StandInBackEnd(
    reply(200, events(1, 3), { 'content-type': 'text/event-stream' }),
  ).start();
  forwarding = new ForwardingHarness('engines');
  await forwarding.start(CONFIGURATION);
  forwarding.list(['one', backEnd]);
});

afterEach(async () => {
  vi.restoreAllMocks();
  await forwarding.stop();
  await backEnd.stop();
});

// The back end was given the time that was left before the entry stood still, and worked for a caller that had gone.
it('a request whose entry stood still while its connection opened is sent with the time that is left then', async () => {
  const dispatch = BackEndConnection.prototype.dispatch;
  const timesLeft: number[] = [];
  vi.spyOn(BackEndConnection.prototype, 'dispatch').mockImplementation(function (
    this: BackEndConnection,
    options,
    handler,
  ) {
    const headers = options.headers as string[];
    timesLeft.push(Number(headers[headers.indexOf(NAMES.timeLeft) + 1]));
    // The connection is being opened when the next turn of the event loop begins.
    if (timesLeft.length === 1) setImmediate(() => blockEventLoop(STANDSTILL));
    return dispatch.call(this, options, handler);
  });
  expect(await forwarding.send('/write/a')).toMatchObject({ status: 200, body: events(1, 3), whole: true });
  expect(backEnd.requests).toHaveLength(1);
  const received = Number(backEnd.requests[0].headers[NAMES.timeLeft]);
  expect(received).toBeLessThanOrEqual(timesLeft[0] - STANDSTILL);
});
