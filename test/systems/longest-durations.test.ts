/** Tests the expected duration of a request, based on recent requests. */
import { expect, it } from 'vitest';
import { LongestDurations } from '../../src/systems/longest-durations.js';

const LIMIT = 6_000;

/** `count` requests, one every 100 ms from `from` on, that take `duration` each. */
function seen(durations: LongestDurations, tokens: number, count: number, duration: number, from = 0): void {
  for (let index = 0; index < count; index++) durations.noteSent('write', tokens, from + index * 100);
  for (let index = 0; index < count; index++)
    durations.noteEnded('write', tokens, duration, from + index * 100 + duration);
}

it('expects nothing if there are few requests, or only requests of another kind', () => {
  const durations = new LongestDurations();
  seen(durations, 100, 5, 500);
  expect(durations.expected('write', 100, LIMIT, 7_000)).toBeUndefined();
  seen(durations, 100, 20, 500, 1_000);
  expect(durations.expected('write', 100, LIMIT, 7_000)).toBeGreaterThanOrEqual(500);
  expect(durations.expected('write', 100, LIMIT, 7_000)).toBeLessThan(1_000);
  expect(durations.expected('read', 100, LIMIT, 7_000)).toBeUndefined();
});

it('expects nothing while long requests cannot have ended yet', () => {
  const durations = new LongestDurations();
  seen(durations, 100, 20, 500);
  expect(durations.expected('write', 100, LIMIT, 3_000)).toBeUndefined();
  expect(durations.expected('write', 100, LIMIT, 6_000)).toBeGreaterThanOrEqual(500);
});

it('uses larger sizes for smaller ones if these are few, never the reverse', () => {
  const durations = new LongestDurations();
  seen(durations, 100, 20, 500);
  expect(durations.expected('write', 400, LIMIT, 7_000)).toBeUndefined();
  seen(durations, 400, 20, 2_000);
  expect(durations.expected('write', 20, LIMIT, 7_000)).toBeGreaterThanOrEqual(500);
  expect(durations.expected('write', 20, LIMIT, 7_000)).toBeLessThan(1_000);
  expect(durations.expected('write', 400, LIMIT, 7_000)).toBeGreaterThanOrEqual(2_000);
});

it('includes the time that requests in progress have taken so far', () => {
  const durations = new LongestDurations();
  seen(durations, 100, 20, 500);
  durations.noteAge('write', 100, 3_000, 7_000);
  expect(durations.expected('write', 100, LIMIT, 7_000)).toBeGreaterThanOrEqual(3_000);
});

it('forgets old durations', () => {
  const durations = new LongestDurations();
  seen(durations, 100, 20, 5_000);
  seen(durations, 100, 20, 500, 25_000);
  expect(durations.expected('write', 100, LIMIT, 40_000)).toBeLessThan(1_000);
  expect(durations.expected('write', 100, LIMIT, 90_000)).toBeUndefined();
});
