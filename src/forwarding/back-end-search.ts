/**
 * Finds a back end for one request: claims a slot of an engine, or chooses a back end that has no agent, or holds the
 * request until capacity that is expected soon is there. A request that cannot be served in its time is given up at once.
 */
import type { Random } from '../model/random.js';
import type { StallDetector } from '../model/stall-detector.js';
import type { HoldOutcome } from '../systems/hold-record.js';
import type { SlotWait } from '../systems/wait-policy.js';
import type { Requirements } from './back-end-eligibility.js';
import type { BackEndLimits } from './back-end-limits.js';
import type { BackEndSelector, Selection } from './back-end-selector.js';
import type { BackEndRow, BackEndTable } from './back-end-table.js';
import type { BackEndWarmUps } from './back-end-warm-ups.js';
import type { CallerReturns } from './caller-returns.js';
import type { ExpectedCapacity } from './capacity-estimator.js';
import { CapacityHold } from './capacity-hold.js';
import type { DirectPermits } from './direct-permits.js';
import type { EngineSlots, SlotClaim } from './engine-slots.js';
import type { RequestTiming } from './request-timing.js';
import { SlotSeeker } from './slot-seeker.js';

/** Reason given if no back end is eligible, as opposed to those that are eligible but full. */
const NO_BACK_END = 'no back end';
/** Reason given if eligible back ends are full. */
const BACK_ENDS_FULL = 'back ends full';
/** Reason given if the regions of the request exclude all back ends of its service. */
const NO_REGION = 'no back end in an allowed region';

export interface BackEndSearchComponents {
  selector: BackEndSelector;
  slots: EngineSlots;
  backEnds: BackEndTable;
  limits: BackEndLimits;
  warmUps: Pick<BackEndWarmUps, 'stateOf'>;
  permits: Pick<DirectPermits, 'claim'>;
  random: Random;
  returns: Pick<CallerReturns, 'noteArrival' | 'noteSent'>;
}

/** The request that needs a back end; each method returns the state at the time of the call. */
export interface PendingRequest {
  readonly timing: RequestTiming;
  readonly isStream: boolean;
  /** Tokens of the prompt; 0 if unknown. */
  readonly promptTokens: number;
  /** Rank of the request's priority, 0 for the most urgent. */
  readonly rank: number;
  /** @param isLastResort - whether the request would be refused otherwise */
  requirements(isLastResort?: boolean): Requirements;
  /** Whether the request has been sent to a back end before. */
  wasSent(): boolean;
  /** Whether the caller has received a part of the answer, so that a back end has to resume it. */
  isResuming(): boolean;
  /** Whether the request will have ended before this process exits. */
  canComplete(): boolean;
  /** Whether the retry budget allows the next send; always true if that send is not a retry. */
  isAllowedByBudget(): boolean;
  /** Whether a back end may still answer the request, so that it is not refused if this search fails. */
  hasOpenAttempt(): boolean;
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
  readonly #hold: CapacityHold;
  /** The wait for a slot of a request that was neither sent nor held before. */
  #wait: SlotWait | undefined;
  /** Time until agents expect a slot for the request, in milliseconds; undefined if none has refused it for that reason. */
  #slotIn: number | undefined;
  /** True once the arrival of the request has been counted. */
  #isCounted = false;
  /** True once the request would be refused unless a back end that backs off takes it. */
  #isLastResort = false;

  constructor(components: BackEndSearchComponents, request: PendingRequest, events: BackEndSearchEvents) {
    this.#components = components;
    this.#request = request;
    this.#events = events;
    this.#hold = new CapacityHold(components, request);
  }

  /** True until a back end is chosen or the search ends. */
  get isUnderWay(): boolean {
    return this.#seeker !== undefined || this.#claiming !== undefined || this.#hold.isUnderWay;
  }

  /** Time until agents expect a slot for the request, in milliseconds; undefined if they predict none. */
  get slotIn(): number | undefined {
    return this.#slotIn;
  }

