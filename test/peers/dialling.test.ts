/** How often and for how long an entry is tried. */
import { expect, it } from 'vitest';
import { Dialling } from '../../src/peers/dialling.js';

it('a machine that comes back is tried anew soon, and several times before one that answers nothing would be given up', () => {
  const dialling = new Dialling(4_000);
  let elapsed = 0;
  let tries = 0;
  while (elapsed < 1_000) {
    elapsed += dialling.limit + dialling.noteFailure();
    tries++;
  }
  expect(tries).toBeGreaterThanOrEqual(3);
});

it('every limit is one that a signal can be given', () => {
  const dialling = new Dialling(4_000);
  for (let tries = 0; tries < 12; tries++) {
    expect(AbortSignal.timeout(dialling.limit).aborted).toBe(false);
    dialling.noteFailure();
  }
});

it('tries become longer and rarer, up to their bounds, until one is answered', () => {
  const dialling = new Dialling(400);
  const first = dialling.limit;
  const pauses = Array.from({ length: 10 }, () => dialling.noteFailure());
  expect(pauses).toEqual([...pauses].sort((one, other) => one - other));
  expect(pauses.at(-1)).toBe(400);
  expect(dialling.limit).toBe(700);
  dialling.noteSuccess();
  expect(dialling.limit).toBe(first);
});
