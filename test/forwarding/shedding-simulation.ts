/**
 * Entries that send requests to back ends of which some refuse, in virtual time: with the product's own choice, health
 * and budget, and views of one another's load that are late. Callers that are refused come again once. Times are in
 * milliseconds.
 */
import { VirtualClock } from '../../bench/simulation/virtual-clock.js';
import { BackEndHealth } from '../../src/forwarding/back-end-health.js';
import { type Candidate, chooseBackEnd } from '../../src/forwarding/selection.js';
import { type Random, seededRandom } from '../../src/model/random.js';
import { createEntryRetryWindow } from '../../src/systems/entry-retry-window.js';
import type { RetryWindow } from '../../src/systems/retry-window.js';

/** What to simulate. */
export interface SheddingSimulationInit {
  seed: number;
  entries: number;
  backEnds: number;
  /** The first so many refuse this share of what they get, whatever their load. */
  shedding: number;
  sheddingShare: number;
  /** Requests a second, by the second. */
  rates: readonly number[];
}

/** What came out. */
export interface SheddingReport {
  requests: number;
  served: number;
  /** Arrivals at back ends, and how many of them were refused. */
  arrivals: number;
  refusals: number;
  repetitions: number;
  /** Share of the requests of each second that were served. */
  servedBySecond: number[];
}

const SLOTS = 12;
const QUEUE = 4;
const SHORTEST_SERVICE = 400;
const SERVICE_SPREAD = 800;
/** One way between entries and back ends. */
const WAY = 1;
/** Age of the loads that entries tell one another, with 42 of them. */
const REPORT_INTERVAL = 600;
const MOST_SENDS = 4;
/** A first request is refused where it would wait longer, and one that was sent before. */
const FIRST_WAIT = 240;
const LATER_WAIT = 1_800;
const RETRY_AFTER = 400;
const ALL_LIVE = 20_000;
const SECOND = 1_000;
const POSITION = { zone: 'zone-a', region: 'region-a' };

interface SimulatedBackEnd {
  active: number;
  waiting: Array<() => void>;
}

interface SimulatedEntry {
  health: BackEndHealth[];
  own: number[];
  reported: number[];
  budget: RetryWindow;
}

interface SimulatedRequest {
  entry: SimulatedEntry;
  second: number;
  tried: Set<number>;
  sends: number;
  cameAgain: boolean;
}

/** Runs a simulation. */
export function simulateShedding(init: SheddingSimulationInit): SheddingReport {
  return new SheddingSimulation(init).run();
}

class SheddingSimulation {
  readonly #init: SheddingSimulationInit;
  readonly #clock = new VirtualClock();
  readonly #random: Random;
  readonly #backEnds: SimulatedBackEnd[];
  readonly #entries: SimulatedEntry[];
  readonly #asked: number[];
  readonly #served: number[];
  readonly #report = { arrivals: 0, refusals: 0, repetitions: 0 };

