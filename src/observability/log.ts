/** Structured logs: one JSON line per state change; frequent events are counted in metrics instead. */
import { Logger } from 'tslog/slim';
import { BoundedOutput, type LineStream } from './bounded-output.js';

/** Levels in order of increasing severity. */
export type LogLevel = 'debug' | 'info' | 'warn' | 'error';

const LEVELS: readonly LogLevel[] = ['debug', 'info', 'warn', 'error'];

/** The log of one process. */
export interface Log {
  debug(message: string, fields?: object): void;
  info(message: string, fields?: object): void;
  warn(message: string, fields?: object): void;
  error(message: string, fields?: object): void;
}

/** The record that tslog passes to a transport. */
interface LoggedRecord {
  0: object;
  1: string;
  _logMeta: { date: Date; logLevelName: string };
}

/** Creates the log of the process `name`, which writes to `stream`. */
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
  // Level and limit are checked before the record is built: lines that are not written, most of them under load, cost nothing.
  const write = (at: LogLevel) => {
    if (LEVELS.indexOf(at) < LEVELS.indexOf(level)) return () => {};
    return (message: string, fields: object = {}) => {
      if (output.admits(message)) logger[at](fields, message);
    };
  };
  return { debug: write('debug'), info: write('info'), warn: write('warn'), error: write('error') };
}

/** Formats a tslog record, which holds the arguments of the call by position and metadata, as one JSON line. */
function lineOf(process: string, record: LoggedRecord): string {
  const { 0: fields, 1: message, _logMeta: meta } = record;
  return JSON.stringify({ time: meta.date, level: meta.logLevelName, process, message, ...fields });
}

/** A log that discards everything, for tests. */
export const silentLog: Log = { debug: () => {}, info: () => {}, warn: () => {}, error: () => {} };
