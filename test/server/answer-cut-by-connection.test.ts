/** An answer under way on a server of this system is not cut by what else comes on its connection. */
import { connect } from 'node:net';
import { expect, it } from 'vitest';
import { freeAddress } from '../../bench/processes/child.js';
import { httpServer } from '../../src/server/http-server.js';
import { until } from '../support.js';

it('an answer of the HTTP server is not cut by bytes that are no request', async () => {
  const address = await freeAddress();
  const server = httpServer(address, (_request, response) => {
    response.writeHead(200);
    response.write('begun');
    setTimeout(() => response.end('ended'), 200);
  });
  await server.start();
  const [host, port] = address.split(':');
  const caller = connect(Number(port), host);
  let received = '';
  let isClosed = false;
  caller.on('data', (bytes) => {
    received += bytes.toString('latin1');
  });
  caller.on('error', () => {});
  caller.on('close', () => {
    isClosed = true;
  });
  caller.write('GET / HTTP/1.1\r\nhost: api.example\r\n\r\n');
  await until(() => received.includes('begun'), 'the first part');
  caller.write('this is no request\r\n\r\n');
  await until(() => isClosed || received.includes('ended'), 'the end');
  caller.destroy();
  await server.stop();
  expect(received).toContain('ended');
});

it('bytes that are no request are answered with 400, and their connection closes', async () => {
  const address = await freeAddress();
  const server = httpServer(address, (_request, response) => response.end());
  await server.start();
  const [host, port] = address.split(':');
  const caller = connect(Number(port), host);
  let received = '';
  let isClosed = false;
  caller.on('data', (bytes) => {
    received += bytes.toString('latin1');
  });
  caller.on('error', () => {});
  caller.on('close', () => {
    isClosed = true;
  });
  caller.write('this is no request\r\n\r\n');
  await until(() => isClosed, 'the end of the connection');
  await server.stop();
  expect(received).toMatch(/^HTTP\/1.1 400 Bad Request\r\n/);
});
