import { describe, expect, it } from 'vitest';
import { ChunkSet } from '../../src/model/chunk-set.js';
import { seededRandom } from '../../src/model/random.js';
import type { DistributionCommand } from '../../src/systems/distribution/commands.js';
import { DEFAULT_DISTRIBUTION_LIMITS } from '../../src/systems/distribution/limits.js';
import { DistributionNode } from '../../src/systems/distribution/node.js';
import { peer } from '../support.js';

const VERSION = 'a'.repeat(64);
const OTHER_VERSION = 'b'.repeat(64);
const CHUNKS = 8;
const ALL = ChunkSet.fromBytes(CHUNKS, new Uint8Array([0xff]));

function nodeWith(have: number[] = [], limits = DEFAULT_DISTRIBUTION_LIMITS): DistributionNode {
  const node = new DistributionNode({ limits, random: seededRandom(1) });
  start(node, VERSION, 0, have);
  return node;
}

function start(node: DistributionNode, version: string, priority: number, have: number[] = []): void {
  const held = new ChunkSet(CHUNKS);
  for (const chunk of have) held.add(chunk);
  const allowedPlaces = new Set(['place-a']);
  node.startTransfer({ version, chunkCount: CHUNKS, priority, allowedPlaces, have: held }, 0);
}

function ofType<T extends DistributionCommand['type']>(commands: DistributionCommand[], type: T) {
  return commands.filter((command): command is DistributionCommand & { type: T } => command.type === type);
}

function ask(
  node: DistributionNode,
  from: string,
  chunk: number,
  have = 0,
  version = VERSION,
  place = 'place-a',
) {
  node.onRequest(peer(from, place), { version, chunk, have, urgent: false }, 0);
}

describe('serving chunks', () => {
  it('sends a chunk to a machine in an allowed place', () => {
    const node = nodeWith([3]);
    ask(node, 'near', 3);
    expect(ofType(node.tick(1), 'send')).toMatchObject([{ chunk: 3, peer: 'near' }]);
  });

  it.each([
    ['a machine in a place that is not allowed', 'forbidden', 3, 'place'],
    ['a chunk that it does not have', 'place-a', 4, 'absent'],
  ])('refuses %s', (_, place, chunk, reason) => {
    const node = nodeWith([3]);
    ask(node, 'asker', chunk, 0, VERSION, place);
    const commands = node.tick(1);
    expect(ofType(commands, 'send')).toEqual([]);
    expect(ofType(commands, 'refuse')).toMatchObject([{ chunk, reason }]);
  });

  // The place was checked when the request was queued; on a slow link it waits there for seconds.
  it('refuses a queued request from a place that is no longer allowed', () => {
    const node = nodeWith([3], { ...DEFAULT_DISTRIBUTION_LIMITS, uploadsActive: 1 });
    ask(node, 'first', 3);
    expect(ofType(node.tick(1), 'send')).toHaveLength(1);
    ask(node, 'second', 3);
    node.startTransfer(
      { version: VERSION, chunkCount: CHUNKS, priority: 0, allowedPlaces: new Set(['place-b']) },
      2,
    );
    node.onUploadEnded();
    const commands = node.tick(3);
    expect(ofType(commands, 'send')).toEqual([]);
    expect(ofType(commands, 'refuse')).toMatchObject([{ peer: 'second', chunk: 3, reason: 'place' }]);
  });

  it('refuses requests beyond its queue limit as busy', () => {
    const node = nodeWith([3]);
    const { uploadQueue } = DEFAULT_DISTRIBUTION_LIMITS;
    for (let index = 0; index <= uploadQueue; index++) ask(node, `asker-${index}`, 3);
    expect(ofType(node.tick(1), 'refuse')).toMatchObject([{ peer: `asker-${uploadQueue}`, reason: 'busy' }]);
  });

  it('serves the higher priority first, then the peer with the fewest chunks', () => {
    const node = nodeWith([0, 1, 2, 3], { ...DEFAULT_DISTRIBUTION_LIMITS, uploadsActive: 4 });
    start(node, OTHER_VERSION, 5, [0]);
    ask(node, 'rich', 0, 7);
    ask(node, 'poor', 1, 1);
    ask(node, 'preferred', 0, 7, OTHER_VERSION);
    const order = ofType(node.tick(1), 'send').map((command) => command.peer);
    expect(order).toEqual(['preferred', 'poor', 'rich']);
  });

  it('drops a queued request that the peer cancels', () => {
    const node = nodeWith([3]);
    ask(node, 'near', 3);
    node.onCancel('near', VERSION, 3);
    expect(ofType(node.tick(1), 'send')).toEqual([]);
  });

  it('stops serving a version when its transfer is stopped', () => {
    const node = nodeWith([3]);
    ask(node, 'near', 3);
    node.stopTransfer(VERSION);
    ask(node, 'late', 3);
    const commands = node.tick(1);
    expect(ofType(commands, 'send')).toEqual([]);
    expect(ofType(commands, 'refuse').map((command) => command.reason)).toEqual(['absent', 'absent']);
  });
});

