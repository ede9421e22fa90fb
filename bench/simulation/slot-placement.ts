/** Placement by slots that agents grant, with the systems that entries and agents run. */
import type { Random } from '../../src/model/random.js';
import { ReturnSchedule } from '../../src/systems/return-schedule.js';
import { ServiceFloor } from '../../src/systems/service-floor.js';
import { claimOf, tableId } from '../../src/systems/slot-holders.js';
import type { SlotAsk } from '../../src/systems/slot-queue.js';
import type { SlotCandidate } from '../../src/systems/slot-search.js';
import type { SlotDecision } from '../../src/systems/slot-table.js';
import { WaitPolicy } from '../../src/systems/wait-policy.js';
import type { Caller } from './placement-callers.js';
import {
  delayBetween,
  OTHER_ZONE_COST,
  type PlacementContext,
  type PlacementEngine,
  type PlacementEntry,
  type RequestPlacement,
} from './placement-machines.js';
import { type EntryDecisions, paceOf, SlotAttempt } from './slot-attempt.js';

const LOOK_INTERVAL = 250;
const STATEMENT_INTERVAL = 100;
const HOLDERS_CHECK = 100;
/** An engine tells of its load as it stood this long before, in milliseconds. */
const REPORT_LAG = 200;
/** Engines whose loads are not known are alike. */
const SPREAD = 40;

export interface SlotPlacementOptions {
  /** Whether agents know the reading rate, and grant no more than engines read ahead. */
  isLimitedByWork: boolean;
  /** What entries state, and whether it arrives, has a stream of its own: the load is the same with and without it. */
  statementRandom: Random;
  /** Share of the messages between the two that is lost at present. */
  lossBetween: (entry: PlacementEntry, engine: PlacementEngine) => number;
}

/** Entries look for slots at the agents of a few engines. */
export class SlotPlacement implements RequestPlacement {
  readonly context: PlacementContext;
  readonly #options: SlotPlacementOptions;
  /** Who waits for the answers of agents, by the request's name there. */
  readonly #seekers = new Map<string, (decision: SlotDecision) => void>();
  readonly #decisions: EntryDecisions[];
  /** Requests that have waited long enough to ask more agents, by urgency. */
  readonly #waiting = new Map<number, number>();
  /** When each agent can grant its next slot. */
  readonly #grantsDue = new Map<PlacementEngine, number>();
  /** Grants, and those given while a more urgent request waited elsewhere. */
  #grants = 0;
  #grantsPastUrgent = 0;

