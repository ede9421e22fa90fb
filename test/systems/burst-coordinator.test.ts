import { describe, expect, it } from 'vitest';
import { ChunkSet } from '../../src/model/chunk-set.js';
import { seededRandom } from '../../src/model/random.js';
import {
  BurstCoordinator,
  type CoordinatorCommand,
  DEFAULT_COORDINATOR_LIMITS,
} from '../../src/systems/distribution/coordinator.js';
import type { Grant, Objective } from '../../src/systems/distribution/transfer.js';
import { peer } from '../support.js';

const CHUNKS = 12;
const ALL_CHUNKS = Array.from({ length: CHUNKS }, (_, chunk) => chunk);

function coordinatorFor(objective: Objective, limits = {}): BurstCoordinator {
  return new BurstCoordinator({
    chunkCount: CHUNKS,
    objective,
    strategy: 'swarm',
    limits: { ...DEFAULT_COORDINATOR_LIMITS, ...limits },
    random: seededRandom(1),
  });
}

function join(
  coordinator: BurstCoordinator,
  id: string,
  region = 'region-a',
  have = new ChunkSet(CHUNKS),
): void {
  coordinator.onJoin(peer(id, 'place-a', region), have);
}

function full(): ChunkSet {
  const set = new ChunkSet(CHUNKS);
  for (let chunk = 0; chunk < CHUNKS; chunk++) set.add(chunk);
  return set;
}

function grantsIn(commands: CoordinatorCommand[]): Array<{ member: string; grant: Grant }> {
  return commands.filter(
    (command): command is CoordinatorCommand & { type: 'grant' } => command.type === 'grant',
  );
}

/** Completes every grant successfully until no more are issued; returns all of them. */
function runToEnd(coordinator: BurstCoordinator): Array<{ member: string; grant: Grant }> {
  const all: Array<{ member: string; grant: Grant }> = [];
  for (let round = 0; round < 1_000; round++) {
    const grants = grantsIn(coordinator.tick(round));
    if (grants.length === 0) return all;
    all.push(...grants);
    for (const { member, grant } of grants) {
      const { known } = coordinator.members.get(member)!;
      const chunk = grant.chunk ?? ALL_CHUNKS.find((candidate) => !known.has(candidate));
      coordinator.onGrantEnded(member, grant.grantId, chunk, true);
    }
  }
  throw new Error('grants never end');
}

describe('leastOriginBytes', () => {
  it('fetches each chunk from the origin once and transfers it into each other region once', () => {
    const coordinator = coordinatorFor('leastOriginBytes');
    for (const region of ['region-a', 'region-b', 'region-c']) {
      join(coordinator, `${region}-1`, region);
      join(coordinator, `${region}-2`, region);
    }
    const grants = runToEnd(coordinator);
    const draws = grants.filter(({ grant }) => grant.source.type === 'origin');
    const crossings = grants.filter(({ grant }) => grant.source.type === 'peer');
    expect(new Set(draws.map(({ grant }) => grant.chunk)).size).toBe(CHUNKS);
    expect(draws).toHaveLength(CHUNKS);
    expect(crossings).toHaveLength(2 * CHUNKS);
  });

  it('does not fetch chunks from the origin that a joining machine already has', () => {
    const coordinator = coordinatorFor('leastOriginBytes');
    join(coordinator, 'seed', 'region-a', full());
    join(coordinator, 'empty', 'region-a');
    expect(runToEnd(coordinator)).toEqual([]);
  });

  it('after the coordinator is replaced, fetches only chunks that no rejoining machine has', () => {
    const coordinator = coordinatorFor('leastOriginBytes');
    const half = new ChunkSet(CHUNKS);
    for (let chunk = 0; chunk < CHUNKS / 2; chunk++) half.add(chunk);
    join(coordinator, 'first', 'region-a', half);
    join(coordinator, 'second', 'region-a');
    const draws = runToEnd(coordinator).map(({ grant }) => grant.chunk);
    expect(draws.sort((a, b) => a! - b!)).toEqual([6, 7, 8, 9, 10, 11]);
  });
});

