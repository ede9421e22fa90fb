/** Placement by slots that agents grant, with the systems that entries and agents run. */
import type { Route } from '../../src/fleet/configuration.js';
import { RequestTiming } from '../../src/forwarding/request-timing.js';
import type { Random } from '../../src/model/random.js';
import { longestDelay } from '../../src/systems/capacity-wait.js';
import { ReturnSchedule } from '../../src/systems/return-schedule.js';
import { claimOf, tableId } from '../../src/systems/slot-holders.js';
import { SlotSearch } from '../../src/systems/slot-search.js';
import type { SlotDecision } from '../../src/systems/slot-table.js';
import { WaitPolicy } from '../../src/systems/wait-policy.js';
import type { Caller } from './placement-callers.js';
import { TIMEOUT } from './placement-loads.js';
import {
  delayBetween,
  OTHER_ZONE_COST,
  type PlacementContext,
  type PlacementEngine,
  type PlacementEntry,
  type RequestPlacement,
} from './placement-machines.js';
import { STREAM_ROUTE } from './stream-route.js';

/** Delay after which a refused caller comes back, in milliseconds, times 1 to 2. */
export const RETRY_AFTER = 400;
const LOOK_INTERVAL = 250;
const CHECK_INTERVAL = 50;
const STATEMENT_INTERVAL = 100;
const HOLDERS_CHECK = 100;
/** An engine tells of its load as it stood this long before, in milliseconds. */
const REPORT_LAG = 200;
/** Engines whose loads are not known are alike. */
const SPREAD = 40;

export interface SlotPlacementOptions {
  /** What entries state, and whether it arrives, has a stream of its own: the load is the same with and without it. */
  statementRandom: Random;
  /** Share of the messages between the two that is lost at present. */
  lossBetween: (entry: PlacementEntry, engine: PlacementEngine) => number;
}

/** Entries look for slots at the agents of a few engines. */
export class SlotPlacement implements RequestPlacement {
  readonly #context: PlacementContext;
  readonly #options: SlotPlacementOptions;
  /** Who waits for the answers of agents, by the request's name there. */
  readonly #seekers = new Map<string, (decision: SlotDecision, engine: PlacementEngine) => void>();
  readonly #waits: WaitPolicy[];
  readonly #returns: ReturnSchedule[];
  /** Requests that have waited long enough to ask more agents, by urgency. */
  readonly #waiting = new Map<number, number>();
  /** Grants, and those given while a more urgent request waited elsewhere. */
  #grants = 0;
  #grantsPastUrgent = 0;

  constructor(context: PlacementContext, options: SlotPlacementOptions) {
    this.#context = context;
    this.#options = options;
    this.#waits = context.entries.map(() => new WaitPolicy());
    this.#returns = context.entries.map(() => new ReturnSchedule(context.random));
  }

  /** Share of the grants that were given while a more urgent request waited elsewhere. */
  get passedOver(): number {
    return this.#grantsPastUrgent / Math.max(1, this.#grants);
  }

