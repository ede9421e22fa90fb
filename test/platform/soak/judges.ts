/** Checks made over the whole record of a soak once it has ended: planned stops, retries, departed callers and rate limits. */
import { allowedInWindow, mostInWindow } from '../../forwarding/rate-limit-audit.js';
import { deadlineOf, type SentRequest } from './callers.js';
import type { PlannedStop } from './disruptions.js';
import type { Arrival, Run } from './workers.js';
import { GRACE_PERIOD, RETRY_BUDGET, type SoakWorld } from './world.js';

/**
 * A request that ran nowhere and whose connection closed within this time of its last byte, in milliseconds, is taken to have
 * been sent while the entry was closing the connection.
 */
const CLOSE_RACE_TIME = 200;
/** Disruptions up to this long before a request, in milliseconds, excuse it, because their effects outlast them. */
const DISRUPTION_LOOKBACK = 4_000;
/** A request sent up to this long after SIGTERM, in milliseconds, may be cut in the last part of the grace period. */
const EARLY_REQUEST_TIME = 3_000;
const GRACE_LAST_PART = GRACE_PERIOD / 6;
/** Time within which a caller's departure must reach the worker of its request, in milliseconds. */
const CANCELLATION_TIME = 500;
/** Arrivals count against a new rate limit only after this time, in milliseconds, since entries must learn of it first. */
const LIMIT_LEARNING_TIME = 3_000;
/** Late arrivals or continuing runs for departed callers that are tolerated, and the share of runs that may continue. */
const TOLERATED_COUNT = 3;
const MAX_CONTINUING_SHARE = 0.25;
const SERVICE_OF: Partial<Record<SentRequest['kind'], string>> = {
  write: 'engines',
  long: 'engines',
  once: 'plain',
  again: 'plain',
};

/** Reports requests that a planned stop cut or left unanswered, though no unplanned disruption excuses that. */
export function judgePlannedStops(world: SoakWorld, sent: readonly SentRequest[]): string[] {
  const runs = runsById(world);
  return sent.flatMap((request) => {
    const ownRuns = runs.get(request.id) ?? [];
    const stop = findResponsibleStop(world, request, ownRuns);
    return stop === undefined ? [] : [describeLoss(world, request, stop, ownRuns)];
  });
}

function findResponsibleStop(
  world: SoakWorld,
  request: SentRequest,
  runs: readonly Run[],
): PlannedStop | undefined {
  const { entry, sentAt, endedAt, isComplete, abandonedAt } = request;
  if (isComplete || abandonedAt !== undefined || endedAt - sentAt >= shortestTimeout(world, request))
    return undefined;
  if (!wasRead(request, runs) || runs.some(({ isAborted }) => isAborted)) return undefined;
  const name = world.entryAt(entry);
  const stop = world.disruptions.stopDuring(name, sentAt, endedAt, GRACE_PERIOD);
  if (stop === undefined) return undefined;
  const parts = [name, ...runs.map(({ worker }) => worker)];
  const isUndisturbed = world.disruptions.areUndisturbed(parts, sentAt - DISRUPTION_LOOKBACK, endedAt);
  return isCutAllowed(request, stop) || !isUndisturbed ? undefined : stop;
}

/** The shortest timeout that may have applied to a request: its caller's, or that of a configuration in force when it was sent. */
export function shortestTimeout({ disruptions }: SoakWorld, { kind, sentAt }: SentRequest): number {
  return Math.min(deadlineOf(kind), ...disruptions.timeoutsOf(kind, sentAt));
}

/**
 * Reports cut answers, and requests that were read but not answered, that no unplanned disruption of their entry or workers
 * excuses, whether or not planned work was under way. Requests that `judgePlannedStops` reports are left out.
 */
export function judgeCuts(world: SoakWorld, sent: readonly SentRequest[]): string[] {
  const runs = runsById(world);
  return sent.flatMap((request) => {
    const ownRuns = runs.get(request.id) ?? [];
    if (!isCutWithoutReason(world, request, ownRuns)) return [];
    return findResponsibleStop(world, request, ownRuns) === undefined
      ? [describeCut(world, request, ownRuns)]
      : [];
  });
}

