/** One attempt of a caller in the placement simulation: an entry looks for a slot as it does in service. */
import type { Route } from '../../src/fleet/configuration.js';
import { RequestTiming } from '../../src/forwarding/request-timing.js';
import type { ServiceFloor } from '../../src/systems/service-floor.js';
import { SlotSearch } from '../../src/systems/slot-search.js';
import type { SlotDecision } from '../../src/systems/slot-table.js';
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

/** The search for a slot, and what follows from it. */
export class SlotAttempt {
  readonly #caller: Caller;
  readonly #entry: PlacementEntry;
  readonly #floor: ServiceFloor;
  readonly #slots: SlotPlacement;
  readonly #context: PlacementContext;
  readonly #timing: RequestTiming;
  readonly #search: SlotSearch;
  readonly #endsAt: number;
  readonly #isDrawn: boolean;
  readonly #urgency: number;
  /** The process of the entry that has the request. */
  readonly #life: number;
  readonly #open = new Map<PlacementEngine, number>();
  #isWaiting = false;
  #isOver = false;

  constructor(caller: Caller, entry: PlacementEntry, floor: ServiceFloor, slots: SlotPlacement) {
    this.#caller = caller;
    this.#entry = entry;
    this.#floor = floor;
    this.#slots = slots;
    this.#context = slots.context;
    const { now } = this.#context.clock;
    const { rank } = caller.kind;
    this.#timing = new RequestTiming(now, routeOf(caller, this.#context), caller.deadline - now);
    this.#search = new SlotSearch(now, this.#context.random);
    this.#endsAt = this.#timing.slotWaitDeadline(now, false, false);
    this.#isDrawn = floor.draws(rank, now);
    this.#urgency = this.#timing.urgency(this.#isDrawn ? 0 : rank, now);
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
        endsAt: this.#endsAt,
        inTimeUntil: this.#timing.inTimeUntil,
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
    this.#ask();
    if (!this.#search.isPending) this.#giveUp();
  }

  #take(engine: PlacementEngine, claim: number): void {
    this.#open.delete(engine);
    this.#end();
    this.#slots.countGrant(this.#urgency);
    this.#context.send(this.#caller, this.#entry, engine, this.#urgency, () => {
      this.#slots.release(this.#entry, engine, claim);
      this.#noteOutcome(true);
    });
  }

  #check(): void {
    const { clock } = this.#context;
    if (this.#isOver) return;
    if (this.#entry.isLost || this.#isOfFormerProcess) {
      this.#stopWaiting();
      return this.#refuse();
    }
    for (const id of this.#search.silent((since) => clock.now - since)) this.#search.noteFailed(id);
    if (clock.now >= this.#endsAt) return this.#giveUp();
    if (!this.#isWaiting) this.#slots.countWaiting(this.#urgency, 1);
    this.#isWaiting = true;
    this.#ask();
    clock.schedule(Math.min(this.#endsAt, clock.now + CHECK_INTERVAL), () => this.#check());
  }

  #giveUp(): void {
    this.#end();
    this.#noteOutcome(false);
    this.#refuse();
  }

  /** Ends the search; the slots and places that it still has are released. */
  #end(): void {
    this.#stopWaiting();
    for (const [engine, claim] of this.#open) this.#slots.release(this.#entry, engine, claim);
  }

  #stopWaiting(): void {
    this.#isOver = true;
    if (this.#isWaiting) this.#slots.countWaiting(this.#urgency, -1);
  }

  #refuse(): void {
    this.#context.refuse(this.#caller, RETRY_AFTER * (1 + this.#context.random.fraction()));
  }

  #noteOutcome(isServed: boolean): void {
    const { rank } = this.#caller.kind;
    this.#floor.note({ rank, isDrawn: this.#isDrawn, isServed }, this.#context.clock.now);
  }
}

function routeOf({ kind }: Caller, { site }: PlacementContext): Route {
  const { objective, rank } = kind;
  return { ...STREAM_ROUTE, objective, patience: site.patience, timeout: TIMEOUT, priority: rank };
}
