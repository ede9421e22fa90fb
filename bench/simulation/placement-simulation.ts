/**
 * How requests are placed when many entries stand before many engines and more is asked than the engines can do, in
 * virtual time. The slots are given out and looked for by the very systems that agents and entries run.
 */
import { type Random, seededRandom } from '../../src/model/random.js';
import { SlotClaims } from '../../src/systems/slot-claims.js';
import { CentralPlacement } from './central-placement.js';
import { LoadBasedPlacement } from './load-based-placement.js';
import { type Caller, PlacementCallers } from './placement-callers.js';
import {
  LOAD_SHAPES,
  type LoadShape,
  type LoadShapeName,
  PLACEMENT_SITES,
  type PlacementSite,
  type PlacementSiteName,
  type SlowEngines,
} from './placement-loads.js';
import {
  createEngine,
  createEntry,
  delayBetween,
  type PlacementContext,
  type PlacementEngine,
  type PlacementEntry,
  RETRY_AFTER,
  type RequestPlacement,
} from './placement-machines.js';
import { rounded, type ServiceReport, serviceReport } from './placement-report.js';
import { SlotPlacement } from './slot-placement.js';
import { VirtualClock } from './virtual-clock.js';

/** How an engine is chosen. */
export type PlacementPolicy =
  /** The least loaded of all, by the loads that entries report to one another now and then. */
  | 'reportedLoads'
  /** The less loaded of two by chance, by what the entry itself has sent. */
  | 'ownCounts'
  /** The first that has a slot free among a few whose agents are asked. */
  | 'slots'
  /** By one queue that knows everything: the bound. */
  | 'central'
  /** The same without floors for kinds, tenants and sizes. */
  | 'centralByRank';

/** All of them, the oldest first. */
export const PLACEMENT_POLICIES: readonly PlacementPolicy[] = [
  'reportedLoads',
  'ownCounts',
  'slots',
  'central',
  'centralByRank',
];

/** What to simulate. */
export interface PlacementInit {
  policy: PlacementPolicy;
  /** Share of the rates of the site that is asked at most. */
  load: number;
  seed: number;
  /** The deployment; `hundreds` by default. */
  site?: PlacementSiteName;
  /** How the load goes over time; `peak` by default. */
  shape?: LoadShapeName;
  /** Share of the engines whose agents never answer. */
  silentAgents?: number;
  /** Share of the entries that vanish at 12 s, with all that they have in progress. */
  lostEntries?: number;
  /** Share of the messages about slots that are lost. */
  lostMessages?: number;
  /** Engines that are added when their weights are there: by default 59 at `hundreds`, more than all requests need. */
  addedEngines?: number;
  /** Entries are killed in turn from 9 s on, and start again. */
  areEntriesRestarted?: boolean;
  /** Whether agents limit grants by the work that engines have not done; true by default. */
  isLimitedByWork?: boolean;
}

/** What came out. */
export interface PlacementReport extends ServiceReport {
  policy: PlacementPolicy;
  load: number;
  site: PlacementSiteName;
  shape: LoadShapeName;
  /** Median time from an attempt to its refusal, in milliseconds; 0 if none was refused. */
  refusedAfterP50: number;
  /** Requests that engines rejected as their queues were full. */
  rejected: number;
  /** Share of slots that no request used, of all slots of engines at whose agents somebody waited, from 12 s on. */
  idleWhileWaiting: number;
  /** Share of grants that were given while a more urgent request waited at other engines; 0 without slots. */
  passedOver: number;
}

/** Engines that are added when their weights are there. */
const ADDED_ENGINES = 59;
const ADDED_AT = 9_500;
const ADDED_EVERY = 10;
const LOST_AT = 12_000;
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
/** Spreads the times of engines evenly, however many there are. */
const GOLDEN_SHARE = 0.618;
const IDLE_CHECK = 50;
const IDLE_COUNTED_FROM = 12_000;

/** Simulates one policy. */
export function simulatePlacement(init: PlacementInit): PlacementReport {
  return new PlacementSimulation(init).run();
}

