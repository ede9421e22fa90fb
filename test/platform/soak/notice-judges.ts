/** Checks that entries heed what workers state in their answers: that they are leaving, and back-offs. */
import type { SentRequest } from './callers.js';
import type { Arrival, WorkerStart } from './workers.js';
import type { SoakWorld } from './world.js';

/** Time within which an entry must have stopped sending to a worker that is leaving, in milliseconds. */
const DRAIN_TIME = 2_000;
/** Requests that were under way may arrive for this long after a refusal, in milliseconds. */
const NOTICE_TIME = 500;
/** Requests that a worker may get from one entry during a back-off. */
const ALLOWED_DURING_BACKOFF = 2;

/** Key of one entry and one start of a worker. */
function keyOf(entry: string, { worker, born }: WorkerStart): string {
  return `${entry} ${worker} ${born}`;
}

/** The arrivals of requests by the entry that sent them and the start of the worker that they reached. */
function arrivalsByPair(world: SoakWorld, sent: ReadonlyMap<string, SentRequest>): Map<string, Arrival[]> {
  const byPair = new Map<string, Arrival[]>();
  for (const arrival of world.log.arrivals) {
    const request = sent.get(arrival.requestId);
    if (request === undefined) continue;
    const key = keyOf(world.entryAt(request.entry), arrival);
    byPair.set(key, [...(byPair.get(key) ?? []), arrival]);
  }
  return byPair;
}

/**
 * Reports requests that were sent to an entry more than `DRAIN_TIME` after it had passed on an answer of a worker that was
 * leaving, and that reached that start of the worker. Only an interruption of the entry excuses that.
 */
export function judgeLeaving(world: SoakWorld, sent: readonly SentRequest[]): string[] {
  const byId = new Map(sent.map((request) => [request.id, request]));
  const arrivals = arrivalsByPair(world, byId);
  const toldAt = new Map<string, { entry: string; start: WorkerStart; at: number }>();
  for (const { requestId, ...start } of world.log.leavingAnswers) {
    const request = byId.get(requestId);
    const seal = String(request?.headers['server-seal'] ?? '');
    // The answer of another worker may have been passed on.
    if (request?.answeredAt === undefined || !seal.startsWith(`${start.worker}.`)) continue;
    if (request.headers['server-leaving'] !== '1') continue;
    const entry = world.entryAt(request.entry);
    const key = keyOf(entry, start);
    const at = Math.min(request.answeredAt, toldAt.get(key)?.at ?? Number.POSITIVE_INFINITY);
    toldAt.set(key, { entry, start, at });
  }
  return [...toldAt].flatMap(([key, { entry, start, at }]) => {
    const late = (arrivals.get(key) ?? []).filter((arrival) => {
      const { sentAt } = byId.get(arrival.requestId)!;
      return sentAt > at + DRAIN_TIME && world.disruptions.wereRunning([entry], at, arrival.at);
    });
    const [first] = late;
    if (first === undefined) return [];
    const after = Math.round(first.at - at);
    return [
      `DRAIN: ${late.length} requests from ${entry} reach ${start.worker}, which leaves, as of ${after} ms after its answer`,
    ];
  });
}

/** Reports workers that got more requests from one entry than allowed during a back-off. Only an interruption of either excuses that. */
export function judgeBackoffs(world: SoakWorld, sent: readonly SentRequest[]): string[] {
  const byId = new Map(sent.map((request) => [request.id, request]));
  const arrivals = arrivalsByPair(world, byId);
  const worst = new Map<string, { count: number; text: string }>();
  for (const { requestId, at, backoff, ...start } of world.log.backoffRequests) {
    const request = byId.get(requestId);
    if (request === undefined) continue;
    const entry = world.entryAt(request.entry);
    const endsAt = at + backoff;
    if (!world.disruptions.wereRunning([entry, start.worker], at, endsAt)) continue;
    const key = keyOf(entry, start);
    const during = (arrivals.get(key) ?? []).filter(
      (arrival) => arrival.at > at + NOTICE_TIME && arrival.at <= endsAt,
    );
    if (during.length <= Math.max(ALLOWED_DURING_BACKOFF, worst.get(key)?.count ?? 0)) continue;
    const text = `BUDGET: ${during.length} requests from ${entry} reach ${start.worker} in a back-off of ${backoff} ms`;
    worst.set(key, { count: during.length, text });
  }
  return [...worst.values()].map(({ text }) => text);
}
