import fc from 'fast-check';
import { describe, expect, it } from 'vitest';
import { KeyOwnership, MAX_CONFIRMATION_GAP } from '../../src/agent/key-ownership.js';
import { type KeptOutcome, OnceLedger } from '../../src/systems/once-ledger.js';
import { decideOwners, keepsOwner, type OwnerCandidate, ownerOf } from '../../src/systems/ownership.js';

const ANSWER: KeptOutcome = { type: 'answered', status: 200, contentType: '', body: Buffer.from('a') };
const FIRST = { key: 'k', attempt: 1, fresh: true };

describe('the ledger of keys', () => {
  it('runs a key once and returns its outcome to later calls', async () => {
    const ledger = new OnceLedger();
    expect(ledger.admit(FIRST, 0)).toEqual({ type: 'run' });
    const second = ledger.admit({ ...FIRST, attempt: 2 }, 1);
    expect(second.type).toBe('running');
    ledger.finish('k', ANSWER, 2);
    expect(second.type === 'running' && (await second.wait)).toEqual(ANSWER);
    expect(ledger.admit({ ...FIRST, attempt: 3, fresh: false }, 3)).toEqual({ type: 'ran', outcome: ANSWER });
  });

  it('does not run a key whose earlier attempt may have run elsewhere', () => {
    expect(new OnceLedger().admit({ ...FIRST, attempt: 2, fresh: false }, 0)).toEqual({ type: 'unknown' });
  });

  it('does not run an attempt after it has stated that the attempt did not run', () => {
    const ledger = new OnceLedger();
    expect(ledger.refuse({ ...FIRST, attempt: 2 }, 0)).toBe(true);
    expect(ledger.admit(FIRST, 1)).toEqual({ type: 'refusedBefore' });
    expect(ledger.admit({ ...FIRST, attempt: 3 }, 2)).toEqual({ type: 'run' });
  });

  it.each([
    ['has run', (ledger: OnceLedger) => ledger.finish('k', ANSWER, 1)],
    ['is running', () => {}],
  ])('never says "not run" of a key that %s', (_, after) => {
    const ledger = new OnceLedger();
    ledger.admit(FIRST, 0);
    after(ledger);
    expect(ledger.refuse({ ...FIRST, attempt: 2 }, 2)).toBe(false);
  });

  it('never states "not run" for a key that may have run elsewhere', () => {
    expect(new OnceLedger().refuse({ ...FIRST, attempt: 2, fresh: false }, 0)).toBe(false);
  });

  it('permits another attempt if a run never reached the back end', async () => {
    const ledger = new OnceLedger();
    ledger.admit(FIRST, 0);
    ledger.withdraw(FIRST, 1);
    expect(ledger.admit({ ...FIRST, attempt: 2 }, 2)).toEqual({ type: 'run' });
  });

  it('refuses new keys rather than dropping a key before its lifetime ends', () => {
    const ledger = new OnceLedger({ keys: 1, lifetime: 100 });
    ledger.admit(FIRST, 0);
    ledger.finish('k', ANSWER, 0);
    expect(ledger.admit({ ...FIRST, key: 'other' }, 99)).toEqual({ type: 'full' });
    expect(ledger.admit({ ...FIRST, key: 'other' }, 100)).toEqual({ type: 'run' });
  });

  it('runs a key at most once for any order of attempts, refusals and ends', () => {
    const step = fc.record({
      action: fc.constantFrom('admit', 'refuse', 'finish'),
      attempt: fc.integer({ min: 1, max: 4 }),
      fresh: fc.boolean(),
    });
    const property = fc.property(fc.array(step, { maxLength: 20 }), (steps) => {
      const ledger = new OnceLedger();
      let runs = 0;
      let toldNotRun = 0;
      for (const [now, { action, attempt, fresh }] of steps.entries()) {
        const call = { key: 'k', attempt, fresh };
        if (action === 'finish') ledger.finish('k', ANSWER, now);
        if (action === 'refuse' && ledger.refuse(call, now)) toldNotRun = Math.max(toldNotRun, attempt);
        if (action === 'admit' && ledger.admit(call, now).type === 'run') {
          runs++;
          expect(attempt).toBeGreaterThan(toldNotRun);
        }
      }
      expect(runs).toBeLessThanOrEqual(1);
    });
    fc.assert(property, { seed: 1, numRuns: 2_000 });
  });
});

