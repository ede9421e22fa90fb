/**
 * Guards against cutting an answer in progress because of something else on its connection: bytes that are no valid request,
 * or a server that stops accepting connections.
 */
import { connect, type Socket } from 'node:net';
import { afterEach, beforeEach, describe, expect, it } from 'vitest';
import type { FleetConfiguration } from '../../src/fleet/configuration.js';
import { blockEventLoop, until } from '../support.js';
import { ForwardingHarness } from './forwarding-harness.js';
import { routeNamed } from './routes.js';
import { events, reply, type Script, StandInBackEnd } from './stand-in-back-end.js';

const EVENTS = 10;
/** Time between two events, in milliseconds. */
const INTERVAL = 30;
/** Time within which work for a caller that has gone must have ended, in milliseconds. */
const ENDED_WITHIN = 500;
/** Number of answers that fills all buffers on the way to the caller. */
const ANSWERS = 120;
const ANSWER_BYTES = 60_000;
const NO_REQUEST = 'this is no request\r\n\r\n';

const CONFIGURATION: FleetConfiguration = {
  revision: 1,
  routes: [
    routeNamed('write', {
      isStream: true,
      repeatability: 'resumable',
      timeout: 20_000,
      objective: 2_000,
      longestPause: 2_000,
    }),
  ],
  services: [{ name: 'billing', maxConnections: 0, engine: undefined }],
  origin: undefined,
  limits: { headerBytes: 16_384, bodyBytes: 200_000, headerTimeout: 5_000, idleTimeout: 10_000 },
  tenants: undefined,
};

/** Number of connections that are opened at once. */
const CONNECTIONS = 20;
let backEnd: StandInBackEnd;
let forwarding: ForwardingHarness;
let caller: Socket;
let received: string;
let isClosed: boolean;

const head = (request: { headers: Record<string, unknown> }) => ({
  'x-request': String(request.headers['x-request']),
  'content-type': 'text/event-stream',
});

/** Writes `EVENTS` events at intervals. */
const stream: Script = (request, response) => {
  response.writeHead(200, head(request));
  let id = 0;
  const timer = setInterval(() => {
    id++;
    response.write(events(id, id));
    if (id === EVENTS) response.end();
  }, INTERVAL);
  response.on('close', () => clearInterval(timer));
};

/** Writes one event and leaves the answer open. */
const beginning: Script = (request, response) => {
  response.writeHead(200, head(request));
  response.write(events(1, 1));
};

beforeEach(async () => {
  backEnd = await new StandInBackEnd(stream).start();
  forwarding = new ForwardingHarness('billing');
  await forwarding.start(CONFIGURATION);
  forwarding.list(['one', backEnd]);
  const [host, port] = forwarding.address.split(':');
  const opened = connect({ host, port: Number(port), allowHalfOpen: true });
  caller = opened;
  received = '';
  isClosed = false;
  opened.on('data', (bytes) => {
    received += bytes.toString('latin1');
  });
  opened.on('error', () => {});
  // The connection of the previous test may close only now.
  opened.on('close', () => {
    if (opened === caller) isClosed = true;
  });
  opened.on('end', () => opened.end());
  await new Promise<void>((resolve) => opened.once('connect', resolve));
});

afterEach(async () => {
  caller.destroy();
  await forwarding.stop();
  await backEnd.stop();
});

function request(id: string, more = ''): string {
  return `GET /write/a HTTP/1.1\r\nhost: api.example\r\nx-request: ${id}\r\n${more}\r\n`;
}

/** Number of complete streams that the caller has received. */
const wholeStreams = () => received.split('\r\n0\r\n\r\n').length - 1;

async function untilBegun(): Promise<void> {
  await until(() => received.includes('id: 1\n'), 'the first event');
}

async function expectClosedSoon(): Promise<void> {
  const from = performance.now();
  await until(() => isClosed, 'the end of the connection');
  expect(performance.now() - from).toBeLessThan(ENDED_WITHIN);
}

