/** Parses headers of back-end answers that hold one decimal number. */

/** Result of parsing a header with a decimal number. */
export type DecimalHeader =
  | { type: 'number'; value: number }
  | { type: 'absent' }
  /** The header is present but holds no number in range. `text` is its value, truncated for the log. */
  | { type: 'malformed'; text: string };

const DECIMAL_NUMBER = /^\d+(\.\d+)?$/;
/** Malformed values are truncated to this many characters, to bound the size of log lines. */
const MAX_LOGGED_LENGTH = 40;

/** Parses a header that holds a number from 0 to `max`. A repeated header is malformed. */
export function readDecimalHeader(value: string | string[] | undefined, max: number): DecimalHeader {
  if (value === undefined) return { type: 'absent' };
  const text = String(value).trim();
  const parsed = Number(text);
  const isInRange = !Array.isArray(value) && DECIMAL_NUMBER.test(text) && parsed <= max;
  return isInRange
    ? { type: 'number', value: parsed }
    : { type: 'malformed', text: text.slice(0, MAX_LOGGED_LENGTH) };
}
