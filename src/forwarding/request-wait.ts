/**
 * How one request comes to a back end: it looks for a slot of an engine, or takes a back end that has no agent, or waits for
 * capacity that is in sight. What cannot be served in its time is given up at once.
 */
import type { Random } from '../model/random.js';
import type { StallDetector } from '../model/standstills.js';
import type { BackEndLimits } from './back-end-limits.js';
import type { BackEndSelector, Requirements, Selection } from './back-end-selector.js';
import type { BackEndRow, BackEndTable } from './back-end-table.js';
import type { DirectPermits } from './direct-permits.js';
import type { EngineSlots, SlotClaim } from './engine-slots.js';
import type { HoldEnd, HoldRecord } from './hold-record.js';
import type { RequestTiming } from './request-timing.js';
import { SlotSeeker } from './slot-seeker.js';

/** What waits are decided with. */
export interface RequestWaitComponents {
  selector: BackEndSelector;
  slots: EngineSlots;
  backEnds: BackEndTable;
  limits: BackEndLimits;
  permits: Pick<DirectPermits, 'claim'>;
  random: Random;
}

/** The request that waits, as it stands at the moment of each question. */
export interface WaitingRequest {
  readonly timing: RequestTiming;
  readonly isStream: boolean;
  /** Its place in the queues of back ends, 0 first. */
  urgency(now: number): number;
  requirements(): Requirements;
  /** A back end was sent to before. */
  wasSent(): boolean;
  /** Its caller has a part of the answer: it goes on. */
  goesOn(): boolean;
  /** Whether it can still end before this process does, if it is sent after `wait` milliseconds. */
  canEnd(wait?: number): boolean;
  /** Whether the budget has a repetition, where it would be one. */
  mayBeSent(): boolean;
}

/** What comes of it. */
export interface RequestWaitEvents {
  /** It is to be sent there; with a claim, it has a slot. */
  onChosen(selection: Selection, claim: SlotClaim | undefined): void;
  /** No back end can take it. */
  onGivenUp(reason: string): void;
  /** This process has no time for it. */
  onNoTime(): void;
  /** A fault of this process. */
  onFault(cause: unknown): void;
  /** A change of state, for logs. */
  onNote(message: string, fields: object): void;
}

/** The wait of one request. */
export class RequestWait {
  readonly #components: RequestWaitComponents;
  readonly #request: WaitingRequest;
  readonly #events: RequestWaitEvents;
  /** Its search for a slot of an engine. */
  #seeker: SlotSeeker | undefined;
  /** The selection for which a permit is being claimed. */
  #claiming: Selection | undefined;
  /**
   * Since when it waits for capacity, in milliseconds of the steady clock; searches for a slot meanwhile do not begin it anew:
   * agents that refused again and again held a first request for all the time of its route in place of 45 ms.
   */
  #heldSince: number | undefined;
  /** It has waited while no back end served: it is owed one of the first slots that come free. */
  #wasHeldForCapacity = false;
  /** Where it has a place among those that wait until back ends serve. */
  #place: HoldRecord | undefined;
  /** Waits of this kind that it counts among, while it waits for one of many back ends to be free. */
  #hold: HoldRecord | undefined;

  constructor(components: RequestWaitComponents, request: WaitingRequest, events: RequestWaitEvents) {
    this.#components = components;
    this.#request = request;
    this.#events = events;
  }

  /** True from a search, or the wait for capacity, until a back end is chosen or it is given up. */
  get isUnderWay(): boolean {
    return this.#seeker !== undefined || this.#claiming !== undefined || this.#heldSince !== undefined;
  }