class PlacementSimulation implements PlacementContext {
  readonly #init: Required<PlacementInit>;
  readonly clock = new VirtualClock();
  readonly site: PlacementSite;
  readonly #shape: LoadShape;
  readonly random: Random;
  readonly #statementRandom: Random;
  readonly engines: PlacementEngine[] = [];
  readonly entries: PlacementEntry[];
  readonly #callers: PlacementCallers;
  readonly #placement: RequestPlacement;
  #rejected = 0;
  #wantedSlots = 0;
  #idleSlots = 0;
  /** Until when the link of each zone is full. */
  readonly #drawingUntil: number[];

  constructor(init: PlacementInit) {
    this.#init = {
      site: 'hundreds',
      shape: 'peak',
      silentAgents: 0,
      lostEntries: 0,
      lostMessages: 0,
      addedEngines: init.site === undefined || init.site === 'hundreds' ? ADDED_ENGINES : 0,
      areEntriesRestarted: false,
      isLimitedByWork: true,
      ...init,
    };
    const { seed, site, shape, load } = this.#init;
    this.site = PLACEMENT_SITES[site];
    this.#shape = LOAD_SHAPES[shape];
    this.random = seededRandom(seed * 7_919);
    this.#statementRandom = seededRandom(seed * 104_729);
    this.#drawingUntil = Array.from({ length: this.site.zones }, () => 0);
    this.entries = Array.from({ length: this.site.entries }, (_, number) =>
      createEntry(number, this.site, this.#statementRandom),
    );
    for (let number = 0; number < this.site.engines + this.#init.addedEngines; number++)
      this.#addEngine(number);
    this.#callers = new PlacementCallers({
      clock: this.clock,
      site: this.site,
      shape: this.#shape,
      load,
      random: seededRandom(seed * 15_485_863),
      place: (caller) => this.#placement.place(caller, this.#anyEntry()),
    });
    this.#placement = this.#createPlacement();
  }

  run(): PlacementReport {
    const { clock } = this;
    this.#callers.begin();
    this.#placement.begin();
    clock.schedule(LOST_AT, () => {
      for (const entry of this.entries) entry.isLost = this.random.fraction() < this.#init.lostEntries;
    });
    if (this.#init.areEntriesRestarted) this.#restartLater(0);
    clock.schedule(IDLE_COUNTED_FROM, () => this.#countIdle());
    this.#slowEngines();
    clock.runUntil(this.#shape.end, () => false);
    return this.#report();
  }

  living(): PlacementEngine[] {
    return this.engines.filter(({ startsAt }) => startsAt <= this.clock.now);
  }

  refuse(caller: Caller, retryAfter: number): void {
    this.#callers.refuse(caller, retryAfter);
  }

  send(
    caller: Caller,
    entry: PlacementEntry,
    engine: PlacementEngine,
    urgency: number,
    onEnd: () => void,
    onFirstEvent?: () => void,
  ): void {
    const { clock } = this;
    let hasBegun = false;
    caller.engine = engine.number;
    entry.own[engine.number]++;
    const way = delayBetween(entry, engine);
    const refuse = () => this.refuse(caller, RETRY_AFTER * (1 + this.random.fraction()));
    let drop: (() => void) | undefined;
    const kill = () => {
      entry.inProgress.delete(kill);
      entry.own[engine.number]--;
      clock.schedule(clock.now + way, () => drop?.());
      refuse();
    };
    if (this.#init.areEntriesRestarted) entry.inProgress.add(kill);
    const end = () => {
      entry.inProgress.delete(kill);
      clock.schedule(clock.now + way, () => {
        entry.own[engine.number]--;
        onEnd();
      });
    };
    clock.schedule(clock.now + way, () => {
      const { promptTokens, answerTokens } = caller;
      drop = engine.engine.take({
        urgency,
        promptTokens,
        answerTokens,
        onEvent: () => {
          if (!hasBegun) clock.schedule(clock.now + way, () => onFirstEvent?.());
          hasBegun = true;
          this.#callers.noteEvent(caller, way);
        },
        onEnd: () => {
          end();
          if (!entry.isLost) this.#callers.noteServed(caller, way);
        },
      });
      if (drop !== undefined) return;
      this.#rejected++;
      end();
      refuse();
    });
  }

  #createPlacement(): RequestPlacement {
    const { policy } = this.#init;
    if (policy === 'central' || policy === 'centralByRank')
      return new CentralPlacement(this, policy === 'central');
    if (policy !== 'slots') return new LoadBasedPlacement(this, policy === 'reportedLoads');
    return new SlotPlacement(this, {
      isLimitedByWork: this.#init.isLimitedByWork,
      statementRandom: this.#statementRandom,
      lossBetween: (entry, engine) => this.#lossBetween(entry, engine),
    });
  }

  #addEngine(number: number): void {
    const { engines } = this.site;
    const startsAt = number < engines ? 0 : ADDED_AT + ADDED_EVERY * (number - engines);
    const isAgentSilent = this.random.fraction() < this.#init.silentAgents;
    this.engines.push(createEngine(number, startsAt, isAgentSilent, this.site, this.clock));
    for (const entry of this.entries) entry.own.push(0);
  }

  #slowEngines(): void {
    const slow = this.#shape.slowEngines;
    if (slow === undefined) return;
    const engines = this.engines.slice(0, Math.round(slow.share * this.engines.length));
    if (slow.pulse !== undefined) {
      for (const engine of engines) this.#slowInPulses(engine, slow);
      return;
    }
    const setSlowness = (slowness: number) => {
      for (const { engine } of engines) engine.slowness = slowness;
    };
    this.clock.schedule(slow.from, () => setSlowness(slow.slowness));
    this.clock.schedule(slow.to, () => setSlowness(1));
  }

  /** Slows an engine for a while now and then; each has its own times. */
  #slowInPulses({ engine, number }: PlacementEngine, slow: SlowEngines): void {
    const { clock } = this;
    const { every, length } = slow.pulse!;
    const begin = () => {
      if (clock.now >= slow.to) return;
      engine.slowness = slow.slowness;
      clock.schedule(clock.now + length, () => {
        engine.slowness = 1;
      });
      clock.schedule(clock.now + every, begin);
    };
    clock.schedule(slow.from + ((number * GOLDEN_SHARE * every) % every), begin);
  }

  /** Kills one entry after the other; each starts again. */
  #restartLater(number: number): void {
    const { clock } = this;
    clock.schedule(RESTARTS_BEGIN + number * RESTART_EVERY, () => {
      this.#restartLater(number + 1);
      const entry = this.entries[number % this.entries.length];
      entry.isLost = true;
      for (const end of [...entry.inProgress]) end();
      clock.schedule(clock.now + RESTART_TIME, () => {
        entry.isLost = false;
        entry.life++;
        entry.claims = new SlotClaims(this.#statementRandom);
        this.#drawingUntil[entry.zone] = clock.now + DRAWING_TIME;
      });
    });
  }

  #lossBetween(entry: PlacementEntry, engine: PlacementEngine): number {
    const { now } = this.clock;
    const isDrawing = [entry.zone, engine.zone].some((zone) => now < this.#drawingUntil[zone]);
    return entry.zone !== engine.zone && isDrawing ? LOST_WHILE_DRAWING : this.#init.lostMessages;
  }

  #anyEntry(): PlacementEntry {
    const living = this.entries.filter(({ isLost }) => !isLost);
    return living[this.random.below(living.length)];
  }

  #countIdle(): void {
    if (this.clock.now > this.#shape.arrivalsEnd) return;
    const { slots: perEngine } = this.site.pace;
    for (const { engine, slots } of this.living()) {
      if (slots.figures.waiting === 0) continue;
      this.#wantedSlots += perEngine;
      this.#idleSlots += Math.max(0, perEngine - engine.load);
    }
    this.clock.schedule(this.clock.now + IDLE_CHECK, () => this.#countIdle());
  }

  #report(): PlacementReport {
    const { policy, load, site, shape } = this.#init;
    const counted = this.#callers.all.filter(({ startedAt }) => startedAt >= this.#shape.countedFrom);
    const placement = this.#placement;
    return {
      policy,
      load,
      site,
      shape,
      ...serviceReport(counted, this.site),
      refusedAfterP50: Math.round(medianOf(this.#callers.refusedAfter)),
      rejected: this.#rejected,
      idleWhileWaiting: rounded(this.#idleSlots / Math.max(1, this.#wantedSlots)),
      passedOver: placement instanceof SlotPlacement ? rounded(placement.passedOver) : 0,
    };
  }
}

function medianOf(values: readonly number[]): number {
  return [...values].sort((a, b) => a - b)[Math.floor(values.length / 2)] ?? 0;
}
