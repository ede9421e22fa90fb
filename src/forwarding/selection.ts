/**
 * Chooses the back end for a request: the one from which the first part of the answer is expected soonest, with a
 * preference for near ones. Deterministic: the same input and random state give the same choice.
 */
import type { Random } from '../model/random.js';

/** Location of a process. */
export interface Position {
  zone: string;
  region: string;
}

/** An eligible back end, as known to this process. */
export interface Candidate extends Position {
  id: string;
  /** Number of requests that it runs concurrently. */
  slots: number;
  /** Known requests of all entries that run or wait there. */
  load: number;
  /** Prompt tokens of the requests sent there that it has not started to answer. */
  pendingPromptTokens: number;
  /** Prompt tokens that it processes per millisecond; 0 if unknown. */
  tokensPerMillisecond: number;
  /** Usual time between two completions under full load, in milliseconds. */
  releaseInterval: number;
  /** Share of its recent requests that failed, 0 to 1. */
  failureShare: number;
  /** Its usual time to the first answer beyond twice that of the fastest candidate, in milliseconds; 0 if unknown. */
  slowness: number;
  /** Time by which the request would outlast the engine's current version, in milliseconds. */
  overrun: number;
  /** The request has already been moved: its stream would be cut if the engine dropped it. */
  cannotBeMoved: boolean;
}

/** A chosen candidate. */
export interface Choice {
  candidate: Candidate;
  /** Expected time until the back end starts the request, in milliseconds. */
  expectedWait: number;
}

/** Costs of distance, in milliseconds of waiting: traffic between regions is expensive. */
const OTHER_ZONE_COST = 15;
const OTHER_REGION_COST = 55;
/** Cost of a full back end relative to an idle one, in milliseconds. */
const FULLNESS_COST = 25;
/** Cost of a back end whose requests all fail, in milliseconds. */
const FAILURE_COST = 600;
/** Cost per millisecond by which a request outlasts the engine's version: it must be moved, or it delays the switch. */
const OVERRUN_COST = 0.4;
/** The same for a request that would be cut instead of moved: this exceeds the cost of any distance or queue. */
const CUT_COST = 4;
/** Costs that differ by less than this are treated as equal, in milliseconds. */
export const COST_TOLERANCE = 2;
/** The same for candidates whose load is not known, in milliseconds: less than the cost of another region. */
export const COST_TOLERANCE_LOAD_UNKNOWN = 40;

/**
 * Chooses the best candidate for a request from `position`, randomly among equals; undefined if there are no
 * candidates.
 */
export function chooseBackEnd(
  candidates: readonly Candidate[],
  position: Position,
  random: Random,
): Choice | undefined {
  let best: Candidate[] = [];
  let bestCost = Number.POSITIVE_INFINITY;
  for (const candidate of candidates) {
    const cost = costOf(candidate, position);
    if (cost < bestCost - COST_TOLERANCE) best = [];
    if (cost < bestCost + COST_TOLERANCE) best.push(candidate);
    bestCost = Math.min(bestCost, cost);
  }
  if (best.length === 0) return undefined;
  const candidate = best[random.below(best.length)];
  return { candidate, expectedWait: expectedWait(candidate) };
}

/** Expected time until `candidate` has a free slot for one more request, in milliseconds. */
export function expectedWait({ load, slots, releaseInterval }: Candidate): number {
  const ahead = load + 1 - slots;
  return ahead <= 0 ? 0 : ahead * releaseInterval;
}

function costOf(candidate: Candidate, position: Position): number {
  const promptTime =
    candidate.tokensPerMillisecond > 0 ? candidate.pendingPromptTokens / candidate.tokensPerMillisecond : 0;
  return (
    distanceCost(candidate, position) +
    expectedWait(candidate) +
    promptTime +
    baseCost(candidate) +
    (candidate.load / candidate.slots) * FULLNESS_COST
  );
}

/**
 * Cost of requesting a slot of `candidate`, in milliseconds of waiting. Its load counts only if it was reported
 * recently: all entries have the same outdated load and would choose the same candidate.
 */
export function slotCost(candidate: Candidate, position: Position, isLoadFresh: boolean): number {
  return isLoadFresh ? costOf(candidate, position) : distanceCost(candidate, position) + baseCost(candidate);
}

/** Cost of `candidate` apart from its load and distance, in milliseconds of waiting. */
function baseCost({ slowness, failureShare, overrun, cannotBeMoved }: Candidate): number {
  return slowness + failureShare * FAILURE_COST + overrun * (cannotBeMoved ? CUT_COST : OVERRUN_COST);
}

function distanceCost(candidate: Position, { zone, region }: Position): number {
  if (candidate.zone === zone) return 0;
  return candidate.region === region ? OTHER_ZONE_COST : OTHER_REGION_COST;
}
