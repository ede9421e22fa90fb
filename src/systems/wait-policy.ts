/**
 * Decides how long requests for one service wait for a slot of an engine at one entry. One rule holds for all of them:
 *
 * - A request waits as long as a slot granted now still meets its objective, given the observed time from a grant to the
 *   first event for a prompt of its size. This answers bursts, and engines that slow down: their requests would be late
 *   with slots that others could have used in time.
 * - After that it keeps waiting, behind those in time, only while late requests of its rank have been getting slots lately,
 *   as after a burst. Under an overload that lasts it is refused then.
 *
 * Before anything was observed, times follow from what the configuration declares. Times are in milliseconds of the caller's
 * clock.
 */
import { ASSUMED_TIMES, type ServiceTimes } from './capacity-wait.js';
import type { HoldOutcome } from './hold-record.js';

/** What the configuration declares of the engines. */
export interface DeclaredPace {
  /** Prompt tokens that an engine reads per second; 0 if not declared. */
  readTokensPerSecond: number;
  /** Time in which a fully loaded engine generates one token for each of its requests; 0 if not declared. */
  tokenTime: number;
}

/** A request that is to wait for a slot. */
export interface WaitingRequest {
  arrivedAt: number;
  /** Time from its arrival to the first event that meets its objective. */
  objective: number;
  /** Tokens of the prompt; 0 if unknown. */
  promptTokens: number;
  /** 0 is the most urgent. */
  rank: number;
  pace: DeclaredPace | undefined;
}

/** Share of the objective taken for the time to the first event if nothing is observed or declared. */
const UNKNOWN_TIME_SHARE = 0.5;
/** Tokens generated before the first event is complete, as configurations do not declare them. */
const FIRST_EVENT_TOKENS = 8;
/** A full engine also reads prompts of others before the first event, which takes about as long again. */
const FULL_ENGINE_FACTOR = 2;
/** Observations before estimates follow them. */
const LEAST_OBSERVED = 4;
/** Least weight of the latest observation. */
const LATEST_WEIGHT = 1 / 16;
/** Prompts that differ by less than this, in tokens, say little about the time that a token takes. */
const TOKENS_RIDGE = 200;
/** Mean deviations above the mean within which a first event is expected: about four of five arrive before. */
const DEVIATIONS = 1;
/** The same for nearly all: a caller that leaves before the first event or the end has used a slot in vain. */
const BOUND_DEVIATIONS = 4;
/** Weights of the latest wait in moving averages of outcomes; late waits are few, and three of them must be enough. */
const IN_TIME_WEIGHT = 0.1;
const LATE_WEIGHT = 0.25;
/** Share of late waits that must have ended with a send for more of them. */
const LATE_SENT_SHARE = 0.5;
/** Share of waits in time that must have ended with a send for late ones to begin. */
const IN_TIME_SENT_SHARE = 0.75;
/** Late requests that may wait at the same time. */
const MAX_LATE = 2;
/** Time in which agents with a free slot answer also a request that must not wait, in milliseconds. */
const ASKING_TIME = 60;
const MILLISECONDS = 1_000;

/** The wait of one request for a slot. */
export interface SlotWait {
  /** Until when a slot lets the request meet its objective. */
  readonly inTimeUntil: number;
  /** When it stops waiting. */
  readonly endsAt: number;
  /** Records how it ended; called once. */
  end(outcome: HoldOutcome, now: number): void;
}

/** Waits that have ended, by when they did and how. */
export type WaitFigures = Record<`${'inTime' | 'late'}${'Sent' | 'Unserved' | 'Left'}`, number>;

/** The waits for one service at one entry. */
export class WaitPolicy {
  readonly #firstEvents = new ObservedTimes();
  readonly #answers = new ObservedTimes();
  /** Moving averages of the shares of waits that ended with a send: of those in time, and of late ones by rank. */
  #inTimeSentShare = 0;
  readonly #lateSentShare = new Map<number, number>();
  /** The waits that have not ended. */
  readonly #open = new Set<{ rank: number; inTimeUntil: number }>();
  readonly figures: WaitFigures = {
    inTimeSent: 0,
    inTimeUnserved: 0,
    inTimeLeft: 0,
    lateSent: 0,
    lateUnserved: 0,
    lateLeft: 0,
  };

  /** The first event of an answer has arrived `milliseconds` after its request was sent with a slot. */
  noteFirstEvent(promptTokens: number, milliseconds: number): void {
    this.#firstEvents.note(promptTokens, milliseconds);
  }

  /** A whole answer has arrived `milliseconds` after its request was sent with a slot. */
  noteServed(milliseconds: number): void {
    this.#answers.note(0, milliseconds);
  }

  /** Times within which nearly all requests are served, as observed. */
  serviceTimes({ promptTokens, pace }: WaitingRequest): ServiceTimes {
    return {
      firstEvent: this.#firstEvents.bound(promptTokens, pace) ?? ASSUMED_TIMES.firstEvent,
      answer: this.#answers.bound(0, undefined) ?? ASSUMED_TIMES.answer,
    };
  }

  /** Until when a slot lets a request meet its objective. */
  inTimeUntil({ arrivedAt, objective, promptTokens, pace }: WaitingRequest): number {
    const time = this.#firstEvents.expected(promptTokens, pace) ?? UNKNOWN_TIME_SHARE * objective;
    return arrivedAt + objective - time;
  }

