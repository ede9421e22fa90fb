/** Tests that entries that start at the same time learn each other's addresses without broadcasting all of them. */
import { describe, expect, it } from 'vitest';
import { seededRandom } from '../../src/model/random.js';
import { toldInTurn, toldOfNew } from '../../src/systems/address-gossip.js';

const ENTRIES = 100;

/** Spreads a new address from the entries that received it first; returns how many know it and the messages sent. */
function spread(first: number, seed: number): { known: number; messages: number } {
  const random = seededRandom(seed);
  const knows = new Set(Array.from({ length: first }, (_, entry) => entry));
  const untold = [...knows];
  let messages = 0;
  for (let entry = untold.shift(); entry !== undefined; entry = untold.shift()) {
    const others = Array.from({ length: ENTRIES }, (_, other) => other).filter((other) => other !== entry);
    for (const other of toldOfNew(others, random)) {
      messages++;
      if (knows.has(other)) continue;
      knows.add(other);
      untold.push(other);
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
    expect(toldOfNew(others, seededRandom(1))).toEqual(others);
    expect(toldInTurn(others, seededRandom(1))).toEqual(others);
  });

  it('eventually sends all addresses to each entry, including those that missed a new one', () => {
    const random = seededRandom(5);
    const others = Array.from({ length: ENTRIES - 1 }, (_, other) => other);
    const told = new Set(Array.from({ length: 400 }, () => toldInTurn(others, random)).flat());
    expect(told.size).toBe(ENTRIES - 1);
  });
});
