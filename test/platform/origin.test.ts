/** The platform's origin of weights accepts few connections from all processes together. */
import { createServer, type Server } from 'node:http';
import type { AddressInfo } from 'node:net';
import { afterEach, expect, it } from 'vitest';
import { platformOrigin } from '../../platform/origin.js';

const VERSION = { model: 'm', version: 2 };
const MANIFEST = { ...VERSION, pieceBytes: 4, digests: ['a', 'b'] };

let server: Server | undefined;

afterEach(() => {
  server?.closeAllConnections();
  server?.close();
});

it('a client of the origin keeps no connection open', async () => {
  const connectionHeaders: Array<string | undefined> = [];
  server = createServer((request, response) => {
    connectionHeaders.push(request.headers.connection);
    response.end(JSON.stringify({ chunk_bytes: 4, digests: ['a', 'b'] }));
  });
  await new Promise<void>((resolve) => server!.listen(0, '127.0.0.1', resolve));
  const client = platformOrigin(`127.0.0.1:${(server.address() as AddressInfo).port}`);
  expect(await client.manifest(VERSION, AbortSignal.timeout(5_000))).toEqual({ ok: true, value: MANIFEST });
  await client.piece(VERSION, 0, AbortSignal.timeout(5_000));
  expect(connectionHeaders).toEqual(['close', 'close']);
});
