/** What callers of the placement simulation got: credit, and service by kind, tenant and size. */
import type { Caller } from './placement-callers.js';
import type { PlacementSite } from './placement-loads.js';

/** Weight of an output token beside a token of the prompt in the size of a request. */
const ANSWER_TOKEN_WEIGHT = 10;
/** Part of the worth of a request that does not depend on its size, and the greatest worth as a multiple of that of its kind. */
const FIXED_WORTH = 0.3;
const MAX_WORTH = 4;
/** Tenants with fewer requests are not compared. */
const MIN_TENANT_REQUESTS = 20;

/** What the callers of one kind got, as shares of its requests. */
export interface KindReport {
  name: string;
  asked: number;
  inTime: number;
  /** Refused early, and in time when they came again. */
  inTimeOnReturn: number;
  late: number;
  /** Refused once or more. */
  refused: number;
  /** Refused, came back and was refused again. */
  refusedAgain: number;
  /** Share served, divided by the share served of all requests. */
  ofAll: number;
  /** Shares served of the largest tenth and of the fifth below it, divided by the share served of the kind. */
  largestTenth: number;
  fifthBelow: number;
}

/**
 * What all callers got, as shares of the requests; the credit is what they were worth of what they could have been. A request
 * that was refused early and was in time when it came again is worth the mean of one in time and a late one.
 */
export interface ServiceReport {
  credit: number;
  inTime: number;
  inTimeOnReturn: number;
  late: number;
  refused: number;
  /** Share of the served requests that were in time, at the first attempt or after an early refusal. */
  inTimeOfServed: number;
  kinds: KindReport[];
  /** Share served of the tenant that was served least, divided by the share served of all requests. */
  worstTenant: number;
  /** Time to a first event, in milliseconds. */
  /** Shares in time of the tenth of all sizes, and of the engine, that has the least. */
  worstTenthInTime: number;
  worstEngineInTime: number;
  firstEventP50: number;
  firstEventP95: number;
}

/** Reports on `callers`, which must not be empty. */
export function serviceReport(callers: readonly Caller[], site: PlacementSite): ServiceReport {
  const inTime = callers.filter(isInTime);
  const inTimeOnReturn = callers.filter(isInTimeOnReturn);
  const served = callers.filter(isServed);
  const servedShare = shareServed(callers);
  const owed = sumOf(callers, (caller) => worthOf(caller, caller.kind.worth, site));
  const earned = sumOf(served, (caller) => worthOf(caller, worthEarned(caller), site));
  const times = callers
    .filter(({ firstEventAt }) => firstEventAt > 0)
    .map(({ firstEventAt, startedAt }) => firstEventAt - startedAt)
    .sort((a, b) => a - b);
  return {
    credit: rounded(earned / owed),
    inTime: rounded(inTime.length / callers.length),
    inTimeOnReturn: rounded(inTimeOnReturn.length / callers.length),
    late: rounded((served.length - inTime.length - inTimeOnReturn.length) / callers.length),
    refused: rounded(1 - servedShare),
    inTimeOfServed: rounded((inTime.length + inTimeOnReturn.length) / served.length),
    kinds: site.kinds.map((kind) =>
      kindReport(
        kind.name,
        callers.filter((caller) => caller.kind === kind),
        servedShare,
      ),
    ),
    worstTenant: rounded(worstTenantShare(callers, site.tenants) / servedShare),
    worstTenthInTime: rounded(Math.min(...tenthsBySize(callers).map(shareInTime))),
    worstEngineInTime: rounded(Math.min(...byEngine(callers).map(shareInTime))),
    firstEventP50: Math.round(times[Math.floor(times.length * 0.5)]),
    firstEventP95: Math.round(times[Math.floor(times.length * 0.95)]),
  };
}