function isCutWithoutReason(world: SoakWorld, request: SentRequest, runs: readonly Run[]): boolean {
  const { entry, sentAt, endedAt, isComplete, abandonedAt } = request;
  if (isComplete || abandonedAt !== undefined || endedAt - sentAt >= shortestTimeout(world, request))
    return false;
  // A worker that fails to continue a stream is no excuse: another worker can take over with at most a pause.
  if (!wasRead(request, runs) || runs.some(({ isAborted }) => isAborted)) return false;
  const name = world.entryAt(entry);
  const stop = world.disruptions.stopDuring(name, sentAt, endedAt, GRACE_PERIOD);
  if (stop !== undefined && isCutAllowed(request, stop)) return false;
  const parts = [name, ...runs.map(({ worker }) => worker)];
  return world.disruptions.areUndisturbed(parts, sentAt - DISRUPTION_LOOKBACK, endedAt);
}

function isCutAllowed({ sentAt, endedAt }: SentRequest, stop: PlannedStop): boolean {
  return sentAt <= stop.at + EARLY_REQUEST_TIME && endedAt >= stop.at + GRACE_PERIOD - GRACE_LAST_PART;
}

function describeCut(world: SoakWorld, request: SentRequest, runs: readonly Run[]): string {
  const { id, kind, entry, status, sentAt, endedAt, answer } = request;
  const process = world.entryAt(entry);
  const since = (at: number) => `${Math.round(at - sentAt)} ms`;
  const outcome = status === undefined ? 'no answer' : `a cut answer (${status})`;
  const events = answer.match(/^id: /gm)?.length ?? 0;
  const atWorkers = runs.map(({ worker, at, endedAt: ended, after, isContinuationBroken }) => {
    const end = isContinuationBroken ? 'failed to go on' : ended === undefined ? 'at work' : since(ended);
    return `${worker} from ${since(at)} after event ${after} (${end})`;
  });
  const work = world.disruptions.nearestPlannedWork(process, endedAt);
  const away = Math.round(Math.abs((work?.at ?? 0) - endedAt));
  const side = work !== undefined && work.at > endedAt ? 'before' : 'after';
  const nearest = work === undefined ? 'no planned work' : `${away} ms ${side} ${work.kind} ${work.about}`;
  return (
    `LOST: ${id} (${kind}) at ${process}: ${outcome} with ${events} events ${since(endedAt)} after it was sent, ` +
    `${nearest}; ${runs.length} runs: ${atWorkers.join(', ') || 'none'}`
  );
}

function wasRead({ status, writtenAt, endedAt }: SentRequest, runs: readonly Run[]): boolean {
  const isLate = writtenAt !== undefined && endedAt - writtenAt > CLOSE_RACE_TIME;
  return status !== undefined || runs.length > 0 || isLate;
}

function describeLoss(
  world: SoakWorld,
  request: SentRequest,
  stop: PlannedStop,
  runs: readonly Run[],
): string {
  const { id, kind, status, sentAt, endedAt } = request;
  const since = (at: number) => `${Math.round(at - stop.at)} ms`;
  const answer = status === undefined ? 'no answer' : `a cut answer (${status})`;
  const signals = world.disruptions.signalsTo(stop.process, stop.at, endedAt);
  const times = `sent ${since(sentAt)} and ended ${since(endedAt)} after the first of ${signals} SIGTERM`;
  return `LOST: ${id} (${kind}) at ${stop.process}, ${times}: ${answer}, ${runs.length} runs`;
}

/** Reports, for each service, the window that most exceeds the retry budget of all entries together. */
export function judgeRepetitions(world: SoakWorld, sent: readonly SentRequest[]): string[] {
  return ['engines', 'plain'].flatMap((service) => {
    const reached = new Set(
      world.log.arrivals.filter((each) => each.service === service).map(({ requestId }) => requestId),
    );
    // The moved route changes its service, so its requests are counted for each service that received them.
    const requests = sent
      .filter(({ id, kind }) => (SERVICE_OF[kind] ?? (reached.has(id) ? service : undefined)) === service)
      .map(({ sentAt }) => sentAt);
    const worst = worstWindow(repetitionsOf(service, world.log.arrivals), requests);
    return worst === undefined ? [] : [`BUDGET: ${service} got ${worst}`];
  });
}

/** Times at which a service received a request that one of its workers had received before. */
function repetitionsOf(service: string, arrivals: readonly Arrival[]): number[] {
  const seen = new Set<string>();
  const repetitions: number[] = [];
  for (const arrival of arrivals) {
    if (arrival.service !== service) continue;
    if (seen.has(arrival.requestId)) repetitions.push(arrival.at);
    seen.add(arrival.requestId);
  }
  return repetitions;
}

