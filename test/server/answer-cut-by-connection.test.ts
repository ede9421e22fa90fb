/** A malformed request must not cut off the response in progress on the same connection. */

import type { RequestListener } from 'node:http';
import { connect, type Socket } from 'node:net';
import { afterEach, expect, it } from 'vitest';
import { freeAddress } from '../../bench/processes/child.js';
import type { Startable } from '../../src/model/startable.js';
import { httpServer } from '../../src/server/http-server.js';
import { until } from '../support.js';

const NO_REQUEST = 'this is no request\r\n\r\n';

let server: Startable;
let caller: Socket;
let received: string;
let isClosed: boolean;

/** Starts a server and opens a connection to it. */
async function open(handler: RequestListener): Promise<void> {
  const address = await freeAddress();
  server = httpServer(address, handler);
  await server.start();
  const [host, port] = address.split(':');
  received = '';
  isClosed = false;
  const opened = connect(Number(port), host);
  caller = opened;
  opened.on('data', (bytes) => {
    received += bytes.toString('latin1');
  });
  opened.on('error', () => {});
  // The connection of the previous test may close only now.
  opened.on('close', () => {
    if (opened === caller) isClosed = true;
  });
}

afterEach(async () => {
  caller.destroy();
  await server.stop();
});

it('an answer of the HTTP server is not cut by bytes that are no request', async () => {
  await open((_request, response) => {
    response.writeHead(200);
    response.write('begun');
    setTimeout(() => response.end('ended'), 200);
  });
  caller.write('GET / HTTP/1.1\r\nhost: api.example\r\n\r\n');
  await until(() => received.includes('begun'), 'the first part');
  caller.write(NO_REQUEST);
  await until(() => isClosed || received.includes('ended'), 'the end');
  expect(received).toContain('ended');
});

it('bytes that are no request are answered with 400, and their connection closes', async () => {
  await open((_request, response) => response.end());
  caller.write(NO_REQUEST);
  await until(() => isClosed, 'the end of the connection');
  expect(received).toMatch(/^HTTP\/1.1 400 Bad Request\r\n/);
});
