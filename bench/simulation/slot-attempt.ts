/** One attempt of a caller in the placement simulation: an entry looks for a slot as it does in service. */
import type { Route } from '../../src/fleet/configuration.js';
import { RequestTiming } from '../../src/forwarding/request-timing.js';
import { longestDelay, MAX_RETRY_DELAY } from '../../src/systems/capacity-wait.js';
import type { ReturnSchedule } from '../../src/systems/return-schedule.js';
import type { ServiceFloor } from '../../src/systems/service-floor.js';
import { SlotSearch } from '../../src/systems/slot-search.js';
import type { SlotDecision } from '../../src/systems/slot-table.js';
import type { DeclaredPace, SlotWait, WaitPolicy } from '../../src/systems/wait-policy.js';
import type { Caller } from './placement-callers.js';
import { TIMEOUT } from './placement-loads.js';
import {
  type PlacementContext,
  type PlacementEngine,
  type PlacementEntry,
  RETRY_AFTER,
} from './placement-machines.js';
import type { SlotPlacement } from './slot-placement.js';
import { STREAM_ROUTE } from './stream-route.js';

/** Interval at which an entry looks whether a wait has ended, in milliseconds. */
const CHECK_INTERVAL = 50;

/** What decides at one entry about waits, shares and returns. */
export interface EntryDecisions {
  floor: ServiceFloor;
  waits: WaitPolicy;
  returns: ReturnSchedule;
}

/** The search for a slot, and what follows from it. */
export class SlotAttempt {
  readonly #caller: Caller;
  readonly #entry: PlacementEntry;
  readonly #decisions: EntryDecisions;
  readonly #slots: SlotPlacement;
  readonly #context: PlacementContext;
  readonly #timing: RequestTiming;
  readonly #search: SlotSearch;
  readonly #isDrawn: boolean;
  /** The rank with which it goes. */
  readonly #rank: number;
  readonly #urgency: number;
  readonly #wait: SlotWait;
  /** The process of the entry that has the request. */
  readonly #life: number;
  readonly #open = new Map<PlacementEngine, number>();
  /** Shortest time until a slot that an agent predicts, in milliseconds; infinite if none does. */
  #slotIn = Number.POSITIVE_INFINITY;
  #isWaiting = false;
  #isOver = false;

  constructor(caller: Caller, entry: PlacementEntry, decisions: EntryDecisions, slots: SlotPlacement) {
    this.#caller = caller;
    this.#entry = entry;
    this.#decisions = decisions;
    this.#slots = slots;
    this.#context = slots.context;
    const { now } = this.#context.clock;
    const { rank } = caller.kind;
    this.#timing = new RequestTiming(now, routeOf(caller, this.#context), caller.deadline - now);
    this.#search = new SlotSearch(now, this.#context.random);
    this.#isDrawn = decisions.floor.draws(rank, now);
    this.#rank = this.#isDrawn ? 0 : rank;
    this.#urgency = this.#timing.urgency(this.#rank, now);
    decisions.returns.noteArrival(this.#rank, now);
    const request = this.#timing.waitingRequest(this.#rank, caller.promptTokens, paceOf(this.#context));
    if (request === undefined) throw new Error('all requests of the simulation are streams');
    const latestBegin = this.#timing.latestBeginFor(decisions.waits.serviceTimes(request));
    this.#wait = decisions.waits.begin(request, latestBegin, now);
    this.#life = entry.life;
  }

  begin(): void {
    this.#ask();
    this.#context.clock.schedule(this.#search.widensAt, () => this.#check());
  }

  #ask(): void {
    const { clock, engines } = this.#context;
    if (!this.#search.wantsMore(clock.now)) return;
    for (const id of this.#search.next(this.#slots.candidates(this.#entry), clock.now)) {
      const engine = engines[Number(id)];
      const claim = this.#entry.claims.open(id);
      this.#open.set(engine, claim);
      const request = {
        urgency: this.#urgency,
        waitsSince: this.#timing.arrivedAt,
        endsAt: this.#wait.endsAt,
        inTimeUntil: this.#wait.inTimeUntil,
        promptTokens: this.#caller.promptTokens,
      };
      this.#slots.ask(this.#entry, engine, claim, request, (decision) =>
        this.#onDecision(engine, claim, decision),
      );
    }
  }

