/** Extracts the history of one request from the logs of several processes: its own lines and the related state changes. */

/** State changes are included from this long before the first line of the request, in milliseconds. */
const STATE_CHANGE_LOOKBACK = 3_000;

/** Names left out of {@link LogLine.fields}: the fields of every line, and the request id. */
const COMMON_FIELDS = new Set(['time', 'level', 'process', 'message', 'request']);

/** A parsed log line. */
export interface LogLine {
  /** Milliseconds since the epoch. */
  time: number;
  process: string;
  message: string;
  request: string | undefined;
  /** All other fields. */
  fields: Record<string, unknown>;
}

/** Parses a log line, ignoring any text before its JSON. Returns undefined if `text` is not a log line. */
export function parseLogLine(text: string): LogLine | undefined {
  const start = text.indexOf('{');
  if (start < 0) return undefined;
  let read: Record<string, unknown>;
  try {
    read = JSON.parse(text.slice(start)) as Record<string, unknown>;
  } catch {
    return undefined;
  }
  const { time, process, message, request } = read;
  if (typeof time !== 'string' || typeof process !== 'string' || typeof message !== 'string')
    return undefined;
  const fields = Object.fromEntries(Object.entries(read).filter(([name]) => !COMMON_FIELDS.has(name)));
  return {
    time: Date.parse(time),
    process,
    message,
    request: typeof request === 'string' ? request : undefined,
    fields,
  };
}

/**
 * Returns the lines of the request `id` sorted by time, with the state changes of the processes that handled it and those
 * about its back ends, from {@link STATE_CHANGE_LOOKBACK} before its first line until its last. Empty if no line has this
 * id.
 */
export function historyOf(id: string, lines: readonly LogLine[]): LogLine[] {
  const own = lines.filter(({ request }) => request === id);
  if (own.length === 0) return [];
  const handlers = new Set(own.map(({ process }) => process));
  const from = Math.min(...own.map(({ time }) => time)) - STATE_CHANGE_LOOKBACK;
  const until = Math.max(...own.map(({ time }) => time));
  const backEnds = new Set(own.flatMap(({ fields }) => backEndOf(fields) ?? []));
  const stateChanges = lines.filter(({ request, process, time, fields }) => {
    if (request !== undefined || time < from || time > until) return false;
    return handlers.has(process) || backEnds.has(backEndOf(fields) ?? '');
  });
  return [...own, ...stateChanges].sort((one, other) => one.time - other.time);
}

function backEndOf({ backEnd }: LogLine['fields']): string | undefined {
  return typeof backEnd === 'string' ? backEnd : undefined;
}

/** Formats each line as text: seconds since the first line of the request, process, message and fields. */
export function formatHistory(id: string, history: readonly LogLine[]): string[] {
  const first = history.find(({ request }) => request === id)?.time ?? 0;
  return history.map(({ time, process, message, request, fields }) => {
    const offset = ((time - first) / 1_000).toFixed(3).padStart(8);
    const formattedFields = Object.entries(fields).map(([name, value]) => `${name}=${JSON.stringify(value)}`);
    const mark = request === id ? '*' : ' ';
    return [`${mark}${offset}`, process, message, ...formattedFields].join(' ');
  });
}
