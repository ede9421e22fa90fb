/**
 * How requests are placed when many entries stand before many engines and more is asked than the engines can do, in
 * virtual time: the load of a morning peak during which added engines are still fetching weights. The slots are given out
 * and looked for by the very systems that agents and entries run.
 */
import { type Random, seededRandom } from '../../src/model/random.js';
import { SlotClaims } from '../../src/systems/slot-claims.js';
import { claimOf, SlotHolders, tableId } from '../../src/systems/slot-holders.js';
import { SlotSearch } from '../../src/systems/slot-search.js';
import { type SlotDecision, SlotTable } from '../../src/systems/slot-table.js';
import { ENGINE_PACE, SimulatedEngine } from './simulated-engine.js';
import { VirtualClock } from './virtual-clock.js';

/** How an engine is chosen. */
export type PlacementPolicy =
  /** The least loaded of all, by the loads that entries report to one another now and then. */
  | 'reportedLoads'
  /** The less loaded of two by chance, by what the entry itself has sent. */
  | 'ownCounts'
  /** The first that has a slot free among a few whose agents are asked. */
  | 'slots';

/** All of them, the oldest first. */
export const PLACEMENT_POLICIES: readonly PlacementPolicy[] = ['reportedLoads', 'ownCounts', 'slots'];

/** What to simulate. */
export interface PlacementInit {
  policy: PlacementPolicy;
  /** Share of the peak that is asked. */
  load: number;
  seed: number;
  /** Share of the engines whose agents never answer. */
  silentAgents?: number;
  /** Share of the entries that vanish at 12 s, with all that they have in progress. */
  lostEntries?: number;
  /** Share of the messages about slots that are lost. */
  lostMessages?: number;
  /** Engines that are added when their weights are there; more than all requests need, where not told otherwise. */
  addedEngines?: number;
  /** Entries are killed in turn from 9 s on, and start again. */
  areEntriesRestarted?: boolean;
}

/** What came out: shares of the requests; the credit is what they were worth of what they could have been. */
export interface PlacementReport {
  policy: PlacementPolicy;
  load: number;
  credit: number;
  inTime: number;
  late: number;
  refused: number;
  /** Requests that engines rejected as their queues were full. */
  rejected: number;
  /** Share of slots that no request used, of all slots of engines at whose agents somebody waited, from 12 s on. */
  idleWhileWaiting: number;
  /** Time to a first event, in milliseconds. */
  firstEventP50: number;
  firstEventP95: number;
}

interface Kind {
  /** Requests a second at the peak. */
  rate: number;
  promptTokens: number;
  answerEvents: number;
  objective: number;
  worth: number;
  worthLate: number;
}

/** The kinds of streams of the users' sheet for hundreds of machines. */
const KINDS: readonly Kind[] = [
  { rate: 293, promptTokens: 1_330, answerEvents: 14.6, objective: 500, worth: 2.2, worthLate: 0.56 },
  { rate: 203, promptTokens: 827, answerEvents: 14.6, objective: 500, worth: 2, worthLate: 0.5 },
  { rate: 172, promptTokens: 647, answerEvents: 11.6, objective: 400, worth: 1.6, worthLate: 0.4 },
];
const ZONES = 5;
const ENTRIES = 100;
const ENGINES = 84;
/** Engines that are added when their weights are there. */
const ADDED_ENGINES = 59;
const ADDED_AT = 9_500;
const ADDED_EVERY = 10;
/** Share of the peak from each of these times on, in milliseconds. */
const SHAPE: ReadonlyArray<readonly [from: number, share: number]> = [
  [9_000, 1],
  [7_500, 0.85],
  [6_000, 0.7],
  [0, 0.55],
];
const ARRIVALS_END = 27_000;
const END = 30_000;
const NEAR_DELAY = 0.9;
const FAR_DELAY = 1.8;
const CALLER_DELAY = 3;
const PATIENCE = 6_000;
/** A first request waits for this share of its objective; one that comes again for this long. */
const WAIT_SHARE = 0.6;
const SLOT_WAIT_SHARE = 0.5;
const LONGEST_WAIT = 1_800;
/** Entries report to those of their zone and to others after this. */
const NEAR_REPORTS = 1_500;
const FAR_REPORTS = 4_500;
const LOOK_INTERVAL = 250;
const CHECK_INTERVAL = 50;
const RETRY_AFTER = 400;
/** Usual time of a stream, by which waits are reckoned where loads are believed. */
const USUAL_DURATION = 1_150;
const OTHER_ZONE_COST = 55;
const FULLNESS_COST = 25;
/** Engines whose loads are not known are alike. */
const SPREAD = 40;
const LOST_AT = 12_000;
/** An engine tells of its load as it stood this long before. */
const REPORT_LAG = 200;
/** Restarts: one entry after the other from then on, each so long after the one before, and away for so long. */
const RESTARTS_BEGIN = 9_000;
const RESTART_EVERY = 300;
const RESTART_TIME = 800;
/**
 * An entry that has just started draws a version: for this long the link of its zone is full, and this share of what comes and
 * goes there is lost. Taken from a rolling restart of seven entries in three zones, where all releases that were lost between
 * zones fell into such times.
 */
