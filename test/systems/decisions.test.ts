import fc from 'fast-check';
import { describe, expect, it } from 'vitest';
import { seededRandom } from '../../src/model/random.js';
import { decideLease, LEASE_DURATION, LEASE_RENEWAL_INTERVAL } from '../../src/systems/lease.js';
import { type DeploymentRow, type MachineRow, placeDeployments } from '../../src/systems/placement.js';
import { chooseRoute, type ReplicaRow } from '../../src/systems/routing.js';

describe('leases', () => {
  const held = { row: { holder: 'other', epoch: 3 }, revision: 7, seenAt: 1_000 };

  it.each([
    [
      'takes one that nobody holds',
      { row: undefined, revision: 0, seenAt: 0 },
      0,
      { holder: 'self', epoch: 1 },
    ],
    [
      'takes over one that lapsed, with the next epoch',
      held,
      1_000 + LEASE_DURATION,
      { holder: 'self', epoch: 4 },
    ],
    [
      'renews its own under the same epoch',
      { ...held, row: { holder: 'self', epoch: 3 } },
      1_000 + LEASE_RENEWAL_INTERVAL,
      { holder: 'self', epoch: 3 },
    ],
  ])('%s', (_, observation, now, row) => {
    expect(decideLease(observation, 'self', now)).toEqual({ type: 'write', row });
  });

  it.each([
    ['another holds it', held, 1_000 + LEASE_DURATION - 1],
    ['its own is fresh', { ...held, row: { holder: 'self', epoch: 3 } }, 1_000 + LEASE_RENEWAL_INTERVAL - 1],
  ])('waits while %s', (_, observation, now) => {
    expect(decideLease(observation, 'self', now)).toEqual({ type: 'wait' });
  });
});

describe('routing', () => {
  function replica(id: string, ownActive = 0): ReplicaRow {
    const ready = ['v'];
    return {
      id,
      place: 'a',
      zone: 'a',
      leaving: false,
      ready,
      reportedActive: 0,
      ownActive,
      capacity: 10,
      suspendedUntil: 0,
    };
  }
  const query = {
    places: ['a'],
    versions: ['v'],
    excluded: new Set<string>(),
    prefix: 'long beginning',
    now: 0,
  };
  const names = ['r1', 'r2', 'r3', 'r4'];
  const route = (rows: ReplicaRow[], overrides = {}, seed = 1) =>
    chooseRoute(rows, { ...query, ...overrides }, seededRandom(seed))?.replica.id;

  it('sends prompts with the same beginning to the same replica, whichever entry decides', () => {
    const rows = names.map((name) => replica(name));
    const chosen = route(rows);
    for (let seed = 2; seed < 20; seed++) expect(route([...rows].reverse(), {}, seed)).toBe(chosen);
  });

  it('leaves that replica when it is much busier than the others, all entries for the same next one', () => {
    const preferred = route(names.map((name) => replica(name)))!;
    const rows = names.map((name) => replica(name, name === preferred ? 9 : 0));
    const next = route(rows);
    expect(next).not.toBe(preferred);
    for (let seed = 2; seed < 20; seed++) expect(route(rows, {}, seed)).toBe(next);
    expect(route(names.map((name) => replica(name, name === preferred ? 4 : 0)))).toBe(preferred);
  });

  it('goes by load alone where there is no long beginning', () => {
    const rows = names.map((name, index) => replica(name, index === 2 ? 0 : 1));
    expect(route(rows, { prefix: undefined })).toBe('r3');
  });

  it.each([
    ['is leaving', { leaving: true }],
    ['lies in another place', { place: 'b' }],
    ['has another version', { ready: ['w'] }],
    ['was just lost', { suspendedUntil: 1 }],
  ])('never chooses a replica that %s', (_, fault) => {
    expect(route([{ ...replica('r1'), ...fault }])).toBeUndefined();
  });
});

