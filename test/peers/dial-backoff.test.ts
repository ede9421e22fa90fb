/** Timeouts and pauses of the attempts to connect to an entry. */
import { expect, it } from 'vitest';
import { DialBackoff } from '../../src/peers/dial-backoff.js';

it('an entry that does not answer is tried several times within a second', () => {
  const backoff = new DialBackoff(4_000);
  let elapsed = 0;
  let tries = 0;
  while (elapsed < 1_000) {
    elapsed += backoff.timeout + backoff.noteFailure();
    tries++;
  }
  expect(tries).toBeGreaterThanOrEqual(3);
});

it('every time-out is valid for an abort signal', () => {
  const backoff = new DialBackoff(4_000);
  for (let tries = 0; tries < 12; tries++) {
    expect(AbortSignal.timeout(backoff.timeout).aborted).toBe(false);
    backoff.noteFailure();
  }
});

it('attempts become longer and less frequent, up to their bounds, until one succeeds', () => {
  const backoff = new DialBackoff(400);
  const first = backoff.timeout;
  const pauses = Array.from({ length: 10 }, () => backoff.noteFailure());
  expect(pauses).toEqual([...pauses].sort((one, other) => one - other));
  expect(pauses.at(-1)).toBe(400);
  expect(backoff.timeout).toBe(700);
  backoff.noteSuccess();
  expect(backoff.timeout).toBe(first);
});
