/** Parses the rate limit header of back-end answers. */
import { type DecimalHeader, readDecimalHeader } from './decimal-header.js';

/** Result of parsing the rate limit header. */
export type RateLimitNotice =
  /** Requests per second that the back end takes from all entries together. */
  { type: 'named'; rate: number } | Exclude<DecimalHeader, { type: 'number' }>;

/** Highest accepted rate, in requests per second. */
const MAX_RATE = 100_000;

/** Parses the header value. A repeated header is malformed. */
export function readRateLimit(value: string | string[] | undefined): RateLimitNotice {
  const read = readDecimalHeader(value, MAX_RATE);
  return read.type === 'number' ? { type: 'named', rate: read.value } : read;
}
