/** Guards against callers whose request bodies never end: what is kept of one is bounded, and the caller is told. */
import { connect } from 'node:net';
import Router from '@koa/router';
import { expect, it } from 'vitest';
import { freeAddress } from '../../bench/processes/child.js';
import { createRequestListener, httpServer, MAX_BODY_BYTES, readBody } from '../../src/server/http-server.js';
import { until } from '../support.js';

const PART = Buffer.from(`ffff\r\n${'x'.repeat(65_535)}\r\n`);

it('a body that never ends is answered with 413 once it is too long', async () => {
  const address = await freeAddress();
  const router = new Router().post('/', async (context) => {
    context.body = String((await readBody(context)).byteLength);
  });
  const server = httpServer(address, createRequestListener(router));
  await server.start();
  const [host, port] = address.split(':');
  const socket = connect(Number(port), host);
  let received = '';
  let fed = 0;
  socket.on('data', (bytes) => {
    received += bytes.toString('latin1');
  });
  socket.on('error', () => {});
  const feed = () => {
    while (!socket.destroyed && received === '' && !socket.writableNeedDrain) {
      fed += PART.byteLength;
      socket.write(PART);
    }
  };
  socket.on('drain', feed);
  socket.write(`POST / HTTP/1.1\r\nHost: ${address}\r\nTransfer-Encoding: chunked\r\n\r\n`);
  feed();
  await until(() => received.includes('\r\n\r\n'), 'the answer');
  expect(received).toMatch(/^HTTP\/1\.1 413 /);
  // What is on the way in the buffers of the connection comes on top.
  expect(fed).toBeLessThan(MAX_BODY_BYTES + 16_000_000);
  socket.destroy();
  await server.stop();
});
