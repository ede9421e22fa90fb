/** Guards against stopping a server while requests have arrived that it has not read because its process was stalled. */
import { connect } from 'node:net';
import { expect, it } from 'vitest';
import { freeAddress } from '../../bench/processes/child.js';
import { httpServer } from '../../src/server/http-server.js';
import { blockEventLoop, until } from '../support.js';

it('a request that arrives during a standstill before the stop is answered', async () => {
  const address = await freeAddress();
  const server = httpServer(address, (_request, response) => response.end('answer'));
  await server.start();
  const [host, port] = address.split(':');
  const socket = connect(Number(port), host);
  let received = '';
  socket.on('error', () => {});
  socket.on('data', (bytes) => {
    received += bytes.toString('latin1');
  });
  const send = () => socket.write('GET / HTTP/1.1\r\nHost: a\r\n\r\n');
  send();
  await until(() => received.endsWith('answer'), 'the first answer');
  await new Promise((resolve) => setImmediate(resolve));
  send();
  blockEventLoop(300);
  await server.stop();
  await until(() => socket.closed, 'the end of the connection');
  expect(received.split('HTTP/1.1 200').length - 1).toBe(2);
});
