/** Guards against answering 404 or 401 to requests that a newer configuration, already in force elsewhere, allows. */
import { afterEach, beforeEach, expect, it } from 'vitest';
import type { FleetConfiguration } from '../../src/fleet/configuration.js';
import { ForwardingHarness } from './forwarding-harness.js';
import { routeNamed } from './routes.js';
import { reply, StandInBackEnd } from './stand-in-back-end.js';

const CONFIGURATION: FleetConfiguration = {
  revision: 1,
  routes: [routeNamed('read', { isPublic: false })],
  services: [{ name: 'billing', maxConnections: 0, engine: undefined }],
  origin: undefined,
  limits: { headerBytes: 16_384, bodyBytes: 200_000, headerTimeout: 5_000, idleTimeout: 10_000 },
  tenants: [{ name: 'tenant-a', keys: ['key-a'], priority: 2 }],
};
const NEWER: FleetConfiguration = {
  ...CONFIGURATION,
  revision: 2,
  routes: [...CONFIGURATION.routes, routeNamed('added')],
};

let backEnd: StandInBackEnd;
let forwarding: ForwardingHarness;

beforeEach(async () => {
  backEnd = await new StandInBackEnd(reply(200, 'answer')).start();
  forwarding = new ForwardingHarness('billing');
  await forwarding.start(CONFIGURATION);
  forwarding.list(['one', backEnd]);
});

afterEach(async () => {
  await forwarding.stop();
  await backEnd.stop();
});

const statusOf = async (path: string, key = 'key-a') =>
  (await forwarding.send(path, { headers: { 'x-key': key } })).status;

it('a request that an entry does not know gets a Retry-After while a newer configuration is in force elsewhere', async () => {
  forwarding.fleet.noteRemoteConfigurationRevision(2);
  const answer = await forwarding.send('/added/a');
  expect(answer.status).toBe(503);
  expect(Number(answer.headers['retry-after'])).toBeGreaterThan(0);
  expect(await statusOf('/read/a', 'key-b')).toBe(503);
  expect(await statusOf('/read/a')).toBe(200);
});

it('a request that no configuration allows is rejected once the newest one is known', async () => {
  forwarding.fleet.noteRemoteConfigurationRevision(2);
  forwarding.fleet.applyConfiguration({ document: Buffer.from(''), configuration: NEWER });
  forwarding.fleet.noteRemoteConfigurationRevision(1);
  expect(await statusOf('/added/a')).toBe(200);
  expect(await statusOf('/nothing/a')).toBe(404);
  expect(await statusOf('/read/a', 'key-b')).toBe(401);
});