  begin(): void {
    const { clock, engines, entries } = this.#context;
    for (const engine of engines) {
      clock.schedule(engine.startsAt, () => this.#look(engine));
      clock.schedule(engine.startsAt, () => this.#checkHolders(engine));
    }
    for (const entry of entries) {
      const at = this.#options.statementRandom.fraction() * STATEMENT_INTERVAL;
      clock.schedule(at, () => this.#stateClaims(entry));
    }
  }

  /** Looks for a slot as an entry does. */
  place(caller: Caller, entry: PlacementEntry): void {
    const { clock, random } = this.#context;
    const startedAt = clock.now;
    const timing = new RequestTiming(startedAt, routeOf(caller, this.#context), caller.deadline - startedAt);
    const { rank } = caller.kind;
    const { pace: engine } = this.#context.site;
    const pace = {
      readTokensPerSecond: engine.tokensReadPerMillisecond * 1_000,
      tokenTime: engine.step + engine.slots * engine.stepPerRequest,
    };
    const waits = this.#waits[entry.number];
    const returns = this.#returns[entry.number];
    returns.noteArrival(rank, startedAt);
    const request = timing.waitingRequest(rank, caller.promptTokens, pace)!;
    const wait = waits.begin(request, timing.latestBegin, startedAt);
    const { endsAt, inTimeUntil } = wait;
    const urgency = timing.urgency(caller.kind.rank, startedAt);
    const search = new SlotSearch(startedAt, random);
    const { claims, life } = entry;
    const open = new Map<PlacementEngine, number>();
    let isWaiting = false;
    let isOver = false;
    const end = (isSent: boolean) => {
      isOver = true;
      for (const [engine, claim] of open) this.#release(entry, engine, claim);
      wait.end(isSent ? 'sent' : 'unserved', clock.now);
      if (isSent) returns.noteSent(clock.now);
      if (isWaiting) this.#countWaiting(urgency, -1);
    };
    let slotIn = 0;
    const giveUp = () => {
      end(false);
      const refused = {
        rank,
        roomIn: slotIn,
        longest: longestDelay(caller.deadline, clock.now),
        waiting: waits.waiting(rank),
      };
      this.#context.refuse(caller, returns.delayFor(refused, clock.now));
    };
    const ask = () => {
      if (!search.wantsMore(clock.now)) return;
      for (const id of search.next(this.#candidates(entry), clock.now)) {
        const engine = this.#context.engines[Number(id)];
        const claim = claims.open(id);
        open.set(engine, claim);
        this.#seekers.set(tableId(String(entry.number), claim), (decision) => {
          const { type } = decision;
          // A process that has started since knows nothing of it.
          if (entry.life !== life) return this.#release(entry, engine, claim);
          if (!claims.isOpen(claim) && type === 'granted') return this.#release(entry, engine, claim);
          if (isOver) return;
          if (type === 'queued') return search.noteQueued(id);
          if (decision.type === 'refused') {
            claims.close(claim);
            open.delete(engine);
            if (decision.availableIn === undefined) return search.noteFailed(id);
            search.noteFull(id);
            slotIn = Math.min(slotIn || Number.POSITIVE_INFINITY, decision.availableIn);
            ask();
            return search.isPending ? undefined : giveUp();
          }
          if (!claims.noteGranted(claim)) return;
          open.delete(engine);
          end(true);
          this.#countGrant(urgency);
          const sentAt = clock.now;
          this.#context.send(
            caller,
            entry,
            engine,
            urgency,
            () => this.#release(entry, engine, claim),
            () => waits.noteFirstEvent(caller.promptTokens, clock.now - sentAt),
          );
        });
        this.#ask(entry, engine, claim, { urgency, timing, endsAt, inTimeUntil, caller });
      }
    };
    const check = () => {
      if (isOver) return;
      if (entry.isLost || entry.life !== life) {
        isOver = true;
        if (isWaiting) this.#countWaiting(urgency, -1);
        return this.#refuse(caller);
      }
      for (const id of search.silent((since) => clock.now - since)) search.noteFailed(id);
      if (clock.now >= endsAt) return giveUp();
      if (!isWaiting) {
        isWaiting = true;
        this.#countWaiting(urgency, 1);
      }
      ask();
      clock.schedule(Math.min(endsAt, clock.now + CHECK_INTERVAL), check);
    };
    ask();
    clock.schedule(search.widensAt, check);
  }

  #refuse(caller: Caller): void {
    this.#context.refuse(caller, RETRY_AFTER * (1 + this.#context.random.fraction()));
  }

  #countWaiting(urgency: number, change: number): void {
    this.#waiting.set(urgency, (this.#waiting.get(urgency) ?? 0) + change);
  }

  #countGrant(urgency: number): void {
    this.#grants++;
    const isPastUrgent = [...this.#waiting].some(([other, count]) => other < urgency && count > 0);
    if (isPastUrgent) this.#grantsPastUrgent++;
  }

  #candidates(entry: PlacementEntry) {
    return this.#context.living().map(({ number, zone }) => ({
      id: String(number),
      isNear: zone === entry.zone,
      cost: zone === entry.zone ? 0 : OTHER_ZONE_COST,
      spread: SPREAD,
    }));
  }

  #ask(
    entry: PlacementEntry,
    engine: PlacementEngine,
    claim: number,
    request: {
      urgency: number;
      timing: RequestTiming;
      endsAt: number;
      inTimeUntil: number;
      caller: Caller;
    },
  ): void {
    const { urgency, timing, endsAt, inTimeUntil, caller } = request;
    const { clock, site } = this.#context;
    this.#deliver(entry, engine, () => {
      if (engine.isAgentSilent) return;
      const name = String(entry.number);
      this.#tell(engine, engine.holders.noteRequest(name, claim, clock.now));
      const ask = {
        id: tableId(name, claim),
        urgency,
        waitsSince: timing.arrivedAt,
        endsAt,
        slots: site.pace.slots,
        inTimeUntil,
        promptTokens: caller.promptTokens,
      };
      this.#tell(engine, engine.slots.ask(ask, clock.now));
    });
  }

  #release(entry: PlacementEntry, engine: PlacementEngine, claim: number): void {
    entry.claims.close(claim);
    const id = tableId(String(entry.number), claim);
    const { clock } = this.#context;
    this.#deliver(entry, engine, () => this.#tell(engine, engine.slots.release(id, clock.now)));
  }

  /** Sends an agent's answers. */
  #tell(engine: PlacementEngine, decisions: readonly SlotDecision[]): void {
    for (const decision of decisions) {
      const entry = this.#context.entries[Number(claimOf(decision.id).entry)];
      this.#deliver(entry, engine, () => this.#seekers.get(decision.id)?.(decision, engine));
    }
  }

  /** Carries a message between an entry and an agent; some are lost, and all of an entry that is gone. */
  #deliver(
    entry: PlacementEntry,
    engine: PlacementEngine,
    take: () => void,
    random = this.#context.random,
  ): void {
    const { clock } = this.#context;
    if (entry.isLost || random.fraction() < this.#options.lossBetween(entry, engine)) return;
    clock.schedule(clock.now + delayBetween(entry, engine), take);
  }

  /** Tells each agent what the entry has open there, now and then. */
  #stateClaims(entry: PlacementEntry): void {
    const { clock, engines } = this.#context;
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
    const { clock } = this.#context;
    const { load } = engine.engine;
    clock.schedule(clock.now + REPORT_LAG, () =>
      this.#tell(engine, engine.slots.observe({ isServing: true, load }, clock.now)),
    );
    clock.schedule(clock.now + LOOK_INTERVAL, () => this.#look(engine));
  }

  #checkHolders(engine: PlacementEngine): void {
    const { clock } = this.#context;
    const { now } = clock;
    this.#tell(
      engine,
      engine.holders.check(now, (since) => now - since),
    );
    clock.schedule(now + HOLDERS_CHECK, () => this.#checkHolders(engine));
  }
}

function routeOf({ kind }: Caller, { site }: PlacementContext): Route {
  const { objective, rank } = kind;
  return { ...STREAM_ROUTE, objective, patience: site.patience, timeout: TIMEOUT, priority: rank };
}
