/** Guards against a chunk of an allowed size that is taken for an answer that never ends. */
import { createServer } from 'node:http';
import { expect, it } from 'vitest';
import { httpOrigin } from '../../src/clients/origin.js';
import { digestOf } from '../../src/model/manifest.js';

const CHUNK = Buffer.alloc(48_000_000, 'chunk');

it('a chunk above the default limit of answers is read whole', async () => {
  const server = createServer((_request, response) => response.end(CHUNK));
  await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve));
  const { port } = server.address() as { port: number };
  const origin = httpOrigin(`http://127.0.0.1:${port}`);
  const answer = await origin.chunk(digestOf(CHUNK), AbortSignal.timeout(20_000));
  expect(answer.ok && answer.value.equals(CHUNK)).toBe(true);
  server.close();
});
