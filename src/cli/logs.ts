/** Reading the logs that commands work on. */
import { readFileSync } from 'node:fs';
import { type LogLine, parseLogLine } from '../observability/request-history.js';
import { CommandFailure, EXIT_USAGE } from './errors.js';

/** The lines of several logs, one file after the other; what is no line of a log is passed over. */
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