describe('the owners of keys', () => {
  function candidate(address: string, acknowledgedEpoch?: number, leaving = false): OwnerCandidate {
    return { address, leaving, acknowledgedEpoch };
  }
  const none = new Set<string>();
  const two = { epoch: 3, owners: ['a', 'b'], next: undefined };

  it('change only after every current owner has acknowledged the next list', () => {
    const moving = decideOwners(two, [candidate('a'), candidate('b'), candidate('c')], none)!;
    expect(moving).toEqual({ epoch: 3, owners: ['a', 'b'], next: ['a', 'b', 'c'] });
    expect(decideOwners(moving, [candidate('a', 3), candidate('b'), candidate('c')], none)).toBeUndefined();
    expect(
      decideOwners(moving, [candidate('a', 3), candidate('b', 2), candidate('c')], none),
    ).toBeUndefined();
    const settled = decideOwners(moving, [candidate('a', 3), candidate('b', 3), candidate('c')], none);
    expect(settled).toEqual({ epoch: 4, owners: ['a', 'b', 'c'], next: undefined });
  });

  it('do not change when one is disconnected, only when its machine is gone', () => {
    expect(decideOwners(two, [candidate('a')], none)).toBeUndefined();
    const moving = decideOwners(two, [candidate('a')], new Set(['b']))!;
    expect(moving.next).toEqual(['a']);
    expect(decideOwners(moving, [candidate('a', 3)], new Set(['b']))).toMatchObject({
      epoch: 4,
      owners: ['a'],
    });
    expect(decideOwners(moving, [candidate('a', 3)], none)).toBeUndefined();
  });

  it('exclude a machine that is leaving', () => {
    expect(decideOwners(two, [candidate('a'), candidate('b', undefined, true)], none)!.next).toEqual(['a']);
  });

  it('keep most of their keys when a machine joins', () => {
    const row = { epoch: 1, owners: ['a', 'b', 'c'], next: ['a', 'b', 'c', 'd'] };
    const keys = Array.from({ length: 1_000 }, (_, index) => `key-${index}`);
    const moved = keys.filter((key) => !keepsOwner(key, row));
    expect(moved.length).toBeLessThan(350);
    expect(moved.every((key) => ownerOf(key, row.next) === 'd')).toBe(true);
  });
});

describe('the ownership of an agent', () => {
  const row = { epoch: 1, owners: ['self'], next: undefined };

  function ownership(): { owned: KeyOwnership; at: (time: number) => KeyOwnership } {
    let now = 0;
    const owned = new KeyOwnership('self', () => now);
    owned.confirm(0);
    owned.update(row);
    return {
      owned,
      at(time) {
        now = time;
        return owned;
      },
    };
  }

  it('covers the keys of its current epoch only', () => {
    const { owned } = ownership();
    expect([owned.owns('k', 1), owned.owns('k', 0), owned.owns('k', 2)]).toEqual([true, false, false]);
  });

  it('ends for keys that move as soon as the next list is known, and cannot be restored', () => {
    const { owned } = ownership();
    owned.update({ ...row, next: ['other'] });
    owned.update(row);
    expect(owned.owns('k', 1)).toBe(false);
    expect(owned.claim()).toMatchObject({ movesAcknowledged: true });
  });

  it('ends after a long silence of the entries, until it is confirmed again', () => {
    const { at } = ownership();
    expect(at(MAX_CONFIRMATION_GAP).owns('k', 1)).toBe(true);
    const late = at(MAX_CONFIRMATION_GAP + 1);
    expect(late.owns('k', 1)).toBe(false);
    expect(late.confirm(MAX_CONFIRMATION_GAP + 1)).toBe(false);
    expect(late.owns('k', 1)).toBe(false);
    late.update({ ...row, epoch: 2 });
    expect(late.owns('k', 2)).toBe(true);
  });

  it('is not restored by a message that was delayed while the process was frozen', () => {
    const { at } = ownership();
    const thawed = at(MAX_CONFIRMATION_GAP + 1);
    thawed.update(row);
    expect(thawed.owns('k', 1)).toBe(false);
  });
});