describe('placement', () => {
  const deployment: DeploymentRow = {
    name: 'd',
    version: 'v1',
    pool: 'gpu',
    places: ['a', 'b'],
    replicas: 2,
    priority: 0,
  };

  function machine(address: string, place = 'a', leaving = false): MachineRow {
    return { address, place, pool: 'gpu', leaving };
  }

  const assigned = new Map([['d', { version: 'v1', machines: ['m1', 'm2'] }]]);
  const missing = (awaited: string[], substituted: string[]) => {
    return { awaited: new Set(awaited), substituted: new Set(substituted) };
  };

  it('waits for a machine that has just gone out of sight', () => {
    const placed = placeDeployments(
      [deployment],
      [machine('m1'), machine('m3')],
      assigned,
      missing(['m2'], []),
    );
    expect(placed.get('d')?.machines).toEqual(['m1', 'm2']);
  });

  it('lets another serve for one that stays out of sight, which stays assigned', () => {
    const placed = placeDeployments(
      [deployment],
      [machine('m1'), machine('m3')],
      assigned,
      missing([], ['m2']),
    );
    expect(placed.get('d')?.machines).toEqual(['m1', 'm2', 'm3']);
  });

  it('gives up a machine that the platform has given up', () => {
    const placed = placeDeployments([deployment], [machine('m1'), machine('m3')], assigned);
    expect(placed.get('d')?.machines).toEqual(['m1', 'm3']);
  });

  it('goes back to the declared number once all are in sight', () => {
    const three = new Map([['d', { version: 'v1', machines: ['m1', 'm2', 'm3'] }]]);
    const all = ['m1', 'm2', 'm3'].map((address) => machine(address));
    expect(placeDeployments([deployment], all, three).get('d')?.machines).toHaveLength(2);
  });

  it('keeps machines that serve already, and replaces those that leave', () => {
    const machines = ['m1', 'm2', 'm3', 'm4'].map((address) => machine(address));
    const first = placeDeployments([deployment], machines, new Map()).get('d')!;
    const more = [...machines, machine('m5')];
    expect(placeDeployments([deployment], more, new Map([['d', first]])).get('d')).toEqual(first);
    const leaving = more.map((row) => ({ ...row, leaving: row.address === first.machines[0] }));
    const next = placeDeployments([deployment], leaving, new Map([['d', first]])).get('d')!;
    expect(next.machines).toContain(first.machines[1]);
    expect(next.machines).not.toContain(first.machines[0]);
    expect(next.machines).toHaveLength(2);
  });

  it('remembers the version served before', () => {
    const machines = [machine('m1'), machine('m2')];
    const first = placeDeployments([deployment], machines, new Map());
    const second = placeDeployments([{ ...deployment, version: 'v2' }], machines, first);
    expect(second.get('d')).toMatchObject({ version: 'v2', previousVersion: 'v1' });
  });

  it('serves higher priority first when machines are scarce', () => {
    const urgent = { ...deployment, name: 'urgent', priority: 5 };
    const placements = placeDeployments([deployment, urgent], [machine('m1'), machine('m2')], new Map());
    expect(placements.get('urgent')!.machines).toHaveLength(2);
    expect(placements.get('d')!.machines).toHaveLength(0);
  });

  it('never places on a machine that is leaving, of another pool or in another place', () => {
    const place = fc.constantFrom('a', 'b', 'c');
    const row = fc.record({
      address: fc.string({ minLength: 1, maxLength: 4 }),
      place,
      pool: fc.constantFrom('gpu', 'cpu'),
      leaving: fc.boolean(),
    });
    const property = fc.property(
      fc.uniqueArray(row, { selector: (r) => r.address }),
      fc.nat(5),
      (machines, replicas) => {
        const placed = placeDeployments([{ ...deployment, replicas }], machines, new Map()).get(
          'd',
        )!.machines;
        expect(placed.length).toBeLessThanOrEqual(replicas);
        for (const address of placed) {
          const found = machines.find((candidate) => candidate.address === address)!;
          expect(found.leaving || found.pool !== 'gpu' || found.place === 'c').toBe(false);
        }
      },
    );
    fc.assert(property, { seed: 1, numRuns: 300 });
  });
});