  begin(): void {
    this.#countArrival();
    if (!this.#request.canComplete()) return this.#events.onOutOfTime();
    if (!this.#components.selector.isServedInRegions(this.#requirements)) return this.#giveUp(NO_REGION);
    if (!this.#seekSlot()) this.#chooseWithoutSlot();
  }

  #countArrival(): void {
    if (this.#isCounted) return;
    this.#isCounted = true;
    const { service } = this.#requirements;
    this.#components.returns.noteArrival(service, this.#request.rank, performance.now());
  }

  /** Tries again; called periodically while the search is under way. */
  check(now: number, standstills: StallDetector): void {
    if (this.#claiming !== undefined) return;
    if (this.#seeker === undefined) return this.begin();
    if (!this.#request.canComplete()) return this.#events.onOutOfTime();
    if (this.#seeker.hasExpired(now)) return this.#giveUp(BACK_ENDS_FULL);
    this.#seeker.check(now, standstills);
  }

  /** Ends the search and releases what it holds. */
  end(outcome: HoldOutcome): void {
    this.#isLastResort = false;
    this.#claiming = undefined;
    this.#cancelSeeker();
    this.#wait?.end(outcome, performance.now());
    this.#wait = undefined;
    this.#hold.end(outcome);
  }

  /** Starts to look for a slot of an engine; returns false if there is no agent to ask. */
  #seekSlot(): boolean {
    const { selector, backEnds, limits, warmUps, slots, random } = this.#components;
    const { timing, rank, isResuming, isStream, promptTokens } = this.#request;
    if (!selector.shouldAcquireSlot(this.#requirements)) return false;
    const now = performance.now();
    const { endsAt, inTimeUntil } = this.#slotWaitTimes(now);
    this.#seeker = new SlotSeeker({
      slots,
      table: backEnds,
      random,
      candidates: () => selector.slotCandidates(this.#requirements),
      isEligible: (row) => selector.isEligibleWithSlot(row, this.#requirements),
      isUnavailable: (row, when) =>
        !selector.isInRegions(row, this.#requirements.regions) ||
        (!this.#isLastResort && selector.isUnavailable(row, when)),
      rateLimitOf: (row) => limits.namedRateOf(row.record),
      coldStateOf: (row, when) => warmUps.stateOf(row.record, when),
      urgency: isResuming() ? 0 : timing.urgency(rank, now),
      arrivedAt: timing.arrivedAt,
      inTimeUntil,
      // Only the answer of a stream shows when its prompt has been read.
      promptTokens: isStream ? promptTokens : 0,
      endsAt,
      onGranted: (row, claim, asked) => this.#takeSlot(row, claim, asked),
      onExhausted: () => {
        this.#cancelSeeker();
        this.#chooseWithoutSlot();
      },
      onFull: (availableIn) => {
        this.#slotIn = availableIn;
        this.#giveUp(BACK_ENDS_FULL);
      },
      onFault: (cause) => this.#events.onError(cause),
    });
    this.#seeker.begin();
    return true;
  }

  /** Until when the request waits for a slot, and until when a slot lets it meet its objective. */
  #slotWaitTimes(now: number): Pick<SlotWait, 'endsAt' | 'inTimeUntil'> {
    const { timing, rank, promptTokens, isResuming, wasSent } = this.#request;
    const { service, engine } = this.#requirements;
    const waits = this.#components.backEnds.waitsOf(service);
    const request = timing.waitingRequest(rank, promptTokens, engine);
    if (wasSent() || this.#hold.wasForCapacity || request === undefined) {
      const endsAt = timing.slotWaitDeadline(now, wasSent());
      // An answer that has begun is never late.
      const isInTime = isResuming() || request === undefined;
      return { endsAt, inTimeUntil: isInTime ? endsAt : waits.inTimeUntil(request) };
    }
    this.#wait ??= waits.begin(request, timing.latestBeginFor(waits.serviceTimes(request)), now);
    return this.#wait;
  }

  #takeSlot(row: BackEndRow, claim: SlotClaim, asked: number): void {
    const selection = this.#components.selector.selectionOf(row.record.id, this.#requirements, 0, asked);
    this.#choose(selection, claim);
  }

  #choose(selection: Selection, claim: SlotClaim | undefined): void {
    this.end('sent');
    this.#components.returns.noteSent(this.#requirements.service, performance.now());
    this.#events.onChosen(selection, claim);
  }

  #cancelSeeker(): void {
    this.#seeker?.cancel();
    this.#seeker = undefined;
  }

  #chooseWithoutSlot(): void {
    const selection = this.#components.selector.select(this.#requirements);
    if (selection === undefined) return this.#holdOrGiveUp();
    const wasSentOrHeld = this.#request.wasSent() || this.#hold.wasForCapacity;
    if (selection.expectedWait > this.#request.timing.maxQueueWait(wasSentOrHeld))
      return this.#giveUp(BACK_ENDS_FULL);
    if (this.#components.selector.needsPermit(selection.row)) return void this.#claimPermit(selection);
    this.#choose(selection, undefined);
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
      if (!isGranted || !selector.isEligibleWithSlot(selection.row, this.#requirements)) return this.begin();
      this.#choose(selection, undefined);
    } catch (cause) {
      this.#events.onError(cause);
    }
  }

  get #requirements(): Requirements {
    return this.#request.requirements(this.#isLastResort);
  }

  /** Holds the request if capacity is expected in its time, and gives up otherwise. */
  #holdOrGiveUp(): void {
    const { canComplete, isResuming, isAllowedByBudget } = this.#request;
    const now = performance.now();
    const requirements = this.#requirements;
    const capacity = this.#components.selector.timeToCapacity(requirements.service, requirements.regions);
    const wasHeld = this.#hold.begin(now);
    if (!canComplete()) return this.#events.onOutOfTime();
    if (capacity === undefined && !isAllowedByBudget()) return this.#endUnserved('no budget');
    // Sent at once, as each refusal of such a request prolongs the back-off by the time that has passed since it began.
    if (capacity?.isBackoff === true && this.#tryLastResort()) return;
    const mayWait = !isResuming() && this.#hold.continues(capacity, requirements, now);
    if (!mayWait) return this.#giveUp(NO_BACK_END, capacity);
    if (!wasHeld) this.#events.onNote('held', { capacityMs: Math.round(capacity?.wait ?? 0) });
  }

  /** Ends the search, unless a back end that backs off may get the request. */
  #giveUp(reason: string, capacity?: ExpectedCapacity): void {
    if (this.#tryLastResort()) return;
    if (reason !== BACK_ENDS_FULL) this.#noteExclusions(capacity);
    this.#endUnserved(reason);
  }

  /** Ends the search first, as a refused caller comes back after the requests that wait, of which it is no longer one. */
  #endUnserved(reason: string): void {
    this.end('unserved');
    this.#events.onGivenUp(reason);
  }

  /** Starts to search among back ends that back off for one that may get the request all the same; false if there is none. */
  #tryLastResort(): boolean {
    if (this.#isLastResort || this.#request.hasOpenAttempt() || !this.#request.isAllowedByBudget())
      return false;
    if (!this.#components.selector.hasLastResort(this.#requirements)) return false;
    this.#isLastResort = true;
    this.#cancelSeeker();
    this.begin();
    return true;
  }

  #noteExclusions(capacity: ExpectedCapacity | undefined): void {
    const excluded = this.#components.selector.exclusions(this.#requirements);
    const { regions } = this.#requirements;
    const heldMs = Math.round(this.#hold.heldFor(performance.now()));
    this.#events.onNote(NO_BACK_END, {
      excluded,
      regions: regions && [...regions],
      capacityMs: capacity?.wait,
      heldMs,
    });
  }
}
