/** How a role runs as a process: started, drained on a first signal, stopped when its work has ended. */
import { existsSync, readFileSync } from 'node:fs';
import { setFlagsFromString } from 'node:v8';
import type { ZodType } from 'zod';
import type { Startable } from '../model/startable.js';
import { StopSignal, startUntilStopSignal } from '../model/stop-order.js';
import { endsWithin } from '../model/time-limit.js';
import { formatProblem, readDocument } from '../settings/document.js';
import { CommandFailure, EXIT_USAGE } from './errors.js';

/** Longest wait for requests in progress at a planned stop, in milliseconds. */
const DRAIN_LIMIT = 120_000;
const DRAIN_CHECK_INTERVAL = 50;
/** Parts that have not stopped after this are left to the end of the process, in milliseconds. */
const STOP_LIMIT = 5_000;

/** Reads a settings file; every problem is reported with file, line and field. */
export function readSettings<T>(file: string, schema: ZodType<T>): T {
  if (!existsSync(file)) throw new CommandFailure(`${file}:1: there is no such file`, EXIT_USAGE);
  const read = readDocument(file, readFileSync(file, 'utf8'), schema);
  if (read.ok) return read.value;
  throw new CommandFailure(read.problems.map(formatProblem).join('\n'), EXIT_USAGE);
}

/** A role that can be drained before it is stopped. */
export interface Drainable extends Startable {
  drain(): void;
  /** Requests in progress. */
  readonly active: number;
}

/**
 * Keeps the young generation of the heap at its first size. A burst of news at the start of a large system lets it grow
 * to 32 MB, which are never given back; a role has 128 MB in all.
 */
export function limitYoungGeneration(): void {
  setFlagsFromString('--semi-space-growth-factor=1');
}

/** Runs a part until the first signal; a role that can be drained ends its requests first, whatever signals follow. */
export async function runUntilSignal(part: Startable | Drainable, minDrainMilliseconds = 0): Promise<void> {
  await startUntilStopSignal(part, new StopSignal(['SIGTERM', 'SIGINT']));
  if ('drain' in part) await drainFully(part, minDrainMilliseconds);
  await endsWithin(part.stop(), STOP_LIMIT);
}

async function drainFully(part: Drainable, minMilliseconds: number): Promise<void> {
  const startedAt = performance.now();
  part.drain();
  const elapsed = () => performance.now() - startedAt;
  while (elapsed() < DRAIN_LIMIT && (elapsed() < minMilliseconds || part.active > 0)) {
    await new Promise((resolve) => setTimeout(resolve, DRAIN_CHECK_INTERVAL));
  }
}
