/** What the outcomes of requests say of a back end. */
import { expect, it } from 'vitest';
import { BackEndHealth } from '../../src/forwarding/back-end-health.js';

it('the share of requests that a back end refuses rises with refusals, falls with answers, and is forgotten', () => {
  const health = new BackEndHealth();
  expect(health.refusalShare(0)).toBe(0);
  health.note('overloaded', 0, 0);
  health.note('overloaded', 0, 0);
  expect(health.refusalShare(0)).toBeCloseTo(0.51);
  expect(health.refusalShare(10_000)).toBeCloseTo(0.255);
  health.note('served', 10_000, 0);
  expect(health.refusalShare(10_000)).toBeCloseTo(0.1785);
  health.note('failed', 10_000, 0);
  expect(health.refusalShare(10_000)).toBeCloseTo(0.1785);
});
