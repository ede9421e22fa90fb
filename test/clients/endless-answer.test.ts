/** Guards against servers whose bytes never end: what a call keeps of an answer is bounded, and so is its work in one turn. */
import { createServer, type Server, type Socket } from 'node:net';
import { afterEach, expect, it } from 'vitest';
import { callHttp, MAX_ANSWER_BYTES } from '../../src/clients/http.js';

const PART_BYTES = 262_144;

let server: Server;
/** Bytes that the server has written beyond the head. */
let fed: number;

/** Starts a server that writes `head` and then `part` again and again; resolves with its URL. */
async function start(head: string, part: string): Promise<string> {
  fed = 0;
  const bytes = Buffer.from(part.repeat(Math.ceil(PART_BYTES / part.length)));
  const feed = (socket: Socket) => {
    socket.on('error', () => {});
    socket.write(head);
    const writeMore = () => {
      while (!socket.destroyed && !socket.writableNeedDrain) {
        fed += bytes.byteLength;
        socket.write(bytes);
      }
    };
    socket.on('drain', writeMore);
    writeMore();
  };
  server = createServer((socket) => socket.once('data', () => feed(socket)));
  await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve));
  return `http://127.0.0.1:${(server.address() as { port: number }).port}/`;
}

afterEach(() => server.close());

it.each([
  { what: 'without a length', head: 'HTTP/1.1 200 OK\r\n\r\n', part: 'x'.repeat(1_000) },
  {
    what: 'in chunks',
    head: 'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n',
    part: `ffff\r\n${'x'.repeat(65_535)}\r\n`,
  },
])('a body $what that never ends is given up once it is too long', async ({ head, part }) => {
  const url = await start(head, part);
  const answer = await callHttp({
    service: 'engine',
    method: 'GET',
    url,
    signal: AbortSignal.timeout(20_000),
    maxBytes: 1_000_000,
  });
  expect(answer).toMatchObject({ ok: false, error: { type: 'malformedAnswer', service: 'engine' } });
  // What is on the way in the buffers of the connection comes on top.
  expect(fed).toBeLessThan(16_000_000);
});

it('without a limit of its own a call keeps no more than the largest answer', async () => {
  const url = await start('HTTP/1.1 200 OK\r\n\r\n', 'x'.repeat(1_000));
  const signal = AbortSignal.timeout(20_000);
  const answer = await callHttp({ service: 'engine', method: 'GET', url, signal });
  expect(answer).toMatchObject({ ok: false, error: { type: 'malformedAnswer' } });
  expect(fed).toBeLessThan(MAX_ANSWER_BYTES + 16_000_000);
});
