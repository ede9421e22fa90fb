/** Runs a role as a process: starts it, drains it at the first signal, and stops it when its requests have ended. */
import { existsSync, readFileSync } from 'node:fs';
import { setFlagsFromString } from 'node:v8';
import type { ZodType } from 'zod';
import type { Startable } from '../model/startable.js';
import { StopSignal, startUntilStopSignal } from '../model/stop-signal.js';
import { endsWithin } from '../model/time-limit.js';
import { UncaughtErrors } from '../model/uncaught-errors.js';
import { socketsRead } from '../server/sockets-read.js';
import { formatProblem, readDocument } from '../settings/document.js';
import { CommandFailure, EXIT_FAILURE, EXIT_USAGE } from './errors.js';

/** Maximum time to wait for requests in progress at a planned stop, in milliseconds. */
const DRAIN_TIMEOUT = 120_000;
const DRAIN_CHECK_INTERVAL = 50;
/** Maximum time to wait for a component to stop before the process exits, in milliseconds. */
const STOP_TIMEOUT = 5_000;

/** Reads and validates a settings file; throws a {@link CommandFailure} with the file, line and field of every problem. */
export function readSettings<T>(file: string, schema: ZodType<T>): T {
  if (!existsSync(file)) throw new CommandFailure(`${file}:1: there is no such file`, EXIT_USAGE);
  const read = readDocument(file, readFileSync(file, 'utf8'), schema);
  if (read.ok) return read.value;
  throw new CommandFailure(read.problems.map(formatProblem).join('\n'), EXIT_USAGE);
}

/** A role that can be drained before it is stopped. */
export interface Drainable extends Startable {
  drain(): void;
  /** Number of requests in progress. */
  readonly active: number;
}

/**
 * Keeps the young generation of the heap at its initial size. Otherwise, the burst of updates at the start of a large system
 * makes it grow to 32 MB, which are never returned; a role has 128 MB of memory in total.
 */
export function limitYoungGeneration(): void {
  setFlagsFromString('--semi-space-growth-factor=1');
}

/**
 * Runs a component until the first signal, or an error that nobody handled. A drainable role then finishes its requests; later
 * signals are ignored. Throws a {@link CommandFailure} after an error.
 */
export async function runUntilSignal(part: Startable | Drainable, minDrainMilliseconds = 0): Promise<void> {
  const signal = new StopSignal(['SIGTERM', 'SIGINT']);
  const errors = new UncaughtErrors(({ cause }) => process.stderr.write(`uncaught error: ${cause}\n`));
  await startUntilStopSignal(part, { received: Promise.race([signal.received, errors.first]) });
  if ('drain' in part) await drainFully(part, minDrainMilliseconds);
  await endsWithin(part.stop(), STOP_TIMEOUT);
  if (errors.count > 0) throw new CommandFailure('stopped after an uncaught error', EXIT_FAILURE);
}

async function drainFully(part: Drainable, minMilliseconds: number): Promise<void> {
  const startedAt = performance.now();
  part.drain();
  const elapsed = () => performance.now() - startedAt;
  while (elapsed() < DRAIN_TIMEOUT && (elapsed() < minMilliseconds || part.active > 0)) {
    await new Promise((resolve) => setTimeout(resolve, DRAIN_CHECK_INTERVAL));
    await socketsRead();
  }
}
