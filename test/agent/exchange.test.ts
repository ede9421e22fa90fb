import { afterEach, describe, expect, it } from 'vitest';
import { ChunkStore } from '../../src/agent/chunk-store.js';
import { Exchange } from '../../src/agent/exchange.js';
import type { Origin } from '../../src/clients/origin.js';
import { buildManifest, type Manifest, versionOf } from '../../src/model/manifest.js';
import { failure, success } from '../../src/model/result.js';
import { silentLog } from '../../src/observability/log.js';
import type { Timeline } from '../../src/observability/timeline.js';
import { type Connection, ConnectionListener, connect } from '../../src/protocol/connection.js';
import { type Assignment, type Message, transferKeyOf } from '../../src/protocol/messages.js';
import type { PeerInfo } from '../../src/systems/distribution/transfer.js';
import { createConnectionContext, until } from '../support.js';

const CHUNK_BYTES = 1_000;
const WEIGHTS = Buffer.from(
  Array.from({ length: 8 * CHUNK_BYTES }, (_, index) => (index * 7 + (index >> 8)) & 0xff),
);
const MANIFEST = buildManifest(WEIGHTS, CHUNK_BYTES);
const VERSION = versionOf(MANIFEST);
const KEY = transferKeyOf(VERSION);

interface TestAgent {
  exchange: Exchange;
  store: ChunkStore;
  info: PeerInfo;
  timeline: Timeline;
  completed: string[];
  toCoordinator: Message[];
}

const running: Array<{ stop(): Promise<void> }> = [];

afterEach(async () => {
  for (const part of running.splice(0)) await part.stop();
});

function assignment(version = VERSION, places = ['place-a'], priority = 0): Assignment {
  return {
    deployment: 'd',
    tenant: 't',
    model: 'm',
    version,
    places,
    priority,
    objective: 'fastest',
    revision: 1,
  };
}

/** An origin that has the weights; `tamper` may modify the chunks it returns. */
function originOf(
  weights: Buffer,
  manifest: Manifest,
  tamper = (data: Buffer) => data,
): Origin & { fetches: number } {
  const origin = {
    fetches: 0,
    async chunk(digest: string) {
      origin.fetches++;
      const index = manifest.chunks.findIndex((chunk) => chunk.digest === digest);
      if (index < 0) return failure({ type: 'notFound' as const, service: 'origin' });
      return success(tamper(Buffer.from(weights.subarray(index * CHUNK_BYTES, (index + 1) * CHUNK_BYTES))));
    },
  };
  return origin;
}

async function agent(
  name: string,
  origin: Origin,
  place = 'place-a',
  linkBytesPerSecond = 10_000_000,
): Promise<TestAgent> {
  const { context, info, timeline } = await createConnectionContext(name, place);
  const store = new ChunkStore(100 * CHUNK_BYTES);
  const completed: string[] = [];
  const toCoordinator: Message[] = [];
  const exchange = new Exchange(
    { context, store, origin, timeline, log: silentLog },
    { linkBytesPerSecond, linkDuplex: 'shared', seed: 1 },
    {
      onVerified: () => {},
      onComplete: (version) => completed.push(version),
      onCoordinatorMessage: (_, message) => toCoordinator.push(message),
    },
  );
  const listener = new ConnectionListener(info.address, context, (connection) => exchange.accept(connection));
  for (const part of [listener, exchange]) {
    await part.start();
    running.push(part);
  }
  return { exchange, store, info, timeline, completed, toCoordinator };
}

/** An agent that has all chunks of the version. */
async function seed(name: string, linkBytesPerSecond?: number): Promise<TestAgent> {
  const seeded = await agent(name, originOf(WEIGHTS, MANIFEST), 'place-a', linkBytesPerSecond);
  for (const [index, { digest }] of MANIFEST.chunks.entries()) {
    seeded.store.put(digest, WEIGHTS.subarray(index * CHUNK_BYTES, (index + 1) * CHUNK_BYTES));
  }
  seeded.exchange.begin(assignment(), MANIFEST);
  return seeded;
}

function grantAll(target: TestAgent): void {
  for (const chunk of MANIFEST.chunks.keys()) {
    target.exchange.onGrant(KEY, { grantId: chunk + 1, chunk, source: { type: 'origin' } });
  }
}

function weightsOf(target: TestAgent, manifest = MANIFEST): Buffer {
  return Buffer.concat(manifest.chunks.map(({ digest }) => target.store.get(digest) ?? Buffer.alloc(0)));
}

/** A peer whose messages are sent by the test. */
async function manualPeer(
  target: TestAgent,
  place = 'place-a',
): Promise<{ connection: Connection; received: Message[] }> {
  const { context } = await createConnectionContext('manual-peer', place);
  const outcome = await connect(target.info.address, context, AbortSignal.timeout(5_000));
  if (!outcome.ok) throw new Error(outcome.error.reason);
  const received: Message[] = [];
  outcome.value.handleMessages((message) => received.push(message));
  running.push({ stop: async () => outcome.value.close() });
  return { connection: outcome.value, received };
}

