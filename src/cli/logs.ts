/** Reads the log files given to commands. */
import { readFileSync } from 'node:fs';
import { type LogLine, parseLogLine } from '../observability/request-history.js';
import { CommandFailure, EXIT_USAGE } from './errors.js';

/** Reads the log lines of several files in sequence; text that is not a log line is skipped. */
export function readLogs(files: readonly string[]): LogLine[] {
  return files.flatMap((file) => readLines(file)).flatMap((text) => parseLogLine(text) ?? []);
}

function readLines(file: string): string[] {
  try {
    return readFileSync(file, 'utf8').split('\n');
  } catch (cause) {
    throw new CommandFailure(`${file} cannot be read: ${String(cause)}`, EXIT_USAGE);
  }
}
