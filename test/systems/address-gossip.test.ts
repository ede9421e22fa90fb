/** Tests that entries that start at the same time learn each other's addresses without broadcasting all of them. */
import { describe, expect, it } from 'vitest';
import { seededRandom } from '../../src/model/random.js';
import { recipientsOfAllAddresses, recipientsOfNewAddress } from '../../src/systems/address-gossip.js';

const ENTRIES = 100;

/** Spreads a new address from the entries that received it first; returns how many know it and the messages sent. */
function spread(first: number, seed: number): { known: number; messages: number } {
  const random = seededRandom(seed);
  const knows = new Set(Array.from({ length: first }, (_, entry) => entry));
  const pending = [...knows];
  let messages = 0;
  for (let entry = pending.shift(); entry !== undefined; entry = pending.shift()) {
    const others = Array.from({ length: ENTRIES }, (_, other) => other).filter((other) => other !== entry);
    for (const other of recipientsOfNewAddress(others, random)) {
      messages++;
      if (knows.has(other)) continue;
      knows.add(other);
      pending.push(other);
    }
  }
  return { known: knows.size, messages };
}

describe('the gossip of addresses', () => {
  it('spreads a new address to nearly all of 100 entries with a tenth of the messages of a broadcast', () => {
    const runs = Array.from({ length: 20 }, (_, seed) => spread(3, seed));
    const mean = runs.reduce((sum, { known }) => sum + known, 0) / runs.length;
    expect(mean).toBeGreaterThan(99);
    for (const { messages } of runs) expect(messages).toBeLessThanOrEqual((ENTRIES * (ENTRIES - 1)) / 10);
  });

  it('sends addresses to all entries if there are few', () => {
    const others = [1, 2, 3, 4, 5, 6];
    expect(recipientsOfNewAddress(others, seededRandom(1))).toEqual(others);
    expect(recipientsOfAllAddresses(others, seededRandom(1))).toEqual(others);
  });

  it('eventually sends all addresses to each entry, including those that missed a new one', () => {
    const random = seededRandom(5);
    const others = Array.from({ length: ENTRIES - 1 }, (_, other) => other);
    const reached = new Set(
      Array.from({ length: 400 }, () => recipientsOfAllAddresses(others, random)).flat(),
    );
    expect(reached.size).toBe(ENTRIES - 1);
  });
});