describe('fetching chunks', () => {
  function nodeBesideSeeds(seeds: string[]): DistributionNode {
    const node = nodeWith();
    for (const seed of seeds) node.onGreeting(peer(seed), VERSION, ALL.toBytes());
    return node;
  }

  it('never requests chunks from a machine in a place that is not allowed', () => {
    const node = nodeWith();
    node.onGreeting(peer('outside', 'forbidden'), VERSION, ALL.toBytes());
    node.onGrant(VERSION, {
      grantId: 1,
      chunk: 0,
      source: { type: 'peer', peer: peer('outside', 'forbidden') },
    });
    const commands = node.tick(1);
    expect(ofType(commands, 'request')).toEqual([]);
    expect(ofType(commands, 'grantEnded')).toMatchObject([{ grantId: 1, succeeded: false }]);
  });

  it('removes neighbours in places that are no longer allowed', () => {
    const node = nodeBesideSeeds(['seed']);
    node.startTransfer(
      { version: VERSION, chunkCount: CHUNKS, priority: 0, allowedPlaces: new Set(['place-b']) },
      1,
    );
    expect(ofType(node.tick(2), 'request')).toEqual([]);
  });

  it('requests the rarest chunk first', () => {
    const node = nodeWith([], { ...DEFAULT_DISTRIBUTION_LIMITS, requestsInFlight: 1 });
    const common = new ChunkSet(CHUNKS);
    for (const chunk of [0, 1, 2, 3, 4, 5, 6]) common.add(chunk);
    node.onGreeting(peer('first'), VERSION, common.toBytes());
    node.onGreeting(peer('second'), VERSION, ALL.toBytes());
    expect(ofType(node.tick(1), 'request')).toMatchObject([{ chunk: 7 }]);
  });

  it('requests chunks of the transfer with the higher priority first', () => {
    const node = nodeWith([], { ...DEFAULT_DISTRIBUTION_LIMITS, requestsInFlight: 1 });
    start(node, OTHER_VERSION, 5);
    for (const version of [VERSION, OTHER_VERSION]) node.onGreeting(peer('seed'), version, ALL.toBytes());
    expect(ofType(node.tick(1), 'request')).toMatchObject([{ version: OTHER_VERSION }]);
  });

  it('moves timed-out requests to another machine and suspends the stalled one', () => {
    const node = nodeBesideSeeds(['stalled']);
    node.tick(1);
    const later = 2 + DEFAULT_DISTRIBUTION_LIMITS.firstRequestTimeout;
    node.onGreeting(peer('fresh'), VERSION, ALL.toBytes());
    const commands = node.tick(later);
    expect(ofType(commands, 'cancel').map((command) => command.peer)).toContain('stalled');
    expect(new Set(ofType(commands, 'request').map((command) => command.peer.id))).toEqual(
      new Set(['fresh']),
    );
  });

  it('closes the requests to a lost machine so that others are asked', () => {
    const node = nodeBesideSeeds(['dying', 'living']);
    node.tick(1);
    node.onPeerLost('dying', 2);
    const open = [...node.transfers.get(VERSION)!.requests.values()];
    expect(open.every((request) => request.peer === 'living')).toBe(true);
    node.tick(3);
    expect([...node.transfers.get(VERSION)!.availability]).toEqual(Array(CHUNKS).fill(1));
  });

  it('excludes a sender of corrupt chunks and requests the chunks elsewhere', () => {
    const node = nodeBesideSeeds(['corrupt']);
    const asked = ofType(node.tick(1), 'request');
    node.onCorruptChunk(VERSION, asked[0].chunk, 'corrupt', 2);
    node.onCorruptChunk(VERSION, asked[1].chunk, 'corrupt', 2);
    expect(ofType(node.tick(100_000), 'request')).toEqual([]);
    expect(node.transfers.get(VERSION)!.have.size).toBe(0);
    node.onGreeting(peer('honest'), VERSION, ALL.toBytes());
    expect(ofType(node.tick(100_001), 'request').length).toBeGreaterThan(0);
  });

  it('accepts a chunk once and cancels a request for it at another peer', () => {
    const node = nodeBesideSeeds(['seed']);
    const [{ chunk }] = ofType(node.tick(1), 'request');
    expect(node.onChunk(VERSION, chunk, 'stranger', 0, 2)).toBe(true);
    expect(node.onChunk(VERSION, chunk, 'seed', 0, 3)).toBe(false);
    expect(ofType(node.tick(4), 'cancel')).toMatchObject([{ chunk, peer: 'seed' }]);
  });

  it('reports a chunk that no neighbour offers as starving', () => {
    const node = nodeWith([0, 1, 2, 3, 4, 5, 6]);
    const { reportInterval, starvationTime } = DEFAULT_DISTRIBUTION_LIMITS;
    const commands = node.tick(Math.max(reportInterval, starvationTime) + 1);
    expect(ofType(commands, 'report')).toMatchObject([{ have: 7, starving: [7] }]);
  });

  it('reports completion immediately and only once', () => {
    const node = nodeWith([0, 1, 2, 3, 4, 5, 6]);
    node.onChunk(VERSION, 7, 'seed', 0, 1);
    expect(ofType(node.tick(2), 'report')).toMatchObject([{ have: CHUNKS }]);
    expect(ofType(node.tick(100_000), 'report')).toEqual([]);
  });
});
