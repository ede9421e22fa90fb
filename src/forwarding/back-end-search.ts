/**
 * Finds a back end for one request: claims a slot of an engine, or chooses a back end that has no agent, or holds the
 * request until capacity that is expected soon is there. A request that cannot be served in its time is given up at once.
 */
import type { Random } from '../model/random.js';
import type { StallDetector } from '../model/stall-detector.js';
import type { BackEndLimits } from './back-end-limits.js';
import type { BackEndSelector, Requirements, Selection } from './back-end-selector.js';
import type { BackEndRow, BackEndTable } from './back-end-table.js';
import type { DirectPermits } from './direct-permits.js';
import type { EngineSlots, SlotClaim } from './engine-slots.js';
import type { HoldOutcome, HoldRecord } from './hold-record.js';
import type { RequestTiming } from './request-timing.js';
import { SlotSeeker } from './slot-seeker.js';

export interface BackEndSearchComponents {
  selector: BackEndSelector;
  slots: EngineSlots;
  backEnds: BackEndTable;
  limits: BackEndLimits;
  permits: Pick<DirectPermits, 'claim'>;
  random: Random;
}

/** The request that needs a back end; each method returns the state at the time of the call. */
export interface PendingRequest {
  readonly timing: RequestTiming;
  readonly isStream: boolean;
  /** Position in the queues of back ends, 0 first. */
  urgency(now: number): number;
  requirements(): Requirements;
  /** Whether the request has been sent to a back end before. */
  wasSent(): boolean;
  /** Whether the caller has received a part of the answer, so that a back end has to resume it. */
  isResuming(): boolean;
  /** Whether the request can complete before this process exits if it is sent after `wait` milliseconds. */
  canComplete(wait?: number): boolean;
  /** Whether the retry budget allows the next send; always true if that send is not a retry. */
  isAllowedByBudget(): boolean;
}

/** Results of the search. */
export interface BackEndSearchEvents {
  /** A back end has been chosen; `claim` holds the engine slot, if one was granted. */
  onChosen(selection: Selection, claim: SlotClaim | undefined): void;
  /** No back end can take the request. */
  onGivenUp(reason: string): void;
  /** The request cannot complete before this process exits. */
  onOutOfTime(): void;
  /** An internal error. */
  onError(cause: unknown): void;
  /** Called with each line to log. */
  onNote(message: string, fields: object): void;
}

/** The search of one request for a back end; it can be started again after it has ended. */
export class BackEndSearch {
  readonly #components: BackEndSearchComponents;
  readonly #request: PendingRequest;
  readonly #events: BackEndSearchEvents;
  #seeker: SlotSeeker | undefined;
  /** The selection for which a permit is being claimed. */
  #claiming: Selection | undefined;
  /**
   * Time at which the request was first held for capacity, in milliseconds of the monotonic clock. A search for a slot in
   * between does not reset it: otherwise agents that refused repeatedly held a first request for the whole timeout of its
   * route instead of 45 ms.
   */
  #heldSince: number | undefined;
  /** True once the request was held while no back end served; it then waits for one of the first slots that become free. */
  #wasHeldForCapacity = false;
  /** Where the request has reserved one of the limited places for waiting until back ends serve. */
  #reservation: HoldRecord | undefined;
  /** Where the request is counted while it is held until one of the serving back ends is free. */
  #hold: HoldRecord | undefined;

  constructor(components: BackEndSearchComponents, request: PendingRequest, events: BackEndSearchEvents) {
    this.#components = components;
    this.#request = request;
    this.#events = events;
  }

  /** True until a back end is chosen or the search ends. */
  get isUnderWay(): boolean {
    return this.#seeker !== undefined || this.#claiming !== undefined || this.#heldSince !== undefined;
  }

  begin(): void {
    if (!this.#request.canComplete()) return this.#events.onOutOfTime();
    if (!this.#seekSlot()) this.#chooseWithoutSlot();
  }

  /** Tries again; called periodically while the search is under way. */
  check(now: number, standstills: StallDetector): void {
    if (this.#claiming !== undefined) return;
    if (this.#seeker === undefined) return this.begin();
    if (!this.#request.canComplete()) return this.#events.onOutOfTime();
    if (this.#seeker.hasExpired(now)) return this.#events.onGivenUp('back ends full');
    this.#seeker.check(now, standstills);
  }

  /** Ends the search and releases what it holds. */
  end(outcome: HoldOutcome): void {
    this.#heldSince = undefined;
    this.#claiming = undefined;
    this.#cancelSeeker();
    this.#hold?.end(outcome);
    this.#hold = undefined;
    this.#reservation?.releasePlace();
    this.#reservation = undefined;
  }

  /** Starts to look for a slot of an engine; returns false if there is no agent to ask. */
  #seekSlot(): boolean {
    const { selector, backEnds, limits, slots, random } = this.#components;
    const { timing, requirements, wasSent, isResuming, urgency } = this.#request;
    if (!selector.shouldAcquireSlot(requirements())) return false;
    const now = performance.now();
    this.#seeker = new SlotSeeker({
      slots,
      table: backEnds,
      random,
      candidates: () => selector.slotCandidates(requirements()),
      isEligible: (row) => selector.isEligibleWithSlot(row, requirements()),
      rateLimitOf: (row) => limits.rateOf(row.record),
      urgency: isResuming() ? 0 : urgency(now),
      arrivedAt: timing.arrivedAt,
      endsAt: timing.slotWaitDeadline(now, wasSent(), this.#wasHeldForCapacity),
      onGranted: (row, claim, asked) => this.#takeSlot(row, claim, asked),
      onWait: () => this.#onWaitForSlot(),
      onExhausted: () => {
        this.#cancelSeeker();
        this.#chooseWithoutSlot();
      },
      onFault: (cause) => this.#events.onError(cause),
    });
    this.#seeker.begin();
    return true;
  }

  #takeSlot(row: BackEndRow, claim: SlotClaim, asked: number): void {
    const selection = this.#components.selector.selectionOf(
      row.record.id,
      this.#request.requirements(),
      0,
      asked,
    );
    this.end('sent');
    this.#events.onChosen(selection, claim);
  }

  /** No slot is free at once. A caller's retry keeps waiting only if such waits have been successful lately. */
  #onWaitForSlot(): void {
    if (
      this.#request.isResuming() ||
      this.#request.wasSent() ||
      this.#wasHeldForCapacity ||
      this.#beginHold()
    )
      return;
    this.#events.onGivenUp('back ends full');
  }

  #cancelSeeker(): void {
    this.#seeker?.cancel();
    this.#seeker = undefined;
  }

