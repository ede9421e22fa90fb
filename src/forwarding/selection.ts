/**
 * Chooses the back end that takes a request: the one where the first part of the answer is expected soonest, with a
 * preference for near ones. Pure: the same input gives the same choice.
 */
import type { Random } from '../model/random.js';

/** Where something runs. */
export interface Position {
  zone: string;
  region: string;
}

/** A back end that may run the request, as this process sees it. */
export interface Candidate extends Position {
  id: string;
  /** Requests that it runs at the same time. */
  slots: number;
  /** Requests of all entries that run or wait there, as far as known. */
  load: number;
  /** Prompt tokens of requests sent there that have not answered yet. */
  unreadTokens: number;
  /** Prompt tokens that it reads in a millisecond; 0 where it reads none. */
  tokensPerMillisecond: number;
  /** Usual time between two requests ending there under full load, in milliseconds. */
  releaseInterval: number;
  /** Share of its latest requests that failed, 0 to 1. */
  failureShare: number;
  /** Extra time of its first answers compared with its fastest peers, in milliseconds. */
  slowness: number;
  /** Time by which the request would outlast the engine's version there, in milliseconds. */
  overhang: number;
  /** The request was moved before: it would be cut if the engine dropped it. */
  mayNotMove: boolean;
}

/** A choice, with what it rests on. */
export interface Choice {
  candidate: Candidate;
  /** Time until the back end begins with the request, in milliseconds. */
  expectedWait: number;
}

/** What a longer way is worth, in milliseconds of waiting: traffic between regions is dear. */
const OTHER_ZONE_COST = 15;
const OTHER_REGION_COST = 55;
/** What a full back end costs beside an idle one, in milliseconds. */
const FULLNESS_COST = 25;
/** What a certain failure would cost, in milliseconds. */
const FAILURE_COST = 600;
/** What each millisecond by which a request outlasts the engine's version costs: it is moved, or holds the switch up. */
const OVERHANG_COST = 0.4;
/** The same for a request that is cut if it has to move again: more than any distance or queue. */
const CUT_COST = 4;
/** Candidates this close are alike, in milliseconds. */
export const ALIKE = 2;
/** Where their loads are not known, candidates this close are alike, in milliseconds: less than another region costs. */
export const ALIKE_UNKNOWN = 40;

/** The best of `candidates` for a request of `position`, or undefined where there is none. */
export function chooseBackEnd(
  candidates: readonly Candidate[],
  position: Position,
  random: Random,
): Choice | undefined {
  let best: Candidate[] = [];
  let bestCost = Number.POSITIVE_INFINITY;
  for (const candidate of candidates) {
    const cost = costOf(candidate, position);
    if (cost < bestCost - ALIKE) best = [];
    if (cost < bestCost + ALIKE) best.push(candidate);
    bestCost = Math.min(bestCost, cost);
  }
  if (best.length === 0) return undefined;
  const candidate = best[random.below(best.length)];
  return { candidate, expectedWait: expectedWait(candidate) };
}

/** Time until a slot of `candidate` is free for one more request, in milliseconds. */
export function expectedWait({ load, slots, releaseInterval }: Candidate): number {
  const ahead = load + 1 - slots;
  return ahead <= 0 ? 0 : ahead * releaseInterval;
}

function costOf(candidate: Candidate, position: Position): number {
  const reading =
    candidate.tokensPerMillisecond > 0 ? candidate.unreadTokens / candidate.tokensPerMillisecond : 0;
  return (
    distanceCost(candidate, position) +
    expectedWait(candidate) +
    reading +
    standingCost(candidate) +
    (candidate.load / candidate.slots) * FULLNESS_COST
  );
}

/**
 * What speaks against asking for a slot of `candidate`, in milliseconds of waiting: its load counts only where it is known
 * for fresh, as what is old is known to all alike.
 */
export function slotCost(candidate: Candidate, position: Position, isLoadFresh: boolean): number {
  return isLoadFresh
    ? costOf(candidate, position)
    : distanceCost(candidate, position) + standingCost(candidate);
}

/** What speaks against `candidate` whatever its load and place, in milliseconds of waiting. */
function standingCost({ slowness, failureShare, overhang, mayNotMove }: Candidate): number {
  return slowness + failureShare * FAILURE_COST + overhang * (mayNotMove ? CUT_COST : OVERHANG_COST);
}

function distanceCost(candidate: Position, { zone, region }: Position): number {
  if (candidate.zone === zone) return 0;
  return candidate.region === region ? OTHER_ZONE_COST : OTHER_REGION_COST;
}
