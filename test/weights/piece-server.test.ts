/** Limits on the pieces that a process serves to others. */
import { get, type IncomingMessage } from 'node:http';
import { afterEach, beforeEach, expect, it } from 'vitest';
import { freeAddress } from '../../bench/processes/child.js';
import { digestOf } from '../../src/model/manifest.js';
import { createRequestListener, httpServer } from '../../src/server/http-server.js';
import { SMALL_BATCH } from '../../src/systems/upload-limit.js';
import { type PieceManifest, WeightsLibrary } from '../../src/weights/held-weights.js';
import { BUSY_STATUS, pieceRoutes, piecesPath } from '../../src/weights/piece-server.js';
import { until } from '../support.js';

/**
 * A batch exceeds the socket buffers of this machine, so that it stays in flight while the reader has
 * stopped.
 */
const PIECE_BYTES = 2_000_000;
const PIECES = 12;
const ALL = [...Array(PIECES).keys()];
const pieceOf = (index: number) => Buffer.alloc(PIECE_BYTES, index);

let address: string;
let server: ReturnType<typeof httpServer>;

beforeEach(async () => {
  address = await freeAddress();
  const library = new WeightsLibrary();
  const digests = ALL.map((index) => digestOf(pieceOf(index)));
  const manifest: PieceManifest = { model: 'm', version: 1, pieceBytes: PIECE_BYTES, digests };
  const held = library.open(manifest);
  for (const index of ALL) library.add(held, index, pieceOf(index));
  server = httpServer(address, createRequestListener(pieceRoutes(library)));
  await server.start();
});

afterEach(() => server.stop());

/** Requests a batch without reading the body. */
function ask(pieces: readonly number[]): Promise<IncomingMessage> {
  return new Promise((resolve, reject) => {
    get(`http://${address}${piecesPath('m', 1, pieces)}`, resolve).on('error', reject);
  });
}

it('a large batch is refused at once while the uploads in flight use the link', async () => {
  const first = await ask(ALL);
  expect(first.statusCode).toBe(200);
  expect((await ask(ALL)).statusCode).toBe(BUSY_STATUS);
  const small = await ask(ALL.slice(0, SMALL_BATCH));
  expect(small.statusCode).toBe(200);
  small.destroy();
  first.destroy();
});

it('a batch no longer counts once it has been read or aborted', async () => {
  for (const end of [
    (answer: IncomingMessage) => answer.resume(),
    (answer: IncomingMessage) => answer.destroy(),
  ]) {
    end(await ask(ALL));
    const isServed = async () => {
      const next = await ask(ALL);
      next.destroy();
      return next.statusCode === 200;
    };
    await until(isServed, 'the next batch to be served');
  }
});
