/** Structured logs: one JSON line for each change of state; what happens often is counted, not logged. */
import { Logger } from 'tslog/slim';
import { BoundedOutput, type LineStream } from './bounded-output.js';

/** Levels in rising order of weight. */
export type LogLevel = 'debug' | 'info' | 'warn' | 'error';

const LEVELS: readonly LogLevel[] = ['debug', 'info', 'warn', 'error'];

/** A log of one process. */
export interface Log {
  debug(message: string, fields?: object): void;
  info(message: string, fields?: object): void;
  warn(message: string, fields?: object): void;
  error(message: string, fields?: object): void;
}

/** What the library hands to a transport. */
interface LoggedRecord {
  0: object;
  1: string;
  _logMeta: { date: Date; logLevelName: string };
}

/** Creates the log of the process `name`; lines go to standard output, or to `stream`. */
export function createLog(name: string, level: LogLevel, stream: LineStream = process.stdout): Log {
  const output = new BoundedOutput(stream);
  const logger = new Logger<Record<string, unknown>>({
    type: 'hidden',
    minLevel: level.toUpperCase() as 'INFO',
    meta: { attachContext: false },
  });
  logger.attachTransport({
    format: (record) => lineOf(name, record as unknown as LoggedRecord),
    write: (_record, line) => output.writeAdmitted(line),
  });
  // A line that will not be written costs nothing: under load that is most of them.
  const write = (at: LogLevel) => {
    if (LEVELS.indexOf(at) < LEVELS.indexOf(level)) return () => {};
    return (message: string, fields: object = {}) => {
      if (output.admits(message)) logger[at](fields, message);
    };
  };
  return { debug: write('debug'), info: write('info'), warn: write('warn'), error: write('error') };
}

/** One line of what the library hands over: the arguments of the call by their position, and what it adds. */
function lineOf(process: string, record: LoggedRecord): string {
  const { 0: fields, 1: message, _logMeta: meta } = record;
  return JSON.stringify({ time: meta.date, level: meta.logLevelName, process, message, ...fields });
}

/** A log that keeps nothing, for tests. */
export const silentLog: Log = { debug: () => {}, info: () => {}, warn: () => {}, error: () => {} };
