/** Stops of entries beside standstills and slow workers: none of them is a reason to lose a request. */

import type { Random } from '../../../src/model/random.js';
import type { SentRequest } from './callers.js';
import { drawBetween, entriesOf, type Fault, noCleanup, pick } from './fault.js';
import { shortestTimeout } from './judges.js';
import type { Run } from './workers.js';
import { GRACE_PERIOD, type SoakWorld, type SystemProcess } from './world.js';

/** Longest time without a processor, in milliseconds: before SIGTERM, around it, and later in the grace period. */
const MAX_BEFORE = 400;
const MAX_AFTER = 1_500;
const MAX_LATER = 600;
/** Times after SIGTERM at which a later standstill begins, in milliseconds. */
const LATER_FROM = 400;
const LATER_TO = 6_500;
/** Parts that are due at least this long after the last one, in milliseconds, belong to long streams, which only slow down a little. */
const LONG_INTERVAL = 100;
const MAX_SLOWDOWN = 30;
const SLOWDOWN_OF_LONG = 0.1;
/** A request that ends this long before its timeout, in milliseconds, did not time out. */
const TIMEOUT_MARGIN = 100;
const GATEWAY_TIMEOUT = 504;

/** Suspends a process; resolves once it has been resumed. */
async function suspend(world: SoakWorld, { child, name }: SystemProcess, duration: number): Promise<void> {
  world.disruptions.recordInterruption(name, duration);
  child?.kill('SIGSTOP');
  await new Promise((resolve) => setTimeout(resolve, duration));
  child?.kill('SIGCONT');
}

export const STOPS: Fault[] = [
  {
    name: 'SIGTERM to an entry that gets no processor',
    mustFinish: true,
    begin(world, random) {
      const chosen = pick(entriesOf(world), random);
      const before = drawBetween(random, 0, MAX_BEFORE);
      const after = drawBetween(random, 50, MAX_AFTER);
      void suspend(world, chosen, before + after);
      setTimeout(() => world.terminate(chosen), before);
      const detail = `${chosen.name} from ${before} ms before to ${after} ms after it`;
      return { duration: before + after, end: noCleanup, detail };
    },
  },
  {
    name: 'SIGTERM to an entry that later gets no processor',
    mustFinish: true,
    begin(world, random) {
      const chosen = pick(entriesOf(world), random);
      const at = drawBetween(random, LATER_FROM, LATER_TO);
      const standstill = drawBetween(random, 50, MAX_LATER);
      const { child } = chosen;
      world.terminate(chosen);
      setTimeout(() => {
        if (chosen.child === child) void suspend(world, chosen, standstill);
      }, at);
      const detail = `${chosen.name} for ${standstill} ms after ${at} ms`;
      return { duration: at + standstill, end: noCleanup, detail };
    },
  },
];

/**
 * Makes workers slower the longer entries have been stopping, as their callers come through the others: by a factor drawn for each
 * part of an answer.
 */
export function slowDownWithStops(world: SoakWorld, random: Random): void {
  world.log.timeOf = (usual) => {
    const most = usual >= LONG_INTERVAL ? SLOWDOWN_OF_LONG : MAX_SLOWDOWN;
    return usual * (1 + most * shareOfStops(world) * random.fraction());
  };
}

/** Sum of the shares of their grace period that the stopping entries have used. */
function shareOfStops({ disruptions }: SoakWorld): number {
  const now = performance.now();
  const stopping = new Map<string, number>();
  for (const { process, at, endedAt } of disruptions.stops)
    if (endedAt > now && !stopping.has(process)) stopping.set(process, at);
  return [...stopping.values()].reduce((sum, at) => sum + Math.min(1, (now - at) / GRACE_PERIOD), 0);
}

/**
 * Reports requests that an entry took after SIGTERM, passed on, and answered with 504 before their timeout: it could not wait for
 * what it had promised. Those whose connection it closed are reported as cut.
 */
export function judgeStopPromises(world: SoakWorld, sent: readonly SentRequest[]): string[] {
  const runs = new Map<string, Run>(world.log.runs.map((run) => [run.requestId, run]));
  return sent.flatMap((request) => {
    const { id, kind, entry, status, abandonedAt, sentAt, endedAt } = request;
    const hasTimedOut = endedAt - sentAt >= shortestTimeout(world, request) - TIMEOUT_MARGIN;
    if (status !== GATEWAY_TIMEOUT || abandonedAt !== undefined || hasTimedOut || !runs.has(id)) return [];
    const process = world.entryAt(entry);
    const stop = world.disruptions.stops.find(
      (one) => one.process === process && one.at <= sentAt && sentAt < one.endedAt,
    );
    if (stop === undefined) return [];
    const since = (at: number) => Math.round(at - stop.at);
    return [
      `LOST: ${id} (${kind}) at ${process}, sent ${since(sentAt)} ms after SIGTERM, got 504 after ${since(endedAt)} ms`,
    ];
  });
}