describe('a stream in progress', () => {
  it('is not cut if bytes that are no valid request follow its request', async () => {
    caller.write(request('r1'));
    await untilBegun();
    caller.write(NO_REQUEST);
    await until(() => isClosed, 'the end of the connection');
    expect(received).toContain(`id: ${EVENTS}\n`);
    expect(wholeStreams()).toBe(1);
  });

  it('is not cut if they arrive with its request, and has a Connection: close header then', async () => {
    caller.write(`${request('r1')}${NO_REQUEST}`);
    await until(() => isClosed, 'the end of the connection');
    expect(received.toLowerCase()).toContain('connection: close');
    expect(wholeStreams()).toBe(1);
  });

  it('is not cut if they arrive repeatedly', async () => {
    caller.write(request('r1'));
    await untilBegun();
    for (let count = 0; count < 5; count++) {
      caller.write(NO_REQUEST);
      await new Promise((resolve) => setTimeout(resolve, 10));
    }
    await until(() => isClosed, 'the end of the connection');
    expect(wholeStreams()).toBe(1);
  });

  it('is not cut, nor is the next one, if they follow two pipelined requests', async () => {
    caller.write(request('r1'));
    await untilBegun();
    caller.write(`${request('r2')}${NO_REQUEST}`);
    await until(() => isClosed, 'the end of the connection');
    expect(wholeStreams()).toBe(2);
  });

  it('is not cut if the head of the next request is too long', async () => {
    caller.write(request('r1'));
    await untilBegun();
    caller.write(request('r2', `x-long: ${'x'.repeat(80_000)}\r\n`));
    await until(() => isClosed, 'the end of the connection');
    expect(wholeStreams()).toBe(1);
  });

  it('is not cut if the body of the next request is malformed', async () => {
    caller.write(request('r1'));
    await untilBegun();
    caller.write(`${request('r2', 'transfer-encoding: chunked\r\n')}no length\r\n`);
    await until(() => isClosed, 'the end of the connection');
    expect(wholeStreams()).toBe(1);
    await until(() => forwarding.active === 0, 'the end of both requests');
  });

  it.each<[string, (socket: Socket) => void]>([
    ['closes', (socket) => socket.destroy()],
    ['resets', (socket) => socket.resetAndDestroy()],
    ['half-closes', (socket) => socket.end()],
  ])('ends if its caller has sent them and %s', async (_name, go) => {
    backEnd.answer(beginning);
    caller.write(request('r1'));
    await untilBegun();
    caller.write(NO_REQUEST);
    await new Promise((resolve) => setTimeout(resolve, 50));
    expect(backEnd.open).toBe(1);
    go(caller);
    const goneAt = performance.now();
    await until(() => backEnd.open === 0 && forwarding.active === 0, 'the end of it');
    expect(performance.now() - goneAt).toBeLessThan(ENDED_WITHIN);
  });
});

describe('a connection without an answer in progress', () => {
  it('closes after bytes that are no valid request', async () => {
    caller.write(request('r1'));
    await until(() => wholeStreams() === 1, 'the stream');
    caller.write(NO_REQUEST);
    await expectClosedSoon();
  });

  it('closes after a malformed body', async () => {
    caller.write(`${request('r1', 'transfer-encoding: chunked\r\n')}no length\r\n`);
    await expectClosedSoon();
    expect(backEnd.requests).toHaveLength(0);
  });
});

describe('an answer that has not been flushed', () => {
  it('is not cut when the server stops accepting connections', async () => {
    backEnd.answer(reply(200, 'x'.repeat(ANSWER_BYTES)));
    forwarding.list(['one', backEnd, { slots: ANSWERS }]);
    let bytes = 0;
    caller.pause();
    caller.removeAllListeners('data');
    caller.write(Array.from({ length: ANSWERS }, (_, index) => request(`r${index}`)).join(''));
    await until(() => backEnd.requests.length === ANSWERS && forwarding.active === 0, 'the last answer');
    await forwarding.close();
    caller.on('data', (part) => {
      bytes += part.byteLength;
    });
    caller.resume();
    await until(() => isClosed, 'the end of the connection');
    expect(bytes).toBeGreaterThan(ANSWERS * ANSWER_BYTES);
    expect(forwarding.isDrained).toBe(true);
  });
});

describe('a connection that has just been opened', () => {
  it('has its request answered if the server stops accepting connections right after a stall of the process', async () => {
    backEnd.answer(reply(200, 'whole'));
    forwarding.list(['one', backEnd, { slots: CONNECTIONS }]);
    const [host, port] = forwarding.address.split(':');
    const outcomes = Array.from({ length: CONNECTIONS }, (_, index) => {
      const socket = connect(Number(port), host);
      socket.write(request(`new-${index}`));
      return new Promise<string>((resolve) => {
        let got = '';
        socket.on('data', (part) => {
          got += part.toString('latin1');
        });
        socket.on('error', () => {});
        socket.on('close', () => resolve(got));
      });
    });
    await new Promise((resolve) => setTimeout(resolve, 0));
    blockEventLoop(100);
    await forwarding.close();
    for (const got of await Promise.all(outcomes)) expect(got).toMatch(/^HTTP\/1.1 200 /);
  });
});
