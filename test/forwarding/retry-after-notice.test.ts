/** Tests parsing of the `Retry-After` header of back ends. */
import { expect, it } from 'vitest';
import { readRetryAfter } from '../../src/forwarding/retry-after-notice.js';

it.each([
  ['3', 3_000],
  ['0.25', 250],
  ['0', 0],
  [' 2 ', 2_000],
  ['3601', 3_600_000],
  ['9'.repeat(400), 3_600_000],
])('%j is a time, of an hour at most', (value, milliseconds) => {
  expect(readRetryAfter(value)).toEqual({ type: 'requested', milliseconds });
});

it.each([
  [''],
  ['soon'],
  ['-1'],
  ['+1'],
  ['1e3'],
  ['NaN'],
  ['Infinity'],
  ['3s'],
  ['3, 3'],
  ['Fri, 04 Dec 2026 01:00:00 GMT'],
])('%j is malformed', (value) => {
  expect(readRetryAfter(value)).toMatchObject({ type: 'malformed' });
});

it('a repeated header is malformed', () => {
  expect(readRetryAfter(['3', '3'])).toMatchObject({ type: 'malformed' });
});

it('a missing header is absent', () => {
  expect(readRetryAfter(undefined)).toEqual({ type: 'absent' });
});