const DRAWING_TIME = 400;
const LOST_WHILE_DRAWING = 0.5;
const STATEMENT_INTERVAL = 100;
const HOLDERS_CHECK = 100;
const IDLE_CHECK = 50;
const IDLE_COUNTED_FROM = 12_000;

interface Engine {
  number: number;
  zone: number;
  startsAt: number;
  engine: SimulatedEngine;
  slots: SlotTable;
  holders: SlotHolders;
  isAgentSilent: boolean;
}

interface Entry {
  number: number;
  zone: number;
  isLost: boolean;
  /** Processes before this one. */
  life: number;
  /** What it has asked of agents. */
  claims: SlotClaims;
  /** Ends what the process has in progress, as it is killed. */
  inProgress: Set<() => void>;
  /** Requests in flight by engine, from here and, as last told, from all others. */
  own: number[];
  told: Map<number, number[]>;
}

interface Caller {
  kind: Kind;
  startedAt: number;
  firstEventAt: number;
  isRepeated: boolean;
  hasEnded: boolean;
}

/** Simulates one policy. */
export function simulatePlacement(init: PlacementInit): PlacementReport {
  return new PlacementSimulation(init).run();
}

class PlacementSimulation {
  readonly #init: Required<PlacementInit>;
  readonly #clock = new VirtualClock();
  readonly #random: Random;
  /** What entries state, and whether it arrives, has a stream of its own: the load is the same with and without it. */
  readonly #statementRandom: Random;
  readonly #engines: Engine[] = [];
  readonly #entries: Entry[];
  readonly #callers: Caller[] = [];
  /** Who waits for the answers of agents, by the request's name there. */
  readonly #seekers = new Map<string, (decision: SlotDecision['type'], engine: Engine) => void>();
  #credit = 0;
  #inTime = 0;
  #late = 0;
  #rejected = 0;
  #wantedSlots = 0;
  #idleSlots = 0;
  /** Until when the link of each zone is full. */
  readonly #drawingUntil: number[] = Array.from({ length: ZONES }, () => 0);

