/**
 * The time of one request: when it must end, and what follows for how it waits. A caller that was refused comes again
 * once, so a first request that cannot be in time is better refused at once, while one that has come again waits for
 * whatever is free before its time is over. Times are in milliseconds of the steady clock.
 */
import type { Route } from '../fleet/configuration.js';
import { latestStart, shouldWaitForCapacity } from '../systems/capacity-wait.js';

/** Requests are not let wait at a back end for longer than this before they begin, in milliseconds. */
const LONGEST_WAIT = 1_800;
/** A first request for a stream is to begin within this share of its objective: the rest of it goes to its prompt. */
const WAIT_SHARE = 0.6;
const SHORTEST_WAIT_LIMIT = 150;
/**
 * A first request for a stream waits for a slot within this share of its objective. An engine whose slots are all taken gives a
 * first event 160 ms after it begins (median), 0.4 to 0.53 of objectives of 400 and 300 ms, so that one that has waited for
 * longer is late with its slot, which another could have used in time. As requests that have waited longest go first, under
 * lasting overload all that are served have waited almost that long.
 */
const SLOT_WAIT_SHARE = 0.5;
/** A caller whose time is short by more than this has asked before, in milliseconds. */
const REPEATED_AFTER = 150;
/** A request that can still be in time waits here for capacity no longer than this, in milliseconds. */
const SHORT_HOLD = 45;
/** Share of a caller's time after which it is told that its back ends are silent. */
const CALLER_SHARE = 0.5;
/** Highest rank of a kind of request that counts, 0 being the most urgent. */
export const MOST_RANK = 3;
/** Urgency of the most urgent request that comes again: first requests of all ranks go before it. */
const REPEATED_URGENCY = MOST_RANK + 1;
/** Urgency of those that cannot be in time any more, of the most urgent rank and of the others, the last. */
const FIRST_LATE_URGENCY = 8;
const LATE_URGENCY = 9;

/** The time of one request. */
export class RequestTiming {
  readonly arrivedAt: number;
  /** Until when it must have its final answer. */
  readonly endsAt: number;
  readonly #route: Route;

  /** @param timeLeft - what its caller waits, in milliseconds; undefined where that is not told */
  constructor(arrivedAt: number, route: Route, timeLeft: number | undefined) {
    this.arrivedAt = arrivedAt;
    this.endsAt = arrivedAt + Math.min(route.timeout, timeLeft ?? Number.POSITIVE_INFINITY);
    this.#route = route;
  }

  /** True where a refusal would be the caller's last answer: it has less time than its route gives, so it asked before. */
  get isLastChance(): boolean {
    const spentBefore = this.arrivedAt + this.#route.timeout - this.endsAt;
    return this.#route.isStream && spentBefore > REPEATED_AFTER;
  }

  /** True where the answer cannot be in time any more. */
  isLate(now: number): boolean {
    return now - this.arrivedAt > this.#route.objective;
  }

  /**
   * How long it may have to wait at a back end.
   * @param isOwed - it was sent, or held for capacity, before: it is not given up for a wait
   */
  longestWait(isOwed: boolean): number {
    if (!this.#route.isStream || isOwed || this.isLastChance) return LONGEST_WAIT;
    return Math.max(SHORTEST_WAIT_LIMIT, WAIT_SHARE * this.#route.objective);
  }

  /**
   * Until when it waits for a slot of an engine, if it looks for one from `now` on.
   * @param wasHeld - it has waited for capacity before
   */
  waitsForSlotUntil(now: number, wasSent: boolean, wasHeld: boolean): number {
    if (wasSent) return Math.min(this.endsAt, now + LONGEST_WAIT);
    if (this.isLastChance || wasHeld) return this.latestBegin;
    if (!this.#route.isStream) return this.arrivedAt + LONGEST_WAIT;
    return this.arrivedAt + SLOT_WAIT_SHARE * this.#route.objective;
  }

  /** Until when it waits here for a free back end among those that serve, if it does so since `heldSince`. */
  holdsUntil(heldSince: number): number {
    return this.isLastChance ? this.latestBegin : heldSince + SHORT_HOLD;
  }

  /** Whether it waits here while no back end serves, and the first is expected to in `capacityIn` milliseconds. */
  waitsForCapacity(now: number, capacityIn: number): boolean {
    if (!this.#route.isStream) return false;
    const { arrivedAt, endsAt } = this;
    const { patience } = this.#route;
    const comesAgain = this.isLastChance;
    return shouldWaitForCapacity({ arrivedAt, endsAt, patience, isRetry: comesAgain }, now, now + capacityIn);
  }

  /**
   * Until when it waits for back ends that are silent, if its caller has no part of the answer: half of the time is left for a
   * repetition by the caller.
   */
  get waitsForSilentUntil(): number {
    const { isStream, patience } = this.#route;
    const time = this.endsAt - this.arrivedAt;
    return this.arrivedAt + CALLER_SHARE * (isStream ? Math.min(time, patience) : time);
  }

  /** Latest time at which a back end may begin with it. */
  get latestBegin(): number {
    return latestStart(this.arrivedAt, this.endsAt, this.#route.patience);
  }

  /**
   * Urgency at the back end's queue: first those that can be in time, then those that have come again, then late ones; of
   * each the more urgent kinds first.
   * @param rank - place of the kind of request, 0 for the most urgent
   */
  urgency(rank: number, now: number): number {
    if (this.isLate(now)) return rank === 0 ? FIRST_LATE_URGENCY : LATE_URGENCY;
    const place = Math.min(rank, MOST_RANK);
    return this.isLastChance ? REPEATED_URGENCY + place : place;
  }
}