  constructor(init: SheddingSimulationInit) {
    this.#init = init;
    this.#random = seededRandom(init.seed);
    const numbers = Array.from({ length: init.backEnds }, (_, index) => index);
    this.#backEnds = numbers.map(() => ({ active: 0, waiting: [] }));
    const limits = { share: 0.2, slack: 242, span: 10 * SECOND };
    const known = { known: init.entries, hasHeardMostSeeds: true };
    this.#entries = Array.from({ length: init.entries }, () => ({
      health: numbers.map(() => new BackEndHealth()),
      own: numbers.map(() => 0),
      reported: numbers.map(() => 0),
      budget: createEntryRetryWindow(limits, () => known, -ALL_LIVE),
    }));
    this.#asked = init.rates.map(() => 0);
    this.#served = init.rates.map(() => 0);
  }

  run(): SheddingReport {
    for (const entry of this.#entries) this.#tellLoads(entry);
    this.#arrive();
    const end = this.#init.rates.length * SECOND;
    this.#clock.runUntil(end, () => false);
    const sum = (values: readonly number[]) => values.reduce((total, value) => total + value, 0);
    const servedBySecond = this.#served.map((served, second) => served / Math.max(1, this.#asked[second]));
    return { requests: sum(this.#asked), served: sum(this.#served), ...this.#report, servedBySecond };
  }

  #arrive(): void {
    const second = Math.floor(this.#clock.now / SECOND);
    if (second >= this.#init.rates.length) return;
    this.#asked[second]++;
    this.#ask(second, false);
    const gap = (-Math.log(1 - this.#random.fraction()) * SECOND) / this.#init.rates[second];
    this.#clock.schedule(this.#clock.now + gap, () => this.#arrive());
  }

  #ask(second: number, cameAgain: boolean): void {
    const entry = this.#entries[this.#random.below(this.#entries.length)];
    entry.budget.earn(this.#clock.now);
    this.#send({ entry, second, tried: new Set(), sends: 0, cameAgain });
  }

  #send(request: SimulatedRequest): void {
    const { entry, tried, sends } = request;
    const choice = chooseBackEnd(this.#candidates(request), POSITION, this.#random);
    const longest = sends > 0 || request.cameAgain ? LATER_WAIT : FIRST_WAIT;
    if (choice === undefined || choice.expectedWait > longest || sends >= MOST_SENDS)
      return this.#refuse(request);
    if (sends > 0 && !entry.budget.spend(this.#clock.now)) return this.#refuse(request);
    if (sends > 0) this.#report.repetitions++;
    const index = Number(choice.candidate.id);
    request.sends++;
    tried.add(index);
    entry.own[index]++;
    entry.health[index].noteSent();
    this.#clock.schedule(this.#clock.now + WAY, () => this.#reach(request, index));
  }

  #candidates({ entry, tried }: SimulatedRequest): Candidate[] {
    const { now } = this.#clock;
    const admitted = this.#backEnds
      .map((_, index) => index)
      .filter((index) => !tried.has(index) && entry.health[index].admits(now, true));
    return admitted.map((index) => ({
      ...POSITION,
      id: String(index),
      slots: SLOTS,
      load: entry.own[index] + entry.reported[index],
      unreadTokens: 0,
      tokensPerMillisecond: 0,
      releaseInterval: (SHORTEST_SERVICE + SERVICE_SPREAD / 2) / SLOTS,
      failureShare: entry.health[index].failureShare,
      refusalShare: entry.health[index].refusalShare(now),
      slowness: 0,
      overhang: 0,
      mayNotMove: false,
    }));
  }

  #reach(request: SimulatedRequest, index: number): void {
    const backEnd = this.#backEnds[index];
    this.#report.arrivals++;
    const sheds = index < this.#init.shedding && this.#random.fraction() < this.#init.sheddingShare;
    if (sheds || backEnd.waiting.length >= QUEUE) {
      this.#report.refusals++;
      this.#clock.schedule(this.#clock.now + WAY, () => {
        request.entry.own[index]--;
        request.entry.health[index].note('overloaded', this.#clock.now, 0);
        this.#send(request);
      });
      return;
    }
    const begin = () => this.#serve(request, index);
    if (backEnd.active < SLOTS) begin();
    else backEnd.waiting.push(begin);
  }

  #serve(request: SimulatedRequest, index: number): void {
    const backEnd = this.#backEnds[index];
    backEnd.active++;
    const duration = SHORTEST_SERVICE + this.#random.below(SERVICE_SPREAD);
    this.#clock.schedule(this.#clock.now + duration, () => {
      backEnd.active--;
      request.entry.own[index]--;
      request.entry.health[index].note('served', this.#clock.now, 0);
      this.#served[request.second]++;
      backEnd.waiting.shift()?.();
    });
  }

  #refuse({ second, cameAgain }: SimulatedRequest): void {
    if (cameAgain) return;
    const after = RETRY_AFTER * (1 + this.#random.fraction());
    this.#clock.schedule(this.#clock.now + after, () => this.#ask(second, true));
  }

  /** Learns, every report interval, what the other entries have in flight. */
  #tellLoads(entry: SimulatedEntry): void {
    entry.reported = this.#backEnds.map((_, index) => {
      const all = this.#entries.reduce((total, { own }) => total + own[index], 0);
      return all - entry.own[index];
    });
    const phase = this.#clock.now === 0 ? this.#random.below(REPORT_INTERVAL) : REPORT_INTERVAL;
    this.#clock.schedule(this.#clock.now + phase, () => this.#tellLoads(entry));
  }
}
