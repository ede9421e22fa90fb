/**
 * The deadline of one request and the limits of its waits that follow from it. Callers choose their deadlines, which say
 * nothing about whether they were refused before, so all requests wait by the same rules. Times are in milliseconds of the
 * monotonic clock.
 */
import type { Route } from '../fleet/configuration.js';
import {
  ASSUMED_TIMES,
  type CallerTime,
  latestStart,
  returnsInTime,
  type ServiceTimes,
  shouldWaitForCapacity,
} from '../systems/capacity-wait.js';
import type { DeclaredPace, WaitingRequest } from '../systems/wait-policy.js';

/**
 * Maximum wait at a back end before it starts a request, in milliseconds. For a slot of an engine, held requests wait until
 * `latestBegin` instead.
 */
const MAX_WAIT = 1_800;
/** Share of its objective that a request for a stream may wait in a queue; the rest is for reading its prompt. */
const QUEUE_WAIT_SHARE = 0.6;
const MIN_QUEUE_WAIT_LIMIT = 150;
/** Time for which a request is held while the serving back ends are full, in milliseconds. */
const FULL_HOLD = 45;
/** Share of a caller's time for which its request waits for silent back ends. */
const SILENT_WAIT_SHARE = 0.5;
/** Highest rank that is distinguished; 0 is the most urgent. */
export const MAX_RANK = 3;
/** Urgency of requests that can no longer meet their objective: of the most urgent rank, and of all others. */
const FIRST_LATE_URGENCY = 8;
const LATE_URGENCY = 9;

export class RequestTiming {
  readonly arrivedAt: number;
  /** Time by which the request must have its final answer. */
  readonly deadline: number;
  readonly #route: Route;

  /** @param timeLeft - time for which the caller waits, in milliseconds; undefined if not stated */
  constructor(arrivedAt: number, route: Route, timeLeft: number | undefined) {
    this.arrivedAt = arrivedAt;
    this.deadline = arrivedAt + Math.min(route.timeout, timeLeft ?? Number.POSITIVE_INFINITY);
    this.#route = route;
  }

  /** True if the answer can no longer meet the objective. */
  isPastObjective(now: number): boolean {
    return now - this.arrivedAt > this.#route.objective;
  }

  /**
   * Maximum expected wait at a back end for the request to be sent there.
   * @param wasSentOrHeld - whether the request was sent or held for capacity before, and so is not refused for a long queue
   */
  maxQueueWait(wasSentOrHeld: boolean): number {
    if (!this.#route.isStream || wasSentOrHeld) return MAX_WAIT;
    return Math.max(MIN_QUEUE_WAIT_LIMIT, QUEUE_WAIT_SHARE * this.#route.objective);
  }

  /** The request as `WaitPolicy` takes it; undefined if its objective does not end with a first event. */
  waitingRequest(
    rank: number,
    promptTokens: number,
    pace: DeclaredPace | undefined,
  ): WaitingRequest | undefined {
    const { isStream, objective } = this.#route;
    return isStream ? { arrivedAt: this.arrivedAt, objective, promptTokens, rank, pace } : undefined;
  }

  /**
   * Time until which the request waits for a slot of an engine from `now` on if it is no longer subject to `WaitPolicy`.
   * @param wasSent - whether it was sent to a back end before, rather than held for capacity
   */
  slotWaitDeadline(now: number, wasSent: boolean): number {
    if (wasSent) return Math.min(this.deadline, now + MAX_WAIT);
    return this.#route.isStream ? this.latestBegin : this.arrivedAt + MAX_WAIT;
  }

  /** Time until which the request is held while the serving back ends are full, if it has been held since `heldSince`. */
  holdDeadline(heldSince: number): number {
    return heldSince + FULL_HOLD;
  }

  /** Whether to hold the request while no back end serves, if the first is expected to in `capacityIn` milliseconds. */
  waitsForCapacity(now: number, capacityIn: number): boolean {
    return this.#route.isStream && shouldWaitForCapacity(this.#callerTime, now, now + capacityIn);
  }

  /** Whether the caller would reach capacity that is expected in `capacityIn` milliseconds if it were refused now. */
  mayReturnFor(now: number, capacityIn: number): boolean {
    return returnsInTime(this.#callerTime, now, now + capacityIn);
  }

  get #callerTime(): CallerTime {
    return { arrivedAt: this.arrivedAt, endsAt: this.deadline, patience: this.#route.patience };
  }

  /**
   * Time until which the request waits for silent back ends if its answer has not begun: half of the time is left for a
   * retry by the caller.
   */
  get silentWaitDeadline(): number {
    const { isStream, patience } = this.#route;
    const time = this.deadline - this.arrivedAt;
    return this.arrivedAt + SILENT_WAIT_SHARE * (isStream ? Math.min(time, patience) : time);
  }

  /** Latest time at which a back end may start the request. */
  get latestBegin(): number {
    return this.latestBeginFor(ASSUMED_TIMES);
  }

  /** The same at back ends that take so long for a request. */
  latestBeginFor(times: ServiceTimes): number {
    const { isStream, patience, objective } = this.#route;
    if (!isStream) return this.deadline - objective;
    return latestStart(this.arrivedAt, this.deadline, patience, times);
  }

  /**
   * Position in the queue of a back end: requests that can meet their objective in the order of rank, then late requests.
   * @param rank - rank of the request's priority, 0 for the most urgent
   */
  urgency(rank: number, now: number): number {
    if (this.isPastObjective(now)) return rank === 0 ? FIRST_LATE_URGENCY : LATE_URGENCY;
    return Math.min(rank, MAX_RANK);
  }
}
