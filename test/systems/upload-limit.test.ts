/** How much of weights a process sends at the same time. */
import { expect, it } from 'vitest';
import { SMALL_BATCH, UploadLimit } from '../../src/systems/upload-limit.js';

const BATCH = 12;
const BYTES = 590_000;

it('a process sends some large batches at a time, and others once these have gone out', () => {
  const uploads = new UploadLimit();
  expect([1, 2, 3, 4].map(() => uploads.begin(BATCH, BYTES))).toEqual([true, true, true, false]);
  uploads.end(BATCH, BYTES);
  expect(uploads.begin(BATCH, BYTES)).toBe(true);
});

it('small batches always go out, and count for nothing', () => {
  const uploads = new UploadLimit();
  while (uploads.begin(BATCH, BYTES));
  const { bytes } = uploads;
  expect(uploads.begin(SMALL_BATCH, BYTES)).toBe(true);
  uploads.end(SMALL_BATCH, BYTES);
  expect(uploads.bytes).toBe(bytes);
});

it('one batch goes out however large it is', () => {
  const uploads = new UploadLimit();
  expect(uploads.begin(BATCH, 80_000_000)).toBe(true);
  expect(uploads.begin(BATCH, BYTES)).toBe(false);
});
