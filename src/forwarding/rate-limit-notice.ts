/** Parses the rate limit header of back-end answers. */

/** Result of parsing the rate limit header. */
export type RateLimitNotice =
  /** Requests per second that the back end takes from all entries together. */
  | { type: 'named'; rate: number }
  | { type: 'absent' }
  /** The header is present but is not a valid rate. `text` is its value, truncated for the log. */
  | { type: 'malformed'; text: string };

/** Highest accepted rate, in requests per second. */
const MAX_RATE = 100_000;
const DECIMAL_NUMBER = /^\d+(\.\d+)?$/;
/** Malformed values are truncated to this many characters, to bound the size of log lines. */
const MAX_LOGGED_LENGTH = 40;

/** Parses the header value. A repeated header is malformed. */
export function readRateLimit(value: string | string[] | undefined): RateLimitNotice {
  if (value === undefined) return { type: 'absent' };
  const text = String(value).trim();
  const rate = Number(text);
  const isRate = !Array.isArray(value) && DECIMAL_NUMBER.test(text) && rate <= MAX_RATE;
  return isRate ? { type: 'named', rate } : { type: 'malformed', text: text.slice(0, MAX_LOGGED_LENGTH) };
}
