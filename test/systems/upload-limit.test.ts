/** Tests the limit of the weights that a process uploads concurrently. */
import { expect, it } from 'vitest';
import { SMALL_BATCH, UploadLimit } from '../../src/systems/upload-limit.js';

const BATCH = 12;
const BYTES = 590_000;

it('a process sends a limited number of large batches at a time, and others once these have been sent', () => {
  const uploads = new UploadLimit();
  expect([1, 2, 3, 4].map(() => uploads.begin(BATCH, BYTES))).toEqual([true, true, true, false]);
  uploads.end(BATCH, BYTES);
  expect(uploads.begin(BATCH, BYTES)).toBe(true);
});

it('small batches are always sent and do not count', () => {
  const uploads = new UploadLimit();
  while (uploads.begin(BATCH, BYTES));
  const { bytes } = uploads;
  expect(uploads.begin(SMALL_BATCH, BYTES)).toBe(true);
  uploads.end(SMALL_BATCH, BYTES);
  expect(uploads.bytes).toBe(bytes);
});

it('a single batch is sent regardless of its size', () => {
  const uploads = new UploadLimit();
  expect(uploads.begin(BATCH, 80_000_000)).toBe(true);
  expect(uploads.begin(BATCH, BYTES)).toBe(false);
});
