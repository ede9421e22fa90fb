/** The log line and the metric for an answer that was cut. */
import { afterEach, beforeEach, expect, it } from 'vitest';
import type { Log } from '../../src/observability/log.js';
import { silentLog } from '../../src/observability/log.js';
import { ForwardingHarness } from './forwarding-harness.js';
import { routeNamed } from './routes.js';
import { events, StandInBackEnd } from './stand-in-back-end.js';

const CONFIGURATION = {
  revision: 1,
  routes: [routeNamed('write', { isStream: true, repeatability: 'resumable', longestPause: 100 })],
  services: [{ name: 'billing', maxConnections: 0, engine: undefined }],
  origin: undefined,
  limits: { headerBytes: 16_384, bodyBytes: 200_000, headerTimeout: 5_000, idleTimeout: 10_000 },
  tenants: undefined,
};

let backEnd: StandInBackEnd;
let forwarding: ForwardingHarness;
let lines: Array<{ message: string; fields: Record<string, unknown> }>;

beforeEach(async () => {
  lines = [];
  forwarding = new ForwardingHarness('billing');
  const log: Log = {
    ...silentLog,
    info: (message, fields) => void lines.push({ message, fields: fields as Record<string, unknown> }),
  };
  forwarding.log = log;
  backEnd = await new StandInBackEnd((request, response) => {
    response.writeHead(200, {
      'x-request': String(request.headers['x-request']),
      'content-type': 'text/event-stream',
    });
    response.write(events(1, 2));
    setTimeout(() => response.destroy(), 50);
  }).start();
  await forwarding.start(CONFIGURATION);
  forwarding.list(['one', backEnd]);
});

afterEach(async () => {
  await forwarding.stop();
  await backEnd.stop();
});

it('a cut answer is logged with its latest failure, the excluded back ends and the age of the configuration', async () => {
  const answer = await forwarding.send('/write/a');
  expect(answer.whole).toBe(false);
  const cut = lines.find(({ message }) => message === 'answer cut');
  expect(cut?.fields).toMatchObject({
    latestFailure: { backEnd: 'one', type: 'broken', reason: 'UND_ERR_SOCKET' },
    sends: 1,
    excluded: { tried: 1 },
    configuration: 1,
  });
  expect(cut?.fields.configurationAgeMs).toBeGreaterThanOrEqual(0);
  expect(await forwarding.metrics.registry.metrics()).toMatch(
    /answers_cut{[^}]*reason="UND_ERR_SOCKET"[^}]*} 1/,
  );
});
