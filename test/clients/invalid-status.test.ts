/** Guards against taking an answer for a success, or for one at all, whose status is none of HTTP. */
import { type AddressInfo, createServer, type Server } from 'node:net';
import { afterEach, beforeEach, expect, it } from 'vitest';
import { callHttp } from '../../src/clients/http.js';

const STATUSES = ['000', '001', '099', '101', '600', '700', '999', '20', '2000', '-20', '2x0'];
const BODIES = [
  'content-length: 2\r\n\r\n{}',
  'content-length: 0\r\n\r\n',
  'transfer-encoding: chunked\r\n\r\n2\r\n{}\r\n0\r\n\r\n',
];
/** In milliseconds; a call that ends only with it has taken the answer for an interim one. */
const CALL_TIMEOUT = 2_000;

let server: Server;
let answer: string;

beforeEach(async () => {
  server = createServer((socket) => {
    socket.on('error', () => {});
    socket.on('data', () => socket.write(answer));
  });
  await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve));
});
afterEach(() => {
  server.close();
});

it.each(STATUSES.flatMap((status) => BODIES.map((body) => ({ status, body }))))(
  'a call answered with status $status fails at once ($body)',
  async ({ status, body }) => {
    answer = `HTTP/1.1 ${status} X\r\n${body}`;
    const url = `http://127.0.0.1:${(server.address() as AddressInfo).port}/a`;
    const signal = AbortSignal.timeout(CALL_TIMEOUT);
    for (const method of ['GET', 'POST'] as const) {
      const result = await callHttp({ service: 'store', method, url, signal });
      expect(result.ok).toBe(false);
    }
    expect(signal.aborted).toBe(false);
  },
);
