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
      'acquires a lease without a holder',
      { row: undefined, revision: 0, seenAt: 0 },
      0,
      { holder: 'self', epoch: 1 },
    ],
    [
      'takes over an expired lease with the next epoch',
      held,
      1_000 + LEASE_DURATION,
      { holder: 'self', epoch: 4 },
    ],
    [
      'renews its own lease in the same epoch',
      { ...held, row: { holder: 'self', epoch: 3 } },
      1_000 + LEASE_RENEWAL_INTERVAL,
      { holder: 'self', epoch: 3 },
    ],
  ])('%s', (_, observation, now, row) => {
    expect(decideLease(observation, 'self', now)).toEqual({ type: 'write', row });
  });

  it.each([
    ['another process holds the lease', held, 1_000 + LEASE_DURATION - 1],
    [
      'its own lease is fresh',
      { ...held, row: { holder: 'self', epoch: 3 } },
      1_000 + LEASE_RENEWAL_INTERVAL - 1,
    ],
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

  it('sends prompts with the same prefix to the same replica, whichever entry decides', () => {
    const rows = names.map((name) => replica(name));
    const chosen = route(rows);
    for (let seed = 2; seed < 20; seed++) expect(route([...rows].reverse(), {}, seed)).toBe(chosen);
  });

  it('sends them to the same next replica from every entry if the first one is much busier than the others', () => {
    const preferred = route(names.map((name) => replica(name)))!;
    const rows = names.map((name) => replica(name, name === preferred ? 9 : 0));
    const next = route(rows);
    expect(next).not.toBe(preferred);
    for (let seed = 2; seed < 20; seed++) expect(route(rows, {}, seed)).toBe(next);
    expect(route(names.map((name) => replica(name, name === preferred ? 4 : 0)))).toBe(preferred);
  });

  it('selects by load alone if there is no long prefix', () => {
    const rows = names.map((name, index) => replica(name, index === 2 ? 0 : 1));
    expect(route(rows, { prefix: undefined })).toBe('r3');
  });

  it.each([
    ['is leaving', { leaving: true }],
    ['is in another place', { place: 'b' }],
    ['has another version', { ready: ['w'] }],
    ['has just failed', { suspendedUntil: 1 }],
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

  it('counts a machine as a replica if it has been missing for a short time only', () => {
    const placed = placeDeployments(
      [deployment],
      [machine('m1'), machine('m3')],
      assigned,
      missing(['m2'], []),
    );
    expect(placed.get('d')?.machines).toEqual(['m1', 'm2']);
  });

  it('adds a substitute for a machine that stays missing, which remains assigned', () => {
    const placed = placeDeployments(
      [deployment],
      [machine('m1'), machine('m3')],
      assigned,
      missing([], ['m2']),
    );
    expect(placed.get('d')?.machines).toEqual(['m1', 'm2', 'm3']);
  });

  it('drops a machine that is no longer in the platform list', () => {
    const placed = placeDeployments([deployment], [machine('m1'), machine('m3')], assigned);
    expect(placed.get('d')?.machines).toEqual(['m1', 'm3']);
  });

  it('returns to the declared number of replicas once all machines are connected', () => {
    const three = new Map([['d', { version: 'v1', machines: ['m1', 'm2', 'm3'] }]]);
    const all = ['m1', 'm2', 'm3'].map((address) => machine(address));
    expect(placeDeployments([deployment], all, three).get('d')?.machines).toHaveLength(2);
  });

  it('keeps machines that already serve, and replaces those that leave', () => {
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

  it('keeps the previously served version', () => {
    const machines = [machine('m1'), machine('m2')];
    const first = placeDeployments([deployment], machines, new Map());
    const second = placeDeployments([{ ...deployment, version: 'v2' }], machines, first);
    expect(second.get('d')).toMatchObject({ version: 'v2', previousVersion: 'v1' });
  });

  it('places the higher priority first if machines are scarce', () => {
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
