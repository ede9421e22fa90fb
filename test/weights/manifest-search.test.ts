/**
 * Which sources are queried for a manifest, and when: the origin accepts few connections, so not all
 * processes may query it at once.
 */
import { createServer, type RequestListener, type Server } from 'node:http';
import type { AddressInfo } from 'node:net';
import { afterEach, describe, expect, it } from 'vitest';
import { MemoryStore } from '../../emulator/store/memory-store.js';
import { failure, success } from '../../src/model/result.js';
import { type PieceManifest, WeightsLibrary } from '../../src/weights/held-weights.js';
import { findManifest, type ManifestSources } from '../../src/weights/manifest-search.js';
import type { PieceOrigin } from '../../src/weights/piece-source.js';

const VERSION = { model: 'm', version: 2 };
const MANIFEST: PieceManifest = { ...VERSION, pieceBytes: 4, digests: ['a', 'b'] };

let asked = 0;

const origin: PieceOrigin = {
  manifest: async () => {
    asked++;
    return success(MANIFEST);
  },
  piece: async () => failure({ type: 'sourceFailed', reason: 'none' }),
};

function search(changes: Partial<ManifestSources>): Promise<PieceManifest | undefined> {
  const holders: ManifestSources = {
    library: new WeightsLibrary(),
    processes: () => [],
    origin: () => undefined,
    objects: () => undefined,
    ...changes,
  };
  return findManifest(VERSION, holders, AbortSignal.timeout(10_000));
}

const servers: Server[] = [];

/** Starts a server on a free port; returns its address. */
async function serve(listener: RequestListener): Promise<string> {
  const server = createServer(listener);
  servers.push(server);
  await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve));
  return `127.0.0.1:${(server.address() as AddressInfo).port}`;
}

afterEach(() => {
  asked = 0;
  for (const server of servers.splice(0)) {
    server.closeAllConnections();
    server.close();
  }
});

describe('the search for a manifest', () => {
  it('queries the origin only when it is the turn of this process', async () => {
    let isTurn = false;
    const found = search({ origin: () => (isTurn ? origin : undefined) });
    await new Promise((resolve) => setTimeout(resolve, 300));
    expect(asked).toBe(0);
    isTurn = true;
    expect(await found).toEqual(MANIFEST);
    expect(asked).toBe(2);
  });

  // No piece matches a corrupt digest, so the version was never complete at any machine.
  it('accepts a manifest of the origin only if another answer of the origin agrees with it', async () => {
    const corrupt = { ...MANIFEST, digests: ['a', 'c'] };
    const answers = [success(corrupt), failure({ type: 'sourceFailed' as const, reason: 'broken off' })];
    const spoiling: PieceOrigin = { ...origin, manifest: async () => answers.shift() ?? success(MANIFEST) };
    expect(await search({ origin: () => spoiling })).toEqual(MANIFEST);
  });

  // The second query delayed the pieces, of which some were missing when the origin became unreachable.
  it('queries the origin for a second answer while it waits for the first', async () => {
    let answer = () => {};
    const isAskedTwice = new Promise<void>((resolve) => {
      answer = resolve;
    });
    const slow: PieceOrigin = {
      ...origin,
      manifest: async () => {
        if (++asked === 2) answer();
        await isAskedTwice;
        return success(MANIFEST);
      },
    };
    expect(await search({ origin: () => slow })).toEqual(MANIFEST);
  });

  it('queries the object store only when it is the turn of this process', async () => {
    const store = new MemoryStore();
    let isTurn = false;
    const found = search({
      objects: () => (isTurn ? store : undefined),
      origin: () => (isTurn ? origin : undefined),
    });
    await new Promise((resolve) => setTimeout(resolve, 300));
    expect(store.calls).toEqual({});
    isTurn = true;
    await found;
  });

  it('queries the next holder while others do not answer', async () => {
    // They accept connections and never answer, as frozen machines do.
    let waiting = 0;
    const silent = await Promise.all(
      Array.from({ length: 3 }, () =>
        serve((request) => {
          waiting++;
          request.once('close', () => waiting--);
        }),
      ),
    );
    let waitingThen = 0;
    const holder = await serve((_request, response) => {
      waitingThen = waiting;
      response.end(JSON.stringify(MANIFEST));
    });
    expect(await search({ processes: () => [...silent, holder] })).toEqual(MANIFEST);
    // Queried one after another, each would have used up the timeout before the next was queried.
    expect(waitingThen).toBeGreaterThan(0);
  });

  it('queries the next holder at once if one has no manifest', async () => {
    const empty = await serve((_request, response) => response.writeHead(404).end());
    const holder = await serve((_request, response) => response.end(JSON.stringify(MANIFEST)));
    expect(await search({ processes: () => [empty, holder] })).toEqual(MANIFEST);
  });
});