function worstWindow(repetitions: readonly number[], requests: readonly number[]): string | undefined {
  const { share, slack, window } = RETRY_BUDGET;
  const within = (times: readonly number[], end: number) =>
    times.filter((at) => at > end - window && at <= end).length;
  let worst: { excess: number; text: string } | undefined;
  for (const end of repetitions) {
    const count = within(repetitions, end);
    const allowedBy = [end, end - window / 2, end - window].map((at) => within(requests, at));
    const most = Math.max(...allowedBy);
    const excess = count - share * most - slack;
    if (excess > (worst?.excess ?? 0))
      worst = { excess, text: `${count} repetitions in 10 s for ${most} requests (slack ${slack})` };
  }
  return worst?.text;
}

/** Reports requests that reached workers, and runs that continued, too long after their callers had left. */
export function judgeDepartures(world: SoakWorld, sent: readonly SentRequest[]): string[] {
  const left = sent.filter(
    (request) => request.abandonedAt !== undefined && isRequestUndisturbed(world, request),
  );
  const departedBy = new Map(left.map((request) => [request.id, request.abandonedAt! + CANCELLATION_TIME]));
  const late = world.log.arrivals.filter(({ requestId, at }) => at > (departedBy.get(requestId) ?? Infinity));
  const longRuns = world.log.runs.filter((run) =>
    wouldOutlastCancellation(run, departedBy.get(run.requestId)),
  );
  const continuing = longRuns.filter((run) => (run.endedAt ?? Infinity) > departedBy.get(run.requestId)!);
  const broken: string[] = [];
  if (late.length > TOLERATED_COUNT)
    broken.push(`GONE: ${late.length} arrivals later than 500 ms, as of ${late[0].requestId}`);
  if (continuing.length > TOLERATED_COUNT && continuing.length > longRuns.length * MAX_CONTINUING_SHARE)
    broken.push(
      `GONE: ${continuing.length} of ${longRuns.length} runs go on, as of ${continuing[0].requestId}`,
    );
  return broken;
}

/** Reports workers that received more than their rate limit allows, counting only requests from entries without a recent disruption. */
export function judgeLimits(world: SoakWorld, sent: readonly SentRequest[]): string[] {
  const entryOf = new Map(sent.map(({ id, entry }) => [id, world.entryAt(entry)]));
  return world.log.limits.flatMap(({ worker, rate, from, to }) => {
    const times = world.log.arrivals
      .filter(
        (arrival) =>
          arrival.worker === worker && arrival.at >= from + LIMIT_LEARNING_TIME && arrival.at <= to,
      )
      .filter(({ requestId, at }) => isEntryUndisturbed(world, entryOf.get(requestId), at))
      .map(({ at }) => at);
    const most = mostInWindow(times);
    const allowed = allowedInWindow(rate);
    return most > allowed
      ? [`LIMIT: ${worker} got ${most} in 4 s at ${rate} a second, allowed ${allowed}`]
      : [];
  });
}

function isEntryUndisturbed(world: SoakWorld, entry: string | undefined, at: number): boolean {
  return entry !== undefined && world.disruptions.areUndisturbed([entry], at - DISRUPTION_LOOKBACK, at);
}

function isRequestUndisturbed(world: SoakWorld, { entry, sentAt, abandonedAt, id }: SentRequest): boolean {
  const workers = world.log.of(id).map(({ worker }) => worker);
  const parts = [world.entryAt(entry), ...workers];
  return world.disruptions.areUndisturbed(
    parts,
    sentAt - DISRUPTION_LOOKBACK,
    abandonedAt! + CANCELLATION_TIME,
  );
}

/** Whether a run would outlast the propagation of its caller's departure: only long streams do. */
function wouldOutlastCancellation(run: Run, until: number | undefined): boolean {
  const isLong = run.path.startsWith('/long/') || run.path.startsWith('/moved/');
  return until !== undefined && isLong && run.at < until;
}

function runsById(world: SoakWorld): Map<string, Run[]> {
  const byId = new Map<string, Run[]>();
  for (const run of world.log.runs) byId.set(run.requestId, [...(byId.get(run.requestId) ?? []), run]);
  return byId;
}