  /** Looks for a back end. */
  begin(): void {
    if (!this.#request.canEnd()) return this.#events.onNoTime();
    if (!this.#seekSlot()) this.#chooseWithoutSlot();
  }

  /** Looks again; called by the shared tick while it is under way. */
  check(now: number, standstills: StallDetector): void {
    if (this.#claiming !== undefined) return;
    if (this.#seeker === undefined) return this.begin();
    if (!this.#request.canEnd()) return this.#events.onNoTime();
    if (this.#seeker.isOver(now)) return this.#events.onGivenUp('back ends full');
    this.#seeker.check(now, standstills);
  }

  /** Ends it, however the request goes on. */
  end(how: HoldEnd): void {
    this.#heldSince = undefined;
    this.#claiming = undefined;
    this.#endSearch();
    this.#hold?.end(how);
    this.#hold = undefined;
    this.#place?.freePlace();
    this.#place = undefined;
  }

  /** Looks for a slot of an engine; false where no agent is to be asked. */
  #seekSlot(): boolean {
    const { selector, backEnds, limits, slots, random } = this.#components;
    const { timing, requirements, wasSent, goesOn, urgency } = this.#request;
    if (!selector.looksForSlot(requirements())) return false;
    const now = performance.now();
    this.#seeker = new SlotSeeker({
      slots,
      table: backEnds,
      random,
      candidates: () => selector.slotCandidates(requirements()),
      mayTake: (row) => selector.mayTakeSlot(row, requirements()),
      rateLimitOf: (row) => limits.rateOf(row.record),
      urgency: goesOn() ? 0 : urgency(now),
      arrivedAt: timing.arrivedAt,
      endsAt: timing.waitsForSlotUntil(now, wasSent(), this.#wasHeldForCapacity),
      onGranted: (row, claim, asked) => this.#takeSlot(row, claim, asked),
      onWait: () => this.#onWaitForSlot(),
      onNobody: () => {
        this.#endSearch();
        this.#chooseWithoutSlot();
      },
      onFault: (cause) => this.#events.onFault(cause),
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

  /** No slot is free at once. One that comes again waits only where that has been worth it lately. */
  #onWaitForSlot(): void {
    if (this.#request.goesOn() || this.#request.wasSent() || this.#wasHeldForCapacity || this.#beginHold())
      return;
    this.#events.onGivenUp('back ends full');
  }

  #endSearch(): void {
    this.#seeker?.cancel();
    this.#seeker = undefined;
  }

  #chooseWithoutSlot(): void {
    const selection = this.#components.selector.select(this.#request.requirements());
    if (selection === undefined) return this.#holdOrGiveUp();
    const isOwed = this.#request.wasSent() || this.#wasHeldForCapacity;
    if (selection.expectedWait > this.#request.timing.longestWait(isOwed))
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
      if (!isGranted || !selector.mayTakeSlot(selection.row, this.#request.requirements()))
        return this.begin();
      this.end('sent');
      this.#events.onChosen(selection, undefined);
    } catch (cause) {
      this.#events.onFault(cause);
    }
  }

  /** Waits for capacity that is in sight; gives up at once where it is not. */
  #holdOrGiveUp(): void {
    const { canEnd, goesOn, mayBeSent } = this.#request;
    const now = performance.now();
    const capacity = this.#components.selector.expectedCapacity(this.#request.requirements().service);
    const wasHeld = this.#heldSince !== undefined;
    this.#heldSince ??= now;
    if (!canEnd(capacity)) return this.#events.onNoTime();
    if (capacity === undefined && !mayBeSent()) return this.#events.onGivenUp('no budget');
    const waits = !goesOn() && this.#waitsFor(capacity, this.#heldSince, now);
    if (!waits) return this.#giveUp(capacity, now - this.#heldSince);
    if (!wasHeld) this.#events.onNote('held', { capacityMs: Math.round(capacity ?? 0) });
  }

  /** @param capacity - time until a back end serves; undefined where some do, so that one of them is free soon or not */
  #waitsFor(capacity: number | undefined, heldSince: number, now: number): boolean {
    const { timing, isStream, requirements } = this.#request;
    if (capacity === undefined && this.#wasHeldForCapacity) return now < timing.latestBegin;
    if (capacity === undefined) return isStream && now < timing.holdsUntil(heldSince) && this.#beginHold();
    const forecast = this.#components.backEnds.forecastOf(requirements().service);
    if (!forecast.note(now + capacity, now) || !timing.waitsForCapacity(now, capacity)) return false;
    if (now + capacity <= timing.latestBegin && !this.#takePlace()) return false;
    this.#wasHeldForCapacity = true;
    return true;
  }

  /** A place among those that wait for the first slots; false where all of these are spoken for. */
  #takePlace(): boolean {
    if (this.#place !== undefined) return true;
    const { service } = this.#request.requirements();
    const holds = this.#components.backEnds.holdsOf(service);
    if (!holds.takePlace(this.#components.selector.slotShare(service))) return false;
    this.#place = holds;
    return true;
  }

  #giveUp(capacity: number | undefined, heldFor: number): void {
    const excluded = this.#components.selector.exclusions(this.#request.requirements());
    this.#events.onNote('no back end', { excluded, capacityMs: capacity, heldMs: Math.round(heldFor) });
    this.#events.onGivenUp('no back end');
  }

  /** Counts the wait of a request that comes again; false where it is not to wait. A first one waits for a moment only. */
  #beginHold(): boolean {
    if (!this.#request.timing.isLastChance || this.#hold !== undefined) return true;
    const holds = this.#components.backEnds.holdsOf(this.#request.requirements().service);
    if (!holds.allowsMore) return false;
    holds.begin();
    this.#hold = holds;
    return true;
  }
}