  /** Requests of this rank, or more urgent ones, that wait for slots. */
  waiting(rank: number): number {
    return [...this.#open].filter((other) => other.rank <= rank).length;
  }

  /**
   * Starts the wait of a request.
   * @param latestBegin - until when its caller still receives an answer that is begun
   */
  begin(request: WaitingRequest, latestBegin: number, now: number): SlotWait {
    const { rank } = request;
    const inTimeUntil = this.inTimeUntil(request);
    const mayBeLate = latestBegin > inTimeUntil && this.#mayBeLate(rank, now);
    const open = { rank, inTimeUntil };
    this.#open.add(open);
    const end = (outcome: HoldOutcome, endedAt: number) => {
      const isLate = endedAt >= inTimeUntil;
      this.#open.delete(open);
      this.#noteOutcome(rank, isLate, mayBeLate, outcome);
      // A request that gave up when it could no longer be in time has not waited late.
      this.#noteFigure(isLate && (mayBeLate || outcome === 'sent'), outcome);
    };
    return { inTimeUntil, endsAt: Math.max(mayBeLate ? latestBegin : inTimeUntil, now + ASKING_TIME), end };
  }

  /**
   * Whether a request of this rank keeps waiting when it is late: if such waits have ended with a send lately, or nearly all
   * requests get slots in time, so that some are left; and if few late requests wait already, as those go first.
   */
  #mayBeLate(rank: number, now: number): boolean {
    const lateShare = this.#lateSentShare.get(rank) ?? 0;
    if (lateShare < LATE_SENT_SHARE && this.#inTimeSentShare < IN_TIME_SENT_SHARE) return false;
    return [...this.#open].filter(({ inTimeUntil }) => inTimeUntil <= now).length < MAX_LATE;
  }

  #noteOutcome(rank: number, isLate: boolean, mayBeLate: boolean, outcome: HoldOutcome): void {
    if (outcome === 'left' || outcome === 'cancelled') return;
    const isSent = outcome === 'sent';
    this.#inTimeSentShare = average(this.#inTimeSentShare, IN_TIME_WEIGHT, isSent && !isLate);
    if (isLate && mayBeLate)
      this.#lateSentShare.set(rank, average(this.#lateSentShare.get(rank) ?? 0, LATE_WEIGHT, isSent));
  }

  #noteFigure(isLate: boolean, outcome: HoldOutcome): void {
    if (outcome === 'sent') this.figures[isLate ? 'lateSent' : 'inTimeSent']++;
    else if (outcome === 'unserved') this.figures[isLate ? 'lateUnserved' : 'inTimeUnserved']++;
    else if (outcome === 'left') this.figures[isLate ? 'lateLeft' : 'inTimeLeft']++;
  }
}

/** Times from the send of a request on, by the size of its prompt: moving averages and their regression. */
class ObservedTimes {
  #observed = 0;
  #tokens = 0;
  #time = 0;
  #tokensVariance = 0;
  #covariance = 0;
  #deviation = 0;

  note(tokens: number, milliseconds: number): void {
    this.#observed++;
    const weight = Math.max(LATEST_WEIGHT, 1 / this.#observed);
    const tokensOff = tokens - this.#tokens;
    const timeOff = milliseconds - this.#time;
    this.#tokens += weight * tokensOff;
    this.#time += weight * timeOff;
    if (this.#observed === 1) return;
    this.#tokensVariance += weight * ((1 - weight) * tokensOff ** 2 - this.#tokensVariance);
    this.#covariance += weight * ((1 - weight) * tokensOff * timeOff - this.#covariance);
    const error = Math.abs(milliseconds - this.#mean(tokens, 0));
    this.#deviation += weight * (error - this.#deviation);
  }

  /** Time that most requests of this size take; what is declared before any was observed, undefined if nothing is. */
  expected(tokens: number, pace: DeclaredPace | undefined): number | undefined {
    return this.#within(DEVIATIONS, tokens, pace) ?? declaredTime(tokens, pace);
  }

  /** Time that nearly all requests of this size take; undefined if none was observed. */
  bound(tokens: number, pace: DeclaredPace | undefined): number | undefined {
    return this.#within(BOUND_DEVIATIONS, tokens, pace);
  }

  #within(deviations: number, tokens: number, pace: DeclaredPace | undefined): number | undefined {
    if (this.#observed < LEAST_OBSERVED) return undefined;
    const perToken = pace === undefined || pace.readTokensPerSecond === 0 ? 0 : timePerToken(pace);
    return this.#mean(tokens, perToken) + deviations * this.#deviation;
  }

  #mean(tokens: number, declaredPerToken: number): number {
    if (tokens === 0) return this.#time;
    const ridge = TOKENS_RIDGE ** 2;
    const perToken = (this.#covariance + ridge * declaredPerToken) / (this.#tokensVariance + ridge);
    return Math.max(0, this.#time + Math.max(0, perToken) * (tokens - this.#tokens));
  }
}

/** Moving average of a share of events with a property. */
function average(share: number, weight: number, hasProperty: boolean): number {
  return share + weight * ((hasProperty ? 1 : 0) - share);
}

function declaredTime(tokens: number, pace: DeclaredPace | undefined): number | undefined {
  if (pace === undefined || pace.readTokensPerSecond === 0 || pace.tokenTime === 0) return undefined;
  return FULL_ENGINE_FACTOR * (tokens * timePerToken(pace) + FIRST_EVENT_TOKENS * pace.tokenTime);
}

function timePerToken({ readTokensPerSecond }: DeclaredPace): number {
  return MILLISECONDS / readTokensPerSecond;
}
