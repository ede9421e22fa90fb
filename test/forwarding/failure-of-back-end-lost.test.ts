/** Guards against replacing the error response of a back end by an error of this system when no other back end answers. */
import { afterEach, beforeEach, expect, it } from 'vitest';
import type { FleetConfiguration } from '../../src/fleet/configuration.js';
import { ForwardingHarness } from './forwarding-harness.js';
import { routeNamed } from './routes.js';
import { reply, type Script, StandInBackEnd } from './stand-in-back-end.js';

const CONFIGURATION: FleetConfiguration = {
  revision: 1,
  routes: [routeNamed('read')],
  services: [{ name: 'billing', maxConnections: 0, engine: undefined }],
  origin: undefined,
  limits: { headerBytes: 16_384, bodyBytes: 200_000, headerTimeout: 5_000, idleTimeout: 10_000 },
  tenants: undefined,
};

let one: StandInBackEnd;
let two: StandInBackEnd;
let forwarding: ForwardingHarness;

beforeEach(async () => {
  one = await new StandInBackEnd(() => {}).start();
  two = await new StandInBackEnd(() => {}).start();
  forwarding = new ForwardingHarness('billing');
  await forwarding.start(CONFIGURATION);
});

afterEach(async () => {
  await forwarding.stop();
  await Promise.all([one.stop(), two.stop()]);
});

it.each<[string, () => void]>([
  ['is full', () => forwarding.list(['one', one], ['two', two])],
  ['does not exist', () => forwarding.list(['one', one])],
])('an error response with its body is not lost if the other back end %s', async (_name, list) => {
  let requests = 0;
  const script: Script = (...call) =>
    (requests++ === 0 ? reply(500, 'what is wrong') : reply(503, '', { 'x-not-run': '1' }))(...call);
  one.answer(script);
  two.answer(script);
  list();
  expect(await forwarding.send('/read/a')).toMatchObject({ status: 500, body: 'what is wrong' });
});