  #chooseWithoutSlot(): void {
    const selection = this.#components.selector.select(this.#request.requirements());
    if (selection === undefined) return this.#holdOrGiveUp();
    const wasSentOrHeld = this.#request.wasSent() || this.#wasHeldForCapacity;
    if (selection.expectedWait > this.#request.timing.maxQueueWait(wasSentOrHeld))
      return this.#events.onGivenUp('back ends full');
    if (this.#components.selector.needsPermit(selection.row)) return void this.#claimPermit(selection);
    this.end('sent');
    this.#events.onChosen(selection, undefined);
  }

  /** Claims a permit of a rate-limited back end before it is chosen; selects again if none is granted. */
  async #claimPermit(selection: Selection): Promise<void> {
    const { permits, selector } = this.#components;
    const { record } = selection.row;
    this.#claiming = selection;
    try {
      const isGranted = await permits.claim(record, selector.hasAgents(record.service));
      // The wait may have ended during the claim.
      if (this.#claiming !== selection) return;
      this.#claiming = undefined;
      if (!isGranted || !selector.isEligibleWithSlot(selection.row, this.#request.requirements()))
        return this.begin();
      this.end('sent');
      this.#events.onChosen(selection, undefined);
    } catch (cause) {
      this.#events.onError(cause);
    }
  }

  /** Holds the request if capacity is expected in its time, and gives up otherwise. */
  #holdOrGiveUp(): void {
    const { canComplete, isResuming, isAllowedByBudget } = this.#request;
    const now = performance.now();
    const capacity = this.#components.selector.timeToCapacity(this.#request.requirements().service);
    const wasHeld = this.#heldSince !== undefined;
    this.#heldSince ??= now;
    if (!canComplete(capacity)) return this.#events.onOutOfTime();
    if (capacity === undefined && !isAllowedByBudget()) return this.#events.onGivenUp('no budget');
    const mayWait = !isResuming() && this.#shouldHold(capacity, this.#heldSince, now);
    if (!mayWait) return this.#giveUp(capacity, now - this.#heldSince);
    if (!wasHeld) this.#events.onNote('held', { capacityMs: Math.round(capacity ?? 0) });
  }

  /**
   * Whether to hold the request.
   * @param capacity - time until the first back end serves; undefined if some serve but none of them can take the request
   */
  #shouldHold(capacity: number | undefined, heldSince: number, now: number): boolean {
    const { timing, isStream, requirements } = this.#request;
    if (capacity === undefined && this.#wasHeldForCapacity) return now < timing.latestBegin;
    if (capacity === undefined) return isStream && now < timing.holdDeadline(heldSince) && this.#beginHold();
    const forecast = this.#components.backEnds.forecastOf(requirements().service);
    if (!forecast.note(now + capacity, now) || !timing.waitsForCapacity(now, capacity)) return false;
    if (now + capacity <= timing.latestBegin && !this.#reservePlace()) return false;
    this.#wasHeldForCapacity = true;
    return true;
  }

  /** Reserves one of the places for requests that wait for the first slots; returns false if all of them are taken. */
  #reservePlace(): boolean {
    if (this.#reservation !== undefined) return true;
    const { service } = this.#request.requirements();
    const holds = this.#components.backEnds.holdsOf(service);
    if (!holds.reservePlace(this.#components.selector.slotShare(service))) return false;
    this.#reservation = holds;
    return true;
  }

  #giveUp(capacity: number | undefined, heldFor: number): void {
    const excluded = this.#components.selector.exclusions(this.#request.requirements());
    this.#events.onNote('no back end', { excluded, capacityMs: capacity, heldMs: Math.round(heldFor) });
    this.#events.onGivenUp('no back end');
  }

  /**
   * Counts the wait of a caller's retry; returns false if the request must not wait. First requests are not counted, as they
   * wait only briefly.
   */
  #beginHold(): boolean {
    if (!this.#request.timing.isCallerRetry || this.#hold !== undefined) return true;
    const holds = this.#components.backEnds.holdsOf(this.#request.requirements().service);
    if (!holds.allowsMore) return false;
    holds.begin();
    this.#hold = holds;
    return true;
  }
}
