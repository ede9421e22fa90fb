/** How often and for how long an entry is tried. */
import { expect, it } from 'vitest';
import { DialBackoff } from '../../src/peers/dialling.js';

it('a machine that comes back is tried anew soon, and several times before one that answers nothing would be given up', () => {
  const backoff = new DialBackoff(4_000);
  let elapsed = 0;
  let tries = 0;
  while (elapsed < 1_000) {
    elapsed += backoff.timeout + backoff.noteFailure();
    tries++;
  }
  expect(tries).toBeGreaterThanOrEqual(3);
});

it('every limit is one that a signal can be given', () => {
  const backoff = new DialBackoff(4_000);
  for (let tries = 0; tries < 12; tries++) {
    expect(AbortSignal.timeout(backoff.timeout).aborted).toBe(false);
    backoff.noteFailure();
  }
});

it('tries become longer and rarer, up to their bounds, until one is answered', () => {
  const backoff = new DialBackoff(400);
  const first = backoff.timeout;
  const pauses = Array.from({ length: 10 }, () => backoff.noteFailure());
  expect(pauses).toEqual([...pauses].sort((one, other) => one - other));
  expect(pauses.at(-1)).toBe(400);
  expect(backoff.timeout).toBe(700);
  backoff.noteSuccess();
  expect(backoff.timeout).toBe(first);
});