  #onDecision(engine: PlacementEngine, claim: number, decision: SlotDecision): void {
    const { claims } = this.#entry;
    // A process that has started since knows nothing of the request.
    const isUnknown = this.#isOfFormerProcess || (!claims.isOpen(claim) && decision.type === 'granted');
    if (isUnknown) return this.#slots.release(this.#entry, engine, claim);
    if (this.#isOver) return;
    if (decision.type === 'queued') return this.#search.noteQueued(String(engine.number));
    if (decision.type === 'refused') return this.#onRefused(engine, claim, decision.availableIn);
    if (claims.noteGranted(claim)) this.#take(engine, claim);
  }

  get #isOfFormerProcess(): boolean {
    return this.#entry.life !== this.#life;
  }

  #onRefused(engine: PlacementEngine, claim: number, availableIn: number | undefined): void {
    this.#entry.claims.close(claim);
    this.#open.delete(engine);
    const id = String(engine.number);
    if (availableIn === undefined) return this.#search.noteFailed(id);
    this.#search.noteFull(id);
    this.#slotIn = Math.min(this.#slotIn, availableIn);
    this.#ask();
    if (!this.#search.isPending) this.#giveUp();
  }

  #take(engine: PlacementEngine, claim: number): void {
    const { clock } = this.#context;
    const { waits, returns } = this.#decisions;
    const sentAt = clock.now;
    this.#open.delete(engine);
    this.#end(true);
    returns.noteSent(sentAt);
    this.#slots.countGrant(this.#urgency);
    this.#context.send(
      this.#caller,
      this.#entry,
      engine,
      this.#urgency,
      () => {
        this.#slots.release(this.#entry, engine, claim);
        waits.noteServed(clock.now - sentAt);
        this.#noteOutcome(true);
      },
      () => {
        this.#slots.notePromptRead(this.#entry, engine, claim);
        waits.noteFirstEvent(this.#caller.promptTokens, clock.now - sentAt);
      },
    );
  }

  #check(): void {
    const { clock } = this.#context;
    if (this.#isOver) return;
    if (this.#entry.isLost || this.#isOfFormerProcess) {
      this.#stopWaiting();
      return this.#context.refuse(this.#caller, RETRY_AFTER * (1 + this.#context.random.fraction()));
    }
    for (const id of this.#search.silent((since) => clock.now - since)) this.#search.noteFailed(id);
    if (clock.now >= this.#wait.endsAt) return this.#giveUp();
    if (!this.#isWaiting) this.#slots.countWaiting(this.#urgency, 1);
    this.#isWaiting = true;
    this.#ask();
    clock.schedule(Math.min(this.#wait.endsAt, clock.now + CHECK_INTERVAL), () => this.#check());
  }

  #giveUp(): void {
    this.#end(false);
    this.#noteOutcome(false);
    const { now } = this.#context.clock;
    const { waits, returns } = this.#decisions;
    const refused = {
      rank: this.#rank,
      roomIn: Number.isFinite(this.#slotIn) ? this.#slotIn : 0,
      longest: longestDelay(this.#caller.deadline, now),
      waiting: waits.waiting(this.#rank),
    };
    this.#context.refuse(this.#caller, Math.min(MAX_RETRY_DELAY, returns.delayFor(refused, now)));
  }

  /** Ends the search; the slots and places that it still has are released. */
  #end(isSent: boolean): void {
    this.#stopWaiting();
    this.#wait.end(isSent ? 'sent' : 'unserved', this.#context.clock.now);
    for (const [engine, claim] of this.#open) this.#slots.release(this.#entry, engine, claim);
  }

  #stopWaiting(): void {
    this.#isOver = true;
    if (this.#isWaiting) this.#slots.countWaiting(this.#urgency, -1);
  }

  #noteOutcome(isServed: boolean): void {
    const { rank } = this.#caller.kind;
    this.#decisions.floor.note({ rank, isDrawn: this.#isDrawn, isServed }, this.#context.clock.now);
  }
}

function routeOf({ kind }: Caller, { site }: PlacementContext): Route {
  const { objective, rank } = kind;
  return { ...STREAM_ROUTE, objective, patience: site.patience, timeout: TIMEOUT, priority: rank };
}

/** What a configuration declares of the engines. */
export function paceOf({ site }: PlacementContext): DeclaredPace {
  const { tokensReadPerMillisecond, step, slots, stepPerRequest } = site.pace;
  return {
    readTokensPerSecond: tokensReadPerMillisecond * 1_000,
    tokenTime: step + slots * stepPerRequest,
  };
}