describe('fastest', () => {
  it('grants extra origin fetches to slow machines, up to a limit of members', () => {
    for (const [extraFetchMemberLimit, expected] of [
      [2, true],
      [1, false],
    ] as const) {
      const coordinator = coordinatorFor('fastest', { extraFetchMemberLimit });
      join(coordinator, 'first');
      join(coordinator, 'second');
      const free = runToEnd(coordinator).filter(({ grant }) => grant.chunk === undefined);
      expect(free.length > 0).toBe(expected);
    }
  });
});

describe('failures', () => {
  it('limits the number of concurrent origin fetches', () => {
    const coordinator = coordinatorFor('fastest', { maxOriginFetches: 3 });
    for (let index = 0; index < 10; index++) join(coordinator, `machine-${index}`);
    expect(grantsIn(coordinator.tick(0))).toHaveLength(3);
    expect(grantsIn(coordinator.tick(1))).toHaveLength(0);
  });

  it.each([
    ['the machine leaves', 0, (c: BurstCoordinator, m: string) => c.onLeave(m)],
    [
      'the fetch fails',
      0,
      (c: BurstCoordinator, m: string, g: Grant) => c.onGrantEnded(m, g.grantId, g.chunk, false),
    ],
    ['the grant times out', DEFAULT_COORDINATOR_LIMITS.grantTimeout, () => {}],
  ])('grants an origin fetch again when %s', (_, from, fail) => {
    const coordinator = coordinatorFor('leastOriginBytes', { maxOriginFetches: 1 });
    join(coordinator, 'first');
    join(coordinator, 'second');
    const [{ member, grant }] = grantsIn(coordinator.tick(0));
    const granted: Array<number | undefined> = [];
    fail(coordinator, member, grant);
    const { originBackoff, grantTimeout } = DEFAULT_COORDINATOR_LIMITS;
    for (let now = from; now < from + grantTimeout; now += originBackoff) {
      for (const next of grantsIn(coordinator.tick(now))) {
        granted.push(next.grant.chunk);
        coordinator.onGrantEnded(next.member, next.grant.grantId, next.grant.chunk, true);
      }
    }
    expect(granted).toContain(grant.chunk);
  });

  it('ignores the end of a grant from a machine that does not hold it', () => {
    const coordinator = coordinatorFor('leastOriginBytes', { maxOriginFetches: 1 });
    join(coordinator, 'holder');
    const [{ grant }] = grantsIn(coordinator.tick(0));
    coordinator.onGrantEnded('stranger', grant.grantId, grant.chunk, true);
    expect(grantsIn(coordinator.tick(1))).toEqual([]);
  });

  it('serves a starving machine from its own region first', () => {
    const coordinator = coordinatorFor('leastOriginBytes');
    join(coordinator, 'far', 'region-b', full());
    join(coordinator, 'near', 'region-a', full());
    join(coordinator, 'starving', 'region-a');
    runToEnd(coordinator);
    coordinator.onReport('starving', 0, [5]);
    const [{ grant }] = grantsIn(coordinator.tick(0));
    expect(grant).toMatchObject({ chunk: 5, source: { type: 'peer', peer: { id: 'near' } } });
  });

  it('fetches a starving chunk from the origin again when no holder is left', () => {
    const coordinator = coordinatorFor('leastOriginBytes');
    join(coordinator, 'seed', 'region-a', full());
    join(coordinator, 'starving', 'region-a');
    runToEnd(coordinator);
    coordinator.onLeave('seed');
    coordinator.onReport('starving', 0, [5]);
    expect(grantsIn(coordinator.tick(0))).toMatchObject([
      { grant: { chunk: 5, source: { type: 'origin' } } },
    ]);
  });
});
