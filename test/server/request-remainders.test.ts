/**
 * Guards against a connection that is paused for good, or is reset before the caller has read its answer, when a server of this
 * system answers a request before it has read the body; and against a rest that is read without end.
 */
import { createServer, type RequestListener, type Server } from 'node:http';
import { type AddressInfo, connect, type Socket } from 'node:net';
import { setTimeout as sleep } from 'node:timers/promises';
import { afterEach, beforeEach, describe, expect, it } from 'vitest';
import { type DiscardLimits, RequestRemainders } from '../../src/server/request-remainders.js';
import { until } from '../support.js';

const LIMITS: DiscardLimits = { bytes: 1_000_000, time: 400 };
const LONG = 600_000;
const PART = Buffer.alloc(50_000, 'x');

let server: Server;
let remainders: RequestRemainders;
let socket: Socket;
let received = '';
let isReset = false;

async function serve(listener: RequestListener): Promise<void> {
  server = createServer(listener);
  remainders = new RequestRemainders(server, LIMITS);
  await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve));
  // Goes on sending after the server has ended its side.
  const { port } = server.address() as AddressInfo;
  socket = connect({ port, host: '127.0.0.1', allowHalfOpen: true });
  socket.on('data', (part) => {
    received += part;
  });
  socket.on('error', () => {
    isReset = true;
  });
}

beforeEach(() => {
  received = '';
  isReset = false;
});

afterEach(async () => {
  socket.destroy();
  server.closeAllConnections();
  await new Promise((resolve) => server.close(resolve));
});

function sendLong(size: number, sent = size): void {
  socket.write(`POST /long HTTP/1.1\r\nHost: a\r\nContent-Length: ${size}\r\n\r\n`);
  for (let from = 0; from < sent; from += PART.byteLength)
    socket.write(PART.subarray(0, Math.min(PART.byteLength, sent - from)));
}

const answers = () => received.split('HTTP/1.1 200').length - 1;

/** Answers requests for `/long` by `early`. */
function answeredBy(early: RequestListener): RequestListener {
  return (request, response) => (request.url === '/long' ? early(request, response) : response.end('next'));
}

const EARLY: Readonly<Record<string, RequestListener>> = {
  'nothing of it was read': (_request, response) => response.end('early'),
  'a part of it was read': (request, response) => {
    request.once('data', () => {
      request.pause();
      response.end('early');
    });
  },
  'its reader has stopped': (request, response) => {
    request.on('data', () => request.pause());
    setTimeout(() => response.end('early'), 50);
  },
};

describe.each(Object.entries(EARLY))('after an answer to a long request when %s,', (_name, early) => {
  it('the connection serves the next request', async () => {
    await serve(answeredBy(early));
    sendLong(LONG);
    socket.write('GET /next HTTP/1.1\r\nHost: a\r\n\r\n');
    await until(() => answers() === 2, 'the second answer');
    expect(remainders.counts).toEqual({ discarded: 1, tooLong: 0, tooSlow: 0, brokenOff: 0 });
  });

  it('a connection that is to be closed is closed without a reset, and takes no other request', async () => {
    const listener: RequestListener = (request, response) => {
      response.setHeader('connection', 'close');
      early(request, response);
    };
    await serve(answeredBy(listener));
    sendLong(LONG, LONG / 2);
    // Data that arrives after the close of a connection resets it.
    await until(() => answers() === 1, 'the answer');
    await sleep(50);
    socket.write(Buffer.alloc(LONG / 2, 'x'));
    socket.write('GET /next HTTP/1.1\r\nHost: a\r\n\r\n');
    socket.end();
    await until(() => socket.closed, 'the end of the connection');
    expect(received).toContain('early');
    expect(received).not.toContain('next');
    expect(isReset).toBe(false);
  });
});

it('a rest beyond the limit of bytes ends the connection', async () => {
  await serve(answeredBy(EARLY['nothing of it was read']));
  sendLong(3 * LIMITS.bytes);
  await until(() => socket.readableEnded || socket.closed, 'the end of the connection');
  expect(received).toContain('early');
  expect(remainders.counts.tooLong).toBe(1);
});

it('a rest that does not come within the limit of time ends the connection', async () => {
  await serve(answeredBy(EARLY['nothing of it was read']));
  sendLong(LONG, LONG / 2);
  await until(() => socket.readableEnded || socket.closed, 'the end of the connection');
  expect(received).toContain('early');
  expect(remainders.counts.tooSlow).toBe(1);
});

it('a caller that breaks off is told apart', async () => {
  await serve(answeredBy(EARLY['nothing of it was read']));
  sendLong(LONG, LONG / 2);
  await until(() => answers() === 1, 'the answer');
  socket.destroy();
  await until(() => remainders.counts.brokenOff === 1, 'the end of the rest');
});
