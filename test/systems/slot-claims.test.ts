/** Tests the statements of an entry about the slots that it holds and requests. */
import { describe, expect, it } from 'vitest';
import { hash32, seededRandom } from '../../src/model/random.js';
import { processOf, SlotClaims } from '../../src/systems/slot-claims.js';

describe('the claims of an entry', () => {
  it('are stated to each agent: those that have a slot, those that wait, and the next number', () => {
    const claims = new SlotClaims(seededRandom(1));
    const [first, second, third] = ['a', 'a', 'b'].map((agent) => claims.open(agent));
    expect(claims.noteGranted(second)).toBe(true);
    const process = processOf(first);
    expect(claims.statements()).toEqual([
      { agent: 'a', statement: { process, next: 3, held: [1], waiting: [0] } },
      { agent: 'b', statement: { process, next: 3, held: [], waiting: [2] } },
    ]);
    expect(claims.close(third)).toBe(true);
    expect(claims.close(third)).toBe(false);
  });

  it('are granted a slot once, however often the grant is repeated', () => {
    const claims = new SlotClaims(seededRandom(1));
    const id = claims.open('a');
    expect([claims.noteGranted(id), claims.noteGranted(id)]).toEqual([true, false]);
    claims.close(id);
    expect([claims.noteGranted(id), claims.isOpen(id)]).toEqual([false, false]);
  });

  it('are stated several times after all are closed, as each statement may be lost, and then no longer', () => {
    const claims = new SlotClaims(seededRandom(1));
    claims.close(claims.open('a'));
    const told = Array.from({ length: 5 }, () => claims.statements());
    expect(told.map(({ length }) => length)).toEqual([1, 1, 1, 0, 0]);
    expect(told[0][0].statement).toMatchObject({ next: 1, held: [], waiting: [] });
  });

  it('of two processes at one address are distinguished', () => {
    // Each process uses a random generator whose seed is the hash of its identity.
    const identities = ['entry#1c5f', 'entry#a20e'];
    const [one, other] = identities.map((name) => new SlotClaims(seededRandom(hash32(name))).open('a'));
    expect(processOf(one)).not.toBe(processOf(other));
  });
});