describe('the chunk exchange', () => {
  it('fetches a version from a peer, byte for byte', async () => {
    const [source, target] = [await seed('seed'), await agent('target', originOf(WEIGHTS, MANIFEST))];
    target.exchange.begin(assignment(), MANIFEST);
    target.exchange.onNeighbours(KEY, [source.info]);
    await until(() => target.completed.length > 0, 'completion');
    expect(weightsOf(target).equals(WEIGHTS)).toBe(true);
  });

  it('fetches from the origin only under grants, and reports the end of each grant', async () => {
    const origin = originOf(WEIGHTS, MANIFEST);
    const target = await agent('target', origin);
    target.exchange.begin(assignment(), MANIFEST);
    grantAll(target);
    await until(() => target.completed.length > 0, 'completion');
    const ended = () => target.toCoordinator.filter((message) => message.type === 'grantEnded');
    await until(() => ended().length === MANIFEST.chunks.length, 'all grants returned');
    expect(origin.fetches).toBe(MANIFEST.chunks.length);
  });

  it('discards chunks that do not match their digest, from the origin and from peers', async () => {
    const corrupting = originOf(WEIGHTS, MANIFEST, (data) => {
      data[0] ^= 0xff;
      return data;
    });
    const target = await agent('target', corrupting);
    target.exchange.begin(assignment(), MANIFEST);
    grantAll(target);
    await until(
      () => target.exchange.counters.corruptChunks === MANIFEST.chunks.length,
      'verification of all chunks',
    );
    const { connection, received } = await manualPeer(target);
    connection.send({ type: 'greet', transfer: KEY, have: new Uint8Array([0xff]) });
    await until(() => received.some((message) => message.type === 'request'), 'a request');
    const request = received.find((message) => message.type === 'request')!;
    connection.send({
      type: 'chunk',
      transfer: KEY,
      chunk: request.chunk,
      queueLength: 0,
      data: Buffer.alloc(CHUNK_BYTES),
    });
    await until(
      () => target.exchange.counters.corruptChunks > MANIFEST.chunks.length,
      'verification of the chunk',
    );
    expect(target.exchange.held(VERSION)!.size).toBe(0);
    expect(target.store.usedBytes).toBe(0);
    expect(target.timeline.entries().some(({ event }) => event.type === 'corruptChunk')).toBe(true);
  });

  it('serves no chunk to a machine in a place that is not allowed', async () => {
    const source = await seed('seed');
    const { connection, received } = await manualPeer(source, 'forbidden');
    connection.send({ type: 'greet', transfer: KEY, have: new Uint8Array(1) });
    connection.send({ type: 'request', transfer: KEY, chunk: 0, have: 0, urgent: true });
    await until(() => received.some((message) => message.type === 'refuse'), 'a refusal');
    expect(received.filter((message) => message.type !== 'refuse')).toEqual([]);
    expect(source.exchange.counters.placeRefusals).toBe(1);
  });

  it('reuses the chunks that a new version shares with the old one', async () => {
    const changed = Buffer.concat([WEIGHTS.subarray(0, 6 * CHUNK_BYTES), Buffer.alloc(2 * CHUNK_BYTES, 9)]);
    const manifest = buildManifest(changed, CHUNK_BYTES);
    const version = versionOf(manifest);
    const target = await seed('target');
    target.exchange.end(VERSION);
    target.exchange.begin(assignment(version), manifest);
    expect(target.exchange.held(version)!.size).toBe(6);
  });

  it('stops the transfer of a version that is replaced, and completes the new one', async () => {
    const changed = Buffer.concat([WEIGHTS.subarray(0, 4 * CHUNK_BYTES), Buffer.alloc(4 * CHUNK_BYTES, 9)]);
    const manifest = buildManifest(changed, CHUNK_BYTES);
    const version = versionOf(manifest);
    const target = await agent('target', originOf(changed, manifest));
    target.exchange.begin(assignment(), MANIFEST);
    target.exchange.onGrant(KEY, { grantId: 1, chunk: 0, source: { type: 'origin' } });
    target.exchange.end(VERSION);
    target.exchange.begin(assignment(version), manifest);
    for (const chunk of manifest.chunks.keys()) {
      target.exchange.onGrant(transferKeyOf(version), { grantId: chunk, chunk, source: { type: 'origin' } });
    }
    await until(() => target.completed.includes(version), 'the new version');
    expect(target.completed).toEqual([version]);
    expect(weightsOf(target, manifest).equals(changed)).toBe(true);
  });

  it('continues to serve peers after malformed messages', async () => {
    const source = await seed('seed');
    const { connection } = await manualPeer(source);
    const malformed = { type: 'request', transfer: KEY, chunk: 'x', have: null, urgent: 3 };
    connection.send(malformed as unknown as Message);
    connection.send({ type: 'announce', transfer: KEY, chunks: 7, queueLength: 0 } as unknown as Message);
    connection.send({ type: 'greet', transfer: KEY, have: 'x' } as unknown as Message);
    const target = await agent('target', originOf(WEIGHTS, MANIFEST));
    target.exchange.begin(assignment(), MANIFEST);
    target.exchange.onNeighbours(KEY, [source.info]);
    await until(() => target.completed.length > 0, 'completion');
  });

  // The place was checked before the chunk waited for its turn on the link.
  it('sends no chunk to a place that has been excluded while the chunk waited for the link', async () => {
    const source = await seed('seed', CHUNK_BYTES);
    source.exchange.begin(assignment(VERSION, ['place-a', 'place-b']), MANIFEST);
    const { connection, received } = await manualPeer(source, 'place-b');
    connection.send({ type: 'request', transfer: KEY, chunk: 0, have: 0, urgent: false });
    await until(() => source.exchange.node.uploads.active === 1, 'the upload');
    source.exchange.begin(assignment(), MANIFEST);
    await until(() => source.exchange.node.uploads.active === 0, 'the end of the upload');
    await until(() => received.length > 0, 'an answer');
    expect(received).toMatchObject([{ type: 'refuse', chunk: 0, reason: 'place' }]);
  });
});