  constructor(init: PlacementInit) {
    this.#init = {
      silentAgents: 0,
      lostEntries: 0,
      lostMessages: 0,
      addedEngines: ADDED_ENGINES,
      areEntriesRestarted: false,
      ...init,
    };
    this.#random = seededRandom(init.seed * 7_919);
    this.#statementRandom = seededRandom(init.seed * 104_729);
    this.#entries = Array.from({ length: ENTRIES }, (_, number) => ({
      number,
      zone: number % ZONES,
      isLost: false,
      life: 0,
      claims: new SlotClaims(this.#statementRandom),
      inProgress: new Set(),
      own: [],
      told: new Map(),
    }));
    for (let number = 0; number < ENGINES + this.#init.addedEngines; number++) this.#addEngine(number);
  }

  run(): PlacementReport {
    for (const kind of KINDS) this.#arriveLater(kind);
    if (this.#init.policy === 'reportedLoads') this.#beginReports();
    this.#clock.schedule(LOST_AT, () => {
      for (const entry of this.#entries) entry.isLost = this.#random.fraction() < this.#init.lostEntries;
    });
    if (this.#init.areEntriesRestarted) this.#restartLater(0);
    for (const entry of this.#entries)
      this.#clock.schedule(this.#statementRandom.fraction() * STATEMENT_INTERVAL, () =>
        this.#stateClaims(entry),
      );
    this.#clock.schedule(IDLE_COUNTED_FROM, () => this.#countIdle());
    this.#clock.runUntil(END, () => false);
    return this.#report();
  }

  /** Kills one entry after the other; each starts again. */
  #restartLater(number: number): void {
    this.#clock.schedule(RESTARTS_BEGIN + number * RESTART_EVERY, () => {
      this.#restartLater(number + 1);
      const entry = this.#entries[number % ENTRIES];
      entry.isLost = true;
      for (const end of [...entry.inProgress]) end();
      this.#clock.schedule(this.#clock.now + RESTART_TIME, () => {
        entry.isLost = false;
        entry.life++;
        entry.claims = new SlotClaims(this.#statementRandom);
        this.#drawingUntil[entry.zone] = this.#clock.now + DRAWING_TIME;
      });
    });
  }

  #countIdle(): void {
    if (this.#clock.now > ARRIVALS_END) return;
    for (const { engine, slots } of this.#living()) {
      if (slots.figures.waiting === 0) continue;
      this.#wantedSlots += ENGINE_PACE.slots;
      this.#idleSlots += Math.max(0, ENGINE_PACE.slots - engine.load);
    }
    this.#clock.schedule(this.#clock.now + IDLE_CHECK, () => this.#countIdle());
  }

  #report(): PlacementReport {
    const asked = this.#callers.length;
    const owed = this.#callers.reduce((sum, { kind }) => sum + kind.worth, 0);
    const times = this.#callers
      .filter(({ firstEventAt }) => firstEventAt > 0)
      .map(({ firstEventAt, startedAt }) => firstEventAt - startedAt)
      .sort((a, b) => a - b);
    return {
      policy: this.#init.policy,
      load: this.#init.load,
      credit: rounded(this.#credit / owed),
      inTime: rounded(this.#inTime / asked),
      late: rounded(this.#late / asked),
      refused: rounded(1 - (this.#inTime + this.#late) / asked),
      rejected: this.#rejected,
      idleWhileWaiting: rounded(this.#idleSlots / Math.max(1, this.#wantedSlots)),
      firstEventP50: Math.round(times[Math.floor(times.length * 0.5)]),
      firstEventP95: Math.round(times[Math.floor(times.length * 0.95)]),
    };
  }

  #addEngine(number: number): void {
    const startsAt = number < ENGINES ? 0 : ADDED_AT + ADDED_EVERY * (number - ENGINES);
    const slots = new SlotTable();
    const row: Engine = {
      number,
      zone: number % ZONES,
      startsAt,
      engine: new SimulatedEngine(this.#clock),
      slots,
      holders: new SlotHolders(slots),
      isAgentSilent: this.#random.fraction() < this.#init.silentAgents,
    };
    this.#engines.push(row);
    for (const entry of this.#entries) entry.own.push(0);
    const look = () => {
      const { load } = row.engine;
      this.#clock.schedule(this.#clock.now + REPORT_LAG, () =>
        this.#tell(row, row.slots.observe({ isServing: true, load }, this.#clock.now)),
      );
      this.#clock.schedule(this.#clock.now + LOOK_INTERVAL, look);
    };
    this.#clock.schedule(startsAt, look);
    const check = () => {
      const { now } = this.#clock;
      this.#tell(
        row,
        row.holders.check(now, (since) => now - since),
      );
      this.#clock.schedule(now + HOLDERS_CHECK, check);
    };
    this.#clock.schedule(startsAt, check);
  }

  /** Tells each agent what the entry has open there, now and then. */
  #stateClaims(entry: Entry): void {
    const statements = entry.isLost ? [] : entry.claims.statements();
    for (const { agent, statement } of statements) {
      const engine = this.#engines[Number(agent)];
      const take = () => {
        const { now } = this.#clock;
        this.#tell(engine, engine.holders.takeStatement(String(entry.number), statement, now));
      };
      this.#deliver(entry, engine, take, this.#statementRandom);
    }
    this.#clock.schedule(this.#clock.now + STATEMENT_INTERVAL, () => this.#stateClaims(entry));
  }

  #arriveLater(kind: Kind): void {
    const rate = kind.rate * this.#init.load;
    const next = this.#clock.now + this.#exponential(1_000 / rate);
    this.#clock.schedule(next, () => {
      if (this.#clock.now > ARRIVALS_END) return;
      this.#arriveLater(kind);
      const [, share] = SHAPE.find(([from]) => this.#clock.now >= from)!;
      if (this.#random.fraction() > share) return;
      const now = this.#clock.now;
      const caller: Caller = { kind, startedAt: now, firstEventAt: 0, isRepeated: false, hasEnded: false };
      this.#callers.push(caller);
      this.#place(caller, this.#anyEntry());
    });
  }

  #anyEntry(): Entry {
    const living = this.#entries.filter(({ isLost }) => !isLost);
    return living[this.#random.below(living.length)];
  }

  #exponential(mean: number): number {
    return -Math.log(1 - this.#random.fraction()) * mean;
  }

  #living(): Engine[] {
    return this.#engines.filter(({ startsAt }) => startsAt <= this.#clock.now);
  }

  #place(caller: Caller, entry: Entry): void {
    if (this.#init.policy === 'slots') return this.#seek(caller, entry);
    const engines = this.#living();
    const near = engines.filter(({ zone }) => zone === entry.zone);
    const considered =
      this.#init.policy === 'reportedLoads' ? engines : [this.#oneOf(near), this.#oneOf(engines)];
    const costs = considered.map((engine) => this.#cost(engine, entry));
    const least = Math.min(...costs);
    const chosen = considered[costs.indexOf(least)];
    const wait = waitAt(this.#believedLoad(chosen, entry));
    if (wait > this.#longestWait(caller)) return this.#refuse(caller);
    this.#send(caller, entry, chosen, () => {});
  }

  #cost(engine: Engine, entry: Entry): number {
    const load = this.#believedLoad(engine, entry);
    const distance = engine.zone === entry.zone ? 0 : OTHER_ZONE_COST;
    // Ties go by chance.
    return distance + waitAt(load) + (load / ENGINE_PACE.slots) * FULLNESS_COST + this.#random.fraction();
  }

  #believedLoad({ number }: Engine, entry: Entry): number {
    let load = entry.own[number];
    for (const loads of entry.told.values()) load += loads[number] ?? 0;
    return load;
  }

  #longestWait({ isRepeated, kind }: Caller): number {
    const share = this.#init.policy === 'slots' ? SLOT_WAIT_SHARE : WAIT_SHARE;
    return isRepeated ? LONGEST_WAIT : share * kind.objective;
  }

  #oneOf(engines: readonly Engine[]): Engine {
    return engines[this.#random.below(engines.length)];
  }

  /** Looks for a slot as an entry does. */
  #seek(caller: Caller, entry: Entry): void {
    const startedAt = this.#clock.now;
    const endsAt = startedAt + this.#longestWait(caller);
    const search = new SlotSearch(startedAt, this.#random);
    const { claims } = entry;
    const open = new Map<Engine, number>();
    const { life } = entry;
    let isOver = false;
    const end = () => {
      isOver = true;
      for (const [engine, claim] of open) this.#release(entry, engine, claim);
    };
    const ask = () => {
      for (const id of search.next(this.#candidates(entry), this.#clock.now)) {
        const engine = this.#engines[Number(id)];
        const claim = claims.open(id);
        open.set(engine, claim);
        this.#seekers.set(tableId(String(entry.number), claim), (decision) => {
          // A process that has started since knows nothing of it.
          if (entry.life !== life) return this.#release(entry, engine, claim);
          if (!claims.isOpen(claim) && decision === 'granted') return this.#release(entry, engine, claim);
          if (isOver) return;
          if (decision === 'queued') return search.noteQueued(id);
          if (decision === 'refused') {
            claims.close(claim);
            open.delete(engine);
            return search.noteFailed(id);
          }
          if (!claims.noteGranted(claim)) return;
          open.delete(engine);
          end();
          this.#send(caller, entry, engine, () => this.#release(entry, engine, claim));
        });
        this.#ask(entry, engine, claim, caller, endsAt);
      }
    };
    const check = () => {
      if (isOver) return;
      if (entry.isLost || entry.life !== life) {
        isOver = true;
        return this.#refuse(caller);
      }
      for (const id of search.silent((since) => this.#clock.now - since)) search.noteFailed(id);
      if (this.#clock.now >= endsAt) {
        end();
        return this.#refuse(caller);
      }
      ask();
      this.#clock.schedule(Math.min(endsAt, this.#clock.now + CHECK_INTERVAL), check);
    };
    ask();
    this.#clock.schedule(search.widensAt, check);
  }

  #candidates(entry: Entry) {
    return this.#living().map(({ number, zone }) => ({
      id: String(number),
      isNear: zone === entry.zone,
      cost: zone === entry.zone ? 0 : OTHER_ZONE_COST,
      spread: SPREAD,
    }));
  }

  #ask(entry: Entry, engine: Engine, claim: number, caller: Caller, endsAt: number): void {
    const urgency = caller.isRepeated ? 4 : 0;
    this.#deliver(entry, engine, () => {
      if (engine.isAgentSilent) return;
      const name = String(entry.number);
      this.#tell(engine, engine.holders.noteRequest(name, claim, this.#clock.now));
      const id = tableId(name, claim);
      const ask = { id, urgency, waitsSince: caller.startedAt, endsAt, slots: ENGINE_PACE.slots };
      this.#tell(engine, engine.slots.ask(ask, this.#clock.now));
    });
  }

  #release(entry: Entry, engine: Engine, claim: number): void {
    entry.claims.close(claim);
    const id = tableId(String(entry.number), claim);
    this.#deliver(entry, engine, () => this.#tell(engine, engine.slots.release(id, this.#clock.now)));
  }

  /** An agent's answers. */
  #tell(engine: Engine, decisions: readonly SlotDecision[]): void {
    for (const { id, type } of decisions) {
      const entry = this.#entries[Number(claimOf(id).entry)];
      this.#deliver(entry, engine, () => this.#seekers.get(id)?.(type, engine));
    }
  }

  /** Carries a message between an entry and an agent; some are lost, and all of an entry that is gone. */
  #deliver(entry: Entry, engine: Engine, take: () => void, random = this.#random): void {
    if (entry.isLost || random.fraction() < this.#lossBetween(entry, engine)) return;
    this.#clock.schedule(this.#clock.now + delay(entry, engine), take);
  }

  #lossBetween(entry: Entry, engine: Engine): number {
    const { now } = this.#clock;
    const isDrawing = [entry.zone, engine.zone].some((zone) => now < this.#drawingUntil[zone]);
    return entry.zone !== engine.zone && isDrawing ? LOST_WHILE_DRAWING : this.#init.lostMessages;
  }

  #send(caller: Caller, entry: Entry, engine: Engine, onEnd: () => void): void {
    entry.own[engine.number]++;
    const way = delay(entry, engine);
    let drop: (() => void) | undefined;
    const kill = () => {
      entry.inProgress.delete(kill);
      entry.own[engine.number]--;
      this.#clock.schedule(this.#clock.now + way, () => drop?.());
      this.#refuse(caller);
    };
    if (this.#init.areEntriesRestarted) entry.inProgress.add(kill);
    const end = () => {
      entry.inProgress.delete(kill);
      this.#clock.schedule(this.#clock.now + way, () => {
        entry.own[engine.number]--;
        onEnd();
      });
    };
    this.#clock.schedule(this.#clock.now + way, () => {
      const { kind } = caller;
      drop = engine.engine.take({
        urgency: caller.isRepeated ? 4 : 0,
        promptTokens: kind.promptTokens * (0.3 + this.#exponential(0.7)),
        answerTokens: this.#answerTokens(kind),
        onEvent: () => {
          if (caller.firstEventAt === 0) caller.firstEventAt = this.#clock.now + way + CALLER_DELAY;
        },
        onEnd: () => {
          end();
          if (!entry.isLost) this.#serve(caller);
        },
      });
      if (drop !== undefined) return;
      this.#rejected++;
      end();
      this.#refuse(caller);
    });
  }

  #answerTokens({ answerEvents }: Kind): number {
    const tokens = answerEvents * ENGINE_PACE.tokensPerEvent * Math.min(2.5, 0.3 + this.#exponential(0.7));
    return Math.max(ENGINE_PACE.tokensPerEvent, Math.round(tokens));
  }

  #serve(caller: Caller): void {
    if (caller.hasEnded) return;
    caller.hasEnded = true;
    const { kind, firstEventAt, startedAt } = caller;
    const isInTime = firstEventAt - startedAt <= kind.objective;
    this.#credit += isInTime ? kind.worth : kind.worthLate;
    if (isInTime) this.#inTime++;
    else this.#late++;
  }

  /** The caller comes again once, at any entry. */
  #refuse(caller: Caller): void {
    const backAt = this.#clock.now + RETRY_AFTER * (1 + this.#random.fraction());
    if (caller.isRepeated || backAt > caller.startedAt + PATIENCE) return;
    caller.isRepeated = true;
    this.#clock.schedule(backAt, () => this.#place(caller, this.#anyEntry()));
  }

  #beginReports(): void {
    for (const entry of this.#entries) {
      for (const [isNear, interval] of [
        [true, NEAR_REPORTS],
        [false, FAR_REPORTS],
      ] as const) {
        this.#clock.schedule(this.#random.fraction() * interval, () =>
          this.#reportLoads(entry, isNear, interval),
        );
      }
    }
  }

  #reportLoads(entry: Entry, isNear: boolean, interval: number): void {
    const loads = [...entry.own];
    for (const other of this.#entries) {
      if (other !== entry && (other.zone === entry.zone) === isNear) other.told.set(entry.number, loads);
    }
    this.#clock.schedule(this.#clock.now + interval, () => this.#reportLoads(entry, isNear, interval));
  }
}

function waitAt(load: number): number {
  const { slots } = ENGINE_PACE;
  return (Math.max(0, load + 1 - slots) * USUAL_DURATION) / slots;
}

function delay(entry: Entry, engine: Engine): number {
  return entry.zone === engine.zone ? NEAR_DELAY : FAR_DELAY;
}

function rounded(share: number): number {
  return Math.round(share * 1_000) / 1_000;
}
