/** Guards against work that goes on at back ends after the caller has closed its connection, in each state of a request. */
import { connect, type Socket } from 'node:net';
import { Worker } from 'node:worker_threads';
import { afterEach, beforeEach, describe, expect, it } from 'vitest';
import type { FleetConfiguration, Route } from '../../src/fleet/configuration.js';
import { until } from '../support.js';
import { ForwardingHarness } from './forwarding-harness.js';
import { routeNamed } from './routes.js';
import { events, reply, type Script, StandInBackEnd } from './stand-in-back-end.js';

/** Time within which work for a caller that has gone must have ended, in milliseconds. */
const ENDED_WITHIN = 500;
const LONG_BODY = 180_000;
/** Number of events of 60 kB; more than all buffers on the way to the caller hold. */
const FLOOD_EVENTS = 500;

const route = (name: string, changes: Partial<Route> = {}) =>
  routeNamed(name, { timeout: 6_000, ...changes });

const CONFIGURATION: FleetConfiguration = {
  revision: 1,
  routes: [
    route('read'),
    route('write', { isStream: true, repeatability: 'resumable', objective: 2_000, longestPause: 2_000 }),
    route('brief', { isStream: true, repeatability: 'resumable', objective: 2_000, longestPause: 100 }),
  ],
  services: [{ name: 'billing', maxConnections: 0, engine: undefined }],
  origin: undefined,
  limits: { headerBytes: 16_384, bodyBytes: 400_000, headerTimeout: 5_000, idleTimeout: 10_000 },
  tenants: undefined,
};

let backEnd: StandInBackEnd;
let forwarding: ForwardingHarness;
const started: Array<() => void> = [];

beforeEach(async () => {
  backEnd = await new StandInBackEnd(() => {}).start();
  forwarding = new ForwardingHarness('billing');
  await forwarding.start(CONFIGURATION);
  forwarding.list(['one', backEnd]);
});

afterEach(async () => {
  for (const stop of started.splice(0)) stop();
  await forwarding.stop();
  await backEnd.stop();
});

/** Opens a connection of its own, as a caller does, and sends `text` on it. */
async function caller(text: string, reads = true): Promise<Socket> {
  const [host, port] = forwarding.address.split(':');
  const socket = connect({ host, port: Number(port), allowHalfOpen: true });
  socket.on('error', () => {});
  started.push(() => socket.destroy());
  await new Promise<void>((resolve) => socket.once('connect', () => resolve()));
  if (reads) socket.resume();
  else socket.pause();
  socket.write(text);
  return socket;
}

function head(method: string, path: string, more = ''): string {
  return `${method} ${path} HTTP/1.1\r\nhost: api.example\r\nx-request: gone-${started.length}\r\n${more}\r\n`;
}

/** Ways in which a caller closes its connection. */
const CLOSE_MODES: Array<[name: string, go: (socket: Socket) => void]> = [
  ['closes', (socket) => socket.destroy()],
  ['resets', (socket) => socket.resetAndDestroy()],
  ['half-closes', (socket) => socket.end()],
];

/** Closes the caller's connection, and checks that the back end's work ends within `ENDED_WITHIN`. */
async function expectEnded(go: (socket: Socket) => void, socket: Socket): Promise<void> {
  go(socket);
  const goneAt = performance.now();
  await until(() => backEnd.open === 0 && hasNoRequestInFlight(), 'the end of it');
  expect(performance.now() - goneAt).toBeLessThan(ENDED_WITHIN);
}

/** True once the forwarding server counts no request in progress at any back end. */
function hasNoRequestInFlight(): boolean {
  return [...forwarding.backEnds.rows.values()].every(({ inFlight }) => inFlight === 0);
}

const eventHead = (request: { headers: Record<string, unknown> }) => ({
  'x-request': String(request.headers['x-request']),
  'content-type': 'text/event-stream',
});

/** Writes small events at intervals, without an end. */
const trickle: Script = (request, response) => {
  response.writeHead(200, eventHead(request));
  let id = 0;
  const timer = setInterval(() => response.write(events(++id, id)), 20);
  response.on('close', () => clearInterval(timer));
};

/** Writes events as fast as they are read. */
const flood: Script = (request, response) => {
  response.writeHead(200, eventHead(request));
  let id = 0;
  const event = () => `id: ${++id}\ndata: ${'x'.repeat(60_000)}\n\n`;
  const fill = () => {
    if (response.destroyed) return;
    while (response.write(event())) if (id >= FLOOD_EVENTS) return void response.end();
    response.once('drain', fill);
  };
  fill();
};