  constructor(context: PlacementContext, options: SlotPlacementOptions) {
    this.context = context;
    this.#options = options;
    this.#decisions = context.entries.map(() => ({
      floor: new ServiceFloor(context.random),
      waits: new WaitPolicy(),
      returns: new ReturnSchedule(context.random),
    }));
  }

  /** Share of the grants that were given while a more urgent request waited elsewhere. */
  get passedOver(): number {
    return this.#grantsPastUrgent / Math.max(1, this.#grants);
  }

  begin(): void {
    const { clock, engines, entries } = this.context;
    for (const engine of engines) {
      clock.schedule(engine.startsAt, () => this.#look(engine));
      clock.schedule(engine.startsAt, () => this.#checkHolders(engine));
    }
    for (const entry of entries) {
      const at = this.#options.statementRandom.fraction() * STATEMENT_INTERVAL;
      clock.schedule(at, () => this.#stateClaims(entry));
    }
  }

  place(caller: Caller, entry: PlacementEntry): void {
    new SlotAttempt(caller, entry, this.#decisions[entry.number], this).begin();
  }

  /** Records that a request has begun to wait, or no longer waits, after it has asked more agents. */
  countWaiting(urgency: number, change: number): void {
    this.#waiting.set(urgency, (this.#waiting.get(urgency) ?? 0) + change);
  }

  countGrant(urgency: number): void {
    this.#grants++;
    const isPastUrgent = [...this.#waiting].some(([other, count]) => other < urgency && count > 0);
    if (isPastUrgent) this.#grantsPastUrgent++;
  }

  candidates(entry: PlacementEntry): SlotCandidate[] {
    return this.context.living().map(({ number, zone }) => ({
      id: String(number),
      isNear: zone === entry.zone,
      cost: zone === entry.zone ? 0 : OTHER_ZONE_COST,
      spread: SPREAD,
    }));
  }

  /** Asks the agent of `engine` for a slot; `onDecision` is called with each of its answers. */
  ask(
    entry: PlacementEntry,
    engine: PlacementEngine,
    claim: number,
    request: Omit<SlotAsk, 'id' | 'slots'>,
    onDecision: (decision: SlotDecision) => void,
  ): void {
    const { clock, site } = this.context;
    const name = String(entry.number);
    const id = tableId(name, claim);
    this.#seekers.set(id, onDecision);
    this.#deliver(entry, engine, () => {
      if (engine.isAgentSilent) return;
      this.#tell(engine, engine.holders.noteRequest(name, claim, clock.now));
      this.#tell(engine, engine.slots.ask({ ...request, id, slots: site.pace.slots }, clock.now));
    });
  }

  release(entry: PlacementEntry, engine: PlacementEngine, claim: number): void {
    entry.claims.close(claim);
    const id = tableId(String(entry.number), claim);
    const { clock } = this.context;
    this.#deliver(entry, engine, () => this.#tell(engine, engine.slots.release(id, clock.now)));
  }

  /** Tells the agent that the engine has read the prompt. */
  notePromptRead(entry: PlacementEntry, engine: PlacementEngine, claim: number): void {
    const id = tableId(String(entry.number), claim);
    const { clock } = this.context;
    this.#deliver(entry, engine, () => this.#tell(engine, engine.slots.notePromptRead(id, clock.now)));
  }

  /** Sends an agent's answers, and looks again when it can grant the next slot. */
  #tell(engine: PlacementEngine, decisions: readonly SlotDecision[]): void {
    this.#grantLater(engine);
    for (const decision of decisions) {
      const entry = this.context.entries[Number(claimOf(decision.id).entry)];
      this.#deliver(entry, engine, () => this.#seekers.get(decision.id)?.(decision));
    }
  }

  #grantLater(engine: PlacementEngine): void {
    const { clock } = this.context;
    const { nextGrantAt } = engine.slots;
    if (nextGrantAt === undefined || this.#grantsDue.get(engine) === nextGrantAt) return;
    this.#grantsDue.set(engine, nextGrantAt);
    clock.schedule(Math.max(nextGrantAt, clock.now + 1), () => {
      if (this.#grantsDue.get(engine) !== nextGrantAt) return;
      this.#grantsDue.delete(engine);
      this.#tell(engine, engine.slots.grantFree(clock.now));
    });
  }

  /** Carries a message between an entry and an agent; some are lost, and all of an entry that is gone. */
  #deliver(
    entry: PlacementEntry,
    engine: PlacementEngine,
    take: () => void,
    random = this.context.random,
  ): void {
    const { clock } = this.context;
    if (entry.isLost || random.fraction() < this.#options.lossBetween(entry, engine)) return;
    clock.schedule(clock.now + delayBetween(entry, engine), take);
  }

  /** Tells each agent what the entry has open there, now and then. */
  #stateClaims(entry: PlacementEntry): void {
    const { clock, engines } = this.context;
    const { statementRandom } = this.#options;
    const statements = entry.isLost ? [] : entry.claims.statements();
    for (const { agent, statement } of statements) {
      const engine = engines[Number(agent)];
      const take = () =>
        this.#tell(engine, engine.holders.takeStatement(String(entry.number), statement, clock.now));
      this.#deliver(entry, engine, take, statementRandom);
    }
    clock.schedule(clock.now + STATEMENT_INTERVAL, () => this.#stateClaims(entry));
  }

  #look(engine: PlacementEngine): void {
    const { clock } = this.context;
    const { load, slowness: pace } = engine.engine;
    const declaredPace = this.#options.isLimitedByWork ? paceOf(this.context) : undefined;
    clock.schedule(clock.now + REPORT_LAG, () =>
      this.#tell(engine, engine.slots.observe({ isServing: true, load, pace, declaredPace }, clock.now)),
    );
    clock.schedule(clock.now + LOOK_INTERVAL, () => this.#look(engine));
  }

  #checkHolders(engine: PlacementEngine): void {
    const { clock } = this.context;
    const { now } = clock;
    this.#tell(
      engine,
      engine.holders.check(now, (since) => now - since),
    );
    clock.schedule(now + HOLDERS_CHECK, () => this.#checkHolders(engine));
  }
}
