/** Limits of calls. */
import { expect, it } from 'vitest';
import { withLimit } from '../../src/model/time-limit.js';

it('a limit that is no whole number is taken, and ends the call', async () => {
  const limited = withLimit(new AbortController().signal, 12.5);
  expect(limited.aborted).toBe(false);
  await new Promise((resolve) => limited.addEventListener('abort', resolve));
  expect(limited.reason).toMatchObject({ name: 'TimeoutError' });
});

it('a call ends with its signal before its limit', () => {
  const controller = new AbortController();
  const limited = withLimit(controller.signal, 60_000);
  controller.abort();
  expect(limited.aborted).toBe(true);
});