describe.each(CLOSE_MODES)('a caller that %s', (_name, go) => {
  it('while its back end works', async () => {
    const socket = await caller(head('GET', '/read/'));
    await until(() => backEnd.requests.length === 1, 'the request');
    await expectEnded(go, socket);
  });

  it('while it reads its stream', async () => {
    backEnd.answer(trickle);
    const socket = await caller(head('GET', '/write/'));
    await new Promise((resolve) => setTimeout(resolve, 150));
    expect(socket.bytesRead).toBeGreaterThan(0);
    await expectEnded(go, socket);
  });

  it('while it does not read its stream, and all buffers are full', async () => {
    backEnd.answer(flood);
    const socket = await caller(head('GET', '/write/'), false);
    await new Promise((resolve) => setTimeout(resolve, 400));
    await expectEnded(go, socket);
  });

  it('while its body is coming', async () => {
    const socket = await caller(head('POST', '/read/', 'content-length: 5000\r\n'));
    socket.write('x'.repeat(1_000));
    await new Promise((resolve) => setTimeout(resolve, 100));
    await expectEnded(go, socket);
    expect(backEnd.requests.length).toBe(0);
    await until(() => forwarding.active === 0, 'the end of the request');
  });

  it('while its long body is on its way and the back end does not read it', async () => {
    backEnd.readsBodies = false;
    const socket = await caller(head('POST', '/read/', `content-length: ${2 * LONG_BODY}\r\n`));
    socket.write('x'.repeat(LONG_BODY));
    await until(() => backEnd.open === 1, 'the request at the back end');
    await new Promise((resolve) => setTimeout(resolve, 150));
    // A back end that does not read cannot detect the close, which comes after the data that it has not read.
    go(socket);
    const goneAt = performance.now();
    await until(hasNoRequestInFlight, 'the end of it');
    expect(performance.now() - goneAt).toBeLessThan(ENDED_WITHIN);
  });

  it('while its request waits for a connection to the back end', async () => {
    const unanswered = await listenerWithFullBacklog();
    forwarding.list(['two', { address: unanswered } as StandInBackEnd]);
    const socket = await caller(head('GET', '/read/'));
    await until(() => forwarding.active === 1, 'the request');
    await expectEnded(go, socket);
    await until(() => forwarding.active === 0, 'the end of the request');
  });

  it('while its request is held', async () => {
    forwarding.list();
    const held = CONFIGURATION.routes.map((one) => ({ ...one, objective: 400 }));
    forwarding.fleet.applyConfiguration({
      document: Buffer.from(''),
      configuration: { ...CONFIGURATION, revision: 2, routes: held },
    });
    const socket = await caller(head('GET', '/write/', 'x-time-left: 3000\r\n'));
    await until(() => forwarding.active === 1, 'the request');
    go(socket);
    await new Promise((resolve) => setTimeout(resolve, 100));
    expect(forwarding.active).toBe(0);
    forwarding.list(['one', backEnd]);
    await new Promise((resolve) => setTimeout(resolve, 200));
    expect(backEnd.requests.length).toBe(0);
  });

  it('after its request was sent to a second back end', async () => {
    const first = await new StandInBackEnd(reply(503, '', { 'x-not-run': '1' })).start();
    started.push(() => void first.stop());
    forwarding.list(['zero', first], ['one', backEnd]);
    const sockets = await Promise.all(Array.from({ length: 6 }, () => caller(head('GET', '/read/'))));
    await until(() => backEnd.requests.length === 6, 'all at the second');
    for (const socket of sockets.slice(1)) go(socket);
    await expectEnded(go, sockets[0]);
  });
});

describe('a caller that does not read for a while', () => {
  it('gets its whole stream from the first back end, which is not taken for silent meanwhile', async () => {
    backEnd.answer(flood);
    const socket = await caller(head('GET', '/brief/', 'connection: close\r\n'), false);
    await new Promise((resolve) => setTimeout(resolve, 1_500));
    const ended = new Promise((resolve) => socket.once('end', resolve));
    socket.resume();
    await ended;
    expect(socket.bytesRead).toBeGreaterThan(60_000 * FLOOD_EVENTS);
    expect(backEnd.requests.length).toBe(1);
  });
});

/** Listens and then blocks its event loop, so that connections beyond its backlog are not accepted. */
const BLOCKED_LISTENER = `
  const { parentPort } = require('node:worker_threads');
  const server = require('node:net').createServer();
  server.listen({ port: 0, host: '127.0.0.1', backlog: 1 }, () => {
    parentPort.postMessage(server.address().port);
    setImmediate(() => Atomics.wait(new Int32Array(new SharedArrayBuffer(4)), 0, 0));
  });
`;

/** Address of a listener whose backlog is full, so that new connections to it are not established. */
async function listenerWithFullBacklog(): Promise<string> {
  const worker = new Worker(BLOCKED_LISTENER, { eval: true });
  started.push(() => void worker.terminate());
  const port = await new Promise<number>((resolve) => worker.once('message', resolve));
  await new Promise((resolve) => setTimeout(resolve, 50));
  const waiting = Array.from({ length: 3 }, () => connect({ host: '127.0.0.1', port }));
  for (const socket of waiting) socket.on('error', () => {});
  started.push(() => {
    for (const socket of waiting) socket.destroy();
  });
  await new Promise((resolve) => setTimeout(resolve, 50));
  return `127.0.0.1:${port}`;
}
