import { createServer } from 'node:http';
import { afterEach, expect, it } from 'vitest';
import { WebSocketServer } from 'ws';
import { freeAddress } from '../../bench/processes/child.js';
import { listen } from '../../src/server/listen.js';

const server = createServer();
afterEach(() => void server.close());

it('a connection that cannot be accepted ends no process', async () => {
  const sockets = new WebSocketServer({ server });
  sockets.on('error', () => {});
  await listen(server, await freeAddress());
  // As the runtime reports it: an event that nobody listens to would be thrown.
  expect(server.emit('error', Object.assign(new Error('accept EMFILE'), { code: 'EMFILE' }))).toBe(true);
});

it('an address that is taken is an error of the start', async () => {
  const address = await freeAddress();
  await listen(server, address);
  await expect(listen(createServer(), address)).rejects.toThrow('EADDRINUSE');
});
