/** Parses the `Retry-After` header of back-end answers: for how long a back end wants no request from this process. */
import { type DecimalHeader, readDecimalHeader } from './decimal-header.js';

/** Result of parsing the header. */
export type RetryAfterNotice =
  | { type: 'requested'; milliseconds: number }
  | Exclude<DecimalHeader, { type: 'number' }>;

/** Longer times are shortened to this one, in milliseconds: one wrong value must not exclude a back end for good. */
const MAX_BACKOFF = 3_600_000;
const MILLISECONDS = 1_000;

/** Parses a value in seconds, which may have a fraction. A date or a repeated header is malformed. */
export function readRetryAfter(value: string | string[] | undefined): RetryAfterNotice {
  const read = readDecimalHeader(value, Number.POSITIVE_INFINITY);
  if (read.type !== 'number') return read;
  return { type: 'requested', milliseconds: Math.min(MAX_BACKOFF, read.value * MILLISECONDS) };
}
