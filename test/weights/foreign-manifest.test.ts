/** Manifests from other processes: malformed ones are ignored. */
import { createServer, type Server } from 'node:http';
import type { AddressInfo } from 'node:net';
import { afterEach, beforeEach, describe, expect, it } from 'vitest';
import { MemoryStore } from '../../emulator/store/memory-store.js';
import { fetchManifest, fetchStoredManifest, storedManifestKey } from '../../src/weights/piece-sources.js';

const VERSION = { model: 'm', version: 2 };
const SOUND = { ...VERSION, pieceBytes: 4, digests: ['ab', 'cd'] };
const BAD = [
  '',
  'null',
  '[]',
  '{',
  JSON.stringify(VERSION),
  JSON.stringify({ ...SOUND, model: 'other' }),
  JSON.stringify({ ...SOUND, version: 3 }),
  JSON.stringify({ ...SOUND, pieceBytes: 0 }),
  JSON.stringify({ ...SOUND, pieceBytes: '4' }),
  JSON.stringify({ ...SOUND, digests: 'ab' }),
  JSON.stringify({ ...SOUND, digests: [] }),
  JSON.stringify({ ...SOUND, digests: ['ab', 4] }),
];

let server: Server;
let address: string;
let body = '';

const signal = () => AbortSignal.timeout(5_000);

beforeEach(async () => {
  server = createServer((_request, response) => response.end(body));
  await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve));
  address = `127.0.0.1:${(server.address() as AddressInfo).port}`;
});

afterEach(() => {
  server.closeAllConnections();
  server.close();
});

describe('a manifest', () => {
  it('is read from the object store and from another process', async () => {
    body = JSON.stringify(SOUND);
    const store = new MemoryStore();
    await store.put(storedManifestKey(VERSION), Buffer.from(body), signal());
    expect(await fetchStoredManifest(store, VERSION, signal())).toEqual(SOUND);
    expect(await fetchManifest(address, VERSION, signal())).toEqual({ ok: true, value: SOUND });
  });

  for (const text of BAD) {
    it(`is rejected: ${text}`, async () => {
      body = text;
      const store = new MemoryStore();
      await store.put(storedManifestKey(VERSION), Buffer.from(text), signal());
      expect(await fetchStoredManifest(store, VERSION, signal())).toBeUndefined();
      expect(await fetchManifest(address, VERSION, signal())).toMatchObject({ ok: false });
    });
  }
});
