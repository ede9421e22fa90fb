/** Structured logs: one JSON line for each change of state; what happens often is counted, not logged. */
import { Logger } from 'tslog/slim';

/** Levels in rising order of weight. */
export type LogLevel = 'debug' | 'info' | 'warn' | 'error';

/** A log of one process. */
export interface Log {
  debug(message: string, fields?: object): void;
  info(message: string, fields?: object): void;
  warn(message: string, fields?: object): void;
  error(message: string, fields?: object): void;
}

/** Creates the log of the process `name`; lines go to standard error. */
export function createLog(name: string, level: LogLevel): Log {
  const logger = new Logger<Record<string, unknown>>({
    type: 'hidden',
    minLevel: level.toUpperCase() as 'INFO',
    bindings: { process: name },
    meta: { attachContext: false },
  });
  logger.attachTransport({
    format: 'json',
    write: (_record, line) => void process.stderr.write(`${line}\n`),
  });
  return {
    debug: (message, fields = {}) => void logger.debug(fields, message),
    info: (message, fields = {}) => void logger.info(fields, message),
    warn: (message, fields = {}) => void logger.warn(fields, message),
    error: (message, fields = {}) => void logger.error(fields, message),
  };
}

/** A log that keeps nothing, for tests. */
export const silentLog: Log = { debug: () => {}, info: () => {}, warn: () => {}, error: () => {} };
