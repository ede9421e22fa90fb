/** Each request that was read whole leaves a line that tells how it ended, and on which connection. */
import { connect } from 'node:net';
import { afterEach, beforeEach, expect, it } from 'vitest';
import { STREAM_ROUTE } from '../../bench/simulation/stream-route.js';
import type { Log } from '../../src/observability/log.js';
import { until } from '../support.js';
import { ForwardingHarness } from './forwarding-harness.js';
import { routeNamed } from './routes.js';
import { events, reply, StandInBackEnd } from './stand-in-back-end.js';

let backEnd: StandInBackEnd;
let forwarding: ForwardingHarness;
let lines: Array<{ message: string; fields: Record<string, unknown> }>;

const note = (message: string, fields: object = {}) => {
  lines.push({ message, fields: fields as Record<string, unknown> });
};

beforeEach(async () => {
  lines = [];
  backEnd = await new StandInBackEnd(reply(200, 'answer')).start();
  forwarding = new ForwardingHarness('billing');
  forwarding.log = { debug: () => {}, info: note, warn: note, error: note } satisfies Log;
  const targets = [{ service: 'billing', weight: 1 }];
  await forwarding.start({
    revision: 1,
    routes: [
      routeNamed('once', { repeatability: 'never', maxAttempts: 1 }),
      { ...STREAM_ROUTE, targets, maxAttempts: 1 },
    ],
    services: [{ name: 'billing', maxConnections: 0, engine: undefined }],
    origin: undefined,
    limits: { headerBytes: 16_384, bodyBytes: 200_000, headerTimeout: 5_000, idleTimeout: 10_000 },
    tenants: undefined,
  });
  forwarding.list(['one', backEnd]);
});

afterEach(async () => {
  await forwarding.stop();
  await backEnd.stop();
});

/** Sends a request on a connection of its own, and optionally leaves; resolves with the only line that tells its end. */
async function endingOf(path: string, leaves = false): Promise<string> {
  const endings = ['served', 'failure passed on', 'ended', 'answer cut', 'caller left'];
  const [host, port] = forwarding.address.split(':');
  const socket = connect(Number(port), host);
  socket.on('error', () => {});
  socket.on('data', () => {});
  await new Promise((resolve) => socket.once('connect', resolve));
  const connection = `${socket.localAddress}:${socket.localPort}`;
  socket.write(`GET ${path} HTTP/1.1\r\nHost: api.example\r\nx-request: a\r\nx-key: key-a\r\n\r\n`);
  const found = () =>
    lines.filter(({ message, fields }) => endings.includes(message) && fields.connection === connection);
  if (leaves) {
    await until(() => backEnd.requests.length === 1, 'the request at its back end');
    socket.destroy();
  }
  await until(() => found().length > 0, 'the line of the request');
  socket.destroy();
  expect(found()).toHaveLength(1);
  expect(found()[0].fields.request).toBe('a');
  return found()[0].message;
}

it('the answer of a back end', async () => {
  expect(await endingOf('/once/a')).toBe('served');
});

it('a failure of a back end', async () => {
  backEnd.answer(reply(500, 'failed'));
  expect(await endingOf('/once/a')).toBe('failure passed on');
});

it('an error of this system', async () => {
  expect(await endingOf('/none/a')).toBe('ended');
});

it('an answer that breaks', async () => {
  backEnd.answer((request, response) => {
    const headers = {
      'x-request': String(request.headers['x-request']),
      'content-type': 'text/event-stream',
    };
    response.writeHead(200, headers);
    response.write(events(1, 1));
    setTimeout(() => response.destroy(), 50);
  });
  expect(await endingOf('/write/a')).toBe('answer cut');
});

it('a caller that leaves', async () => {
  backEnd.answer(() => {});
  expect(await endingOf('/once/a', true)).toBe('caller left');
});
