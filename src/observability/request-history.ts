/** What the logs of several processes tell of one request: its own lines, and the changes of belief around it. */

/** Changes of belief this long before the request are told with it, in milliseconds. */
const STATE_CHANGE_LOOKBACK = 3_000;

/** Fields that each line has, or that name what is asked for. */
const COMMON_FIELDS = new Set(['time', 'level', 'process', 'message', 'request']);

/** One line of a log. */
export interface LogLine {
  /** Milliseconds since the epoch. */
  time: number;
  process: string;
  message: string;
  request: string | undefined;
  /** The rest. */
  fields: Record<string, unknown>;
}

/** Reads a line of a log; what stands before its JSON is passed over. Undefined for what is no line of a log. */
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
 * The lines about the request `id`, in the order of time, with the changes of belief of the processes that handled it,
 * and those about its back ends, from some time before until its end. Empty where no line names it.
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

/** One line for a reader: seconds since the first line of the request, process, message, fields. */
export function formatHistory(id: string, history: readonly LogLine[]): string[] {
  const first = history.find(({ request }) => request === id)?.time ?? 0;
  return history.map(({ time, process, message, request, fields }) => {
    const offset = ((time - first) / 1_000).toFixed(3).padStart(8);
    const formattedFields = Object.entries(fields).map(([name, value]) => `${name}=${JSON.stringify(value)}`);
    const mark = request === id ? '*' : ' ';
    return [`${mark}${offset}`, process, message, ...formattedFields].join(' ');
  });
}
