/** Tests parsing of the rate limit header. */
import { expect, it } from 'vitest';
import { readRateLimit } from '../../src/forwarding/rate-limit-notice.js';

it.each([
  ['3.5', 3.5],
  ['0', 0],
  ['0.04', 0.04],
  [' 12 ', 12],
  ['100000', 100_000],
])('%j is a valid rate', (value, rate) => {
  expect(readRateLimit(value)).toEqual({ type: 'named', rate });
});

it.each([
  [''],
  ['.5'],
  ['2.'],
  ['-1'],
  ['+1'],
  ['1e3'],
  ['0x10'],
  ['NaN'],
  ['Infinity'],
  ['3.5/s'],
  ['150/min'],
  ['3.5, 3.5'],
  ['100001'],
  ['9'.repeat(400)],
])('%j is malformed', (value) => {
  expect(readRateLimit(value)).toMatchObject({ type: 'malformed' });
});

it('a repeated header is malformed', () => {
  expect(readRateLimit(['3.5', '3.5'])).toMatchObject({ type: 'malformed' });
});

it('a missing header is absent', () => {
  expect(readRateLimit(undefined)).toEqual({ type: 'absent' });
});
