/**
 * Decides whether one request is held while no back end can take it, and counts it where the number of requests that are held
 * is limited. Times are in milliseconds of the monotonic clock.
 */
import type { HoldOutcome, HoldRecord } from '../systems/hold-record.js';
import type { Requirements } from './back-end-eligibility.js';
import type { BackEndSelector } from './back-end-selector.js';
import type { BackEndTable } from './back-end-table.js';
import type { ExpectedCapacity } from './capacity-estimator.js';
import type { RequestTiming } from './request-timing.js';

export interface CapacityHoldComponents {
  selector: Pick<BackEndSelector, 'slotShare'>;
  backEnds: Pick<BackEndTable, 'holdsOf' | 'forecastOf'>;
}

/** The request that may be held. */
export interface HeldRequest {
  readonly timing: RequestTiming;
  readonly isStream: boolean;
}

/** The hold of one request. */
export class CapacityHold {
  readonly #components: CapacityHoldComponents;
  readonly #request: HeldRequest;
  /**
   * Time at which the request was first held. A search for a slot in between does not reset it: otherwise agents that refused
   * repeatedly held a request for the whole timeout of its route instead of 45 ms.
   */
  #since: number | undefined;
  #wasForCapacity = false;
  /** Where the request has reserved one of the limited places for waiting until back ends serve. */
  #reservation: HoldRecord | undefined;
  /** Where the request is counted while it is held until one of the serving back ends is free. */
  #counted: HoldRecord | undefined;

  constructor(components: CapacityHoldComponents, request: HeldRequest) {
    this.#components = components;
    this.#request = request;
  }

  /** True from the first attempt to hold the request until the search ends. */
  get isUnderWay(): boolean {
    return this.#since !== undefined;
  }

  /** True once the request was held while no back end served; it then waits for one of the first slots that become free. */
  get wasForCapacity(): boolean {
    return this.#wasForCapacity;
  }

  /** Time for which the request has been held. */
  heldFor(now: number): number {
    return now - (this.#since ?? now);
  }

  /** Counts from now on, unless the request has been held before; returns whether it has. */
  begin(now: number): boolean {
    const wasUnderWay = this.isUnderWay;
    this.#since ??= now;
    return wasUnderWay;
  }

  /** Ends the hold and releases what it has reserved. */
  end(outcome: HoldOutcome): void {
    this.#since = undefined;
    this.#counted?.end(outcome);
    this.#counted = undefined;
    this.#reservation?.releasePlace();
    this.#reservation = undefined;
  }

  /**
   * Whether the request is held on.
   * @param capacity - undefined if some back ends serve but none of them can take the request
   */
  continues(capacity: ExpectedCapacity | undefined, requirements: Requirements, now: number): boolean {
    const { timing, isStream } = this.#request;
    if (capacity === undefined && this.#wasForCapacity) return now < timing.latestBegin;
    if (capacity === undefined) return isStream && now < timing.holdDeadline(this.#since ?? now);
    const isInTime = now + capacity.wait <= timing.latestBegin;
    if (capacity.isBackoff) return isInTime && this.#holdForBackoff(requirements);
    const forecast = this.#components.backEnds.forecastOf(requirements.service);
    if (!forecast.note(now + capacity.wait, now) || !timing.waitsForCapacity(now, capacity.wait))
      return false;
    if (isInTime && !this.#reservePlace(requirements, timing.mayReturnFor(now, capacity.wait))) return false;
    this.#wasForCapacity = true;
    return true;
  }

  /**
   * Holds the request until a back end may get requests again, unless such waits have failed lately, as back ends ask for one
   * back-off after the other. Their end is known, so that a caller would only lose time by coming again after it.
   */
  #holdForBackoff(requirements: Requirements): boolean {
    if (!this.#reservePlace(requirements) || !this.#count(requirements)) return false;
    this.#wasForCapacity = true;
    return true;
  }

  /**
   * Reserves one of the places for requests that wait for the first slots; returns false if all of them are taken.
   * @param mayReturn - whether the caller also reaches these slots by retrying
   */
  #reservePlace({ service, regions }: Requirements, mayReturn = false): boolean {
    if (this.#reservation !== undefined) return true;
    const holds = this.#components.backEnds.holdsOf(service);
    if (!holds.reservePlace(this.#components.selector.slotShare(service, regions), mayReturn)) return false;
    this.#reservation = holds;
    return true;
  }

  /** Counts the wait; returns false if the request must not wait. */
  #count({ service }: Requirements): boolean {
    if (this.#counted !== undefined) return true;
    const holds = this.#components.backEnds.holdsOf(service);
    if (!holds.allowsMore) return false;
    holds.begin();
    this.#counted = holds;
    return true;
  }
}