/** Size of a request: tokens read and, weighted, tokens written. */
export function sizeOf({
  promptTokens,
  answerTokens,
}: Pick<Caller, 'promptTokens' | 'answerTokens'>): number {
  return promptTokens + ANSWER_TOKEN_WEIGHT * answerTokens;
}

export function rounded(share: number): number {
  return Math.round(share * 1_000) / 1_000;
}

function kindReport(name: string, callers: readonly Caller[], servedShare: number): KindReport {
  const share = (condition: (caller: Caller) => boolean) =>
    rounded(callers.filter(condition).length / callers.length);
  const bySize = [...callers].sort((one, other) => sizeOf(other) - sizeOf(one));
  const tenth = Math.floor(callers.length / 10);
  const ofKind = shareServed(callers);
  return {
    name,
    asked: callers.length,
    inTime: share(isInTime),
    inTimeOnReturn: share(isInTimeOnReturn),
    late: share((caller) => isServed(caller) && !isInTime(caller) && !isInTimeOnReturn(caller)),
    refused: share(({ refusals }) => refusals > 0),
    refusedAgain: share(({ refusals }) => refusals > 1),
    ofAll: rounded(ofKind / servedShare),
    largestTenth: rounded(shareServed(bySize.slice(0, tenth)) / ofKind),
    fifthBelow: rounded(shareServed(bySize.slice(tenth, 3 * tenth)) / ofKind),
  };
}

function worstTenantShare(callers: readonly Caller[], tenants: number): number {
  const shares = Array.from({ length: tenants }, (_, tenant) =>
    callers.filter((one) => one.tenant === tenant),
  )
    .filter(({ length }) => length >= MIN_TENANT_REQUESTS)
    .map(shareServed);
  return Math.min(...shares);
}

function isServed({ servedAt }: Caller): boolean {
  return servedAt !== undefined;
}

function isInTime(caller: Caller): boolean {
  return isServed(caller) && caller.firstEventAt - caller.startedAt <= caller.kind.objective;
}

function isInTimeOnReturn(caller: Caller): boolean {
  const { firstEventAt, attemptedAt, isRefusedEarly, kind } = caller;
  return (
    isServed(caller) && !isInTime(caller) && isRefusedEarly && firstEventAt - attemptedAt <= kind.objective
  );
}

/** Worth of a served request. */
function worthEarned(caller: Caller): number {
  const { worth, worthLate } = caller.kind;
  if (isInTime(caller)) return worth;
  return isInTimeOnReturn(caller) ? (worth + worthLate) / 2 : worthLate;
}

function shareServed(callers: readonly Caller[]): number {
  return callers.filter(isServed).length / callers.length;
}

function worthOf(caller: Caller, worth: number, { isWorthBySize, pace }: PlacementSite): number {
  if (!isWorthBySize) return worth;
  const { promptTokens, answerEvents } = caller.kind;
  const mean = sizeOf({ promptTokens, answerTokens: answerEvents * pace.tokensPerEvent });
  return worth * Math.min(MAX_WORTH, FIXED_WORTH + (1 - FIXED_WORTH) * (sizeOf(caller) / mean));
}

function sumOf(callers: readonly Caller[], value: (caller: Caller) => number): number {
  return callers.reduce((sum, caller) => sum + value(caller), 0);
}

function shareInTime(callers: readonly Caller[]): number {
  return callers.filter(isInTime).length / callers.length;
}

function tenthsBySize(callers: readonly Caller[]): Caller[][] {
  const bySize = [...callers].sort((one, other) => sizeOf(other) - sizeOf(one));
  const tenth = Math.floor(callers.length / 10);
  return Array.from({ length: 10 }, (_, number) => bySize.slice(number * tenth, (number + 1) * tenth));
}

/** The callers that were sent to each engine. */
function byEngine(callers: readonly Caller[]): Caller[][] {
  const engines = new Set(callers.map(({ engine }) => engine).filter((engine) => engine !== undefined));
  return [...engines].map((number) => callers.filter(({ engine }) => engine === number));
}
