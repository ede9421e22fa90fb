/**
 * Routing by load alone, by load and prefix-cache overlap, and by load and prefix affinity, in virtual time: entries that see lagging
 * loads, and cache events that come late and with gaps. The combined score follows the idea of a cache credit that is
 * balanced against projected load ("Multimodal KV Routing", NVIDIA Dynamo documentation, paper ca61).
 */
import { build } from 'hdr-histogram-js';
import { type Random, rendezvousOrder, seededRandom } from '../../src/model/random.js';
import { affinityCost } from '../../src/systems/routing.js';
import { VirtualClock } from './virtual-clock.js';

/** How a replica is chosen. */
export type RoutingPolicy = 'load' | 'loadAndOverlap' | 'loadAndAffinity';

/** What to simulate. */
export interface RoutingSimulationInit {
  policy: RoutingPolicy;
  seed: number;
  replicas: number;
  entries: number;
  requests: number;
  /** Requests a second over all entries. */
  rate: number;
  /** Different prefixes, asked for by a Zipf law. */
  prefixes: number;
  /** Prefixes that a replica's cache holds. */
  cachedPrefixes: number;
  /** Age of cache events, in milliseconds, and the share of them that is lost. */
  eventLag: number;
  eventLoss: number;
}

/** What came out; times in milliseconds. */
export interface RoutingReport {
  policy: RoutingPolicy;
  eventLag: number;
  eventLoss: number;
  firstTokenMean: number;
  firstTokenP50: number;
  firstTokenP95: number;
  /** Share of requests whose prefix was in the replica's cache. */
  hitShare: number;
}

const PREFIX_TOKENS = 2_000;
const OWN_TOKENS = 200;
const PREFILL_TOKENS_PER_MILLISECOND = 20;
const STEP = 15;
const ANSWER_TOKENS = 32;
const CAPACITY = 16;
const REPORT_LAG = 300;
/** What a full batch costs a request beside its prefill, in milliseconds: the weight of load against overlap. */
const FULL_LOAD_COST = 200;

interface Replica {
  prefillFreeAt: number;
  active: number;
  /** Prefixes in the cache, the least recently used first. */
  cache: Map<number, true>;
}

interface EntryView {
  /** Loads as last reported, and what this entry has in progress. */
  reported: number[];
  own: number[];
  /** Prefixes believed to be cached, by replica. */
  cached: Array<Set<number>>;
}

/** The ways to compare: cache events as they are published now, and much later and with more gaps. */
const CASES: ReadonlyArray<Pick<RoutingSimulationInit, 'policy' | 'eventLag' | 'eventLoss'>> = [
  { policy: 'load', eventLag: 0, eventLoss: 0 },
  { policy: 'loadAndOverlap', eventLag: 500, eventLoss: 0.05 },
  { policy: 'loadAndOverlap', eventLag: 2_000, eventLoss: 0.3 },
  { policy: 'loadAndAffinity', eventLag: 0, eventLoss: 0 },
];
const COMPARED = { replicas: 8, entries: 4, requests: 20_000, cachedPrefixes: 10 };

/** Simulates all ways under the same load. */
export function compareRouting(rate: number, prefixes: number, seed: number): RoutingReport[] {
  return CASES.map((way) => simulateRouting({ ...COMPARED, ...way, rate, prefixes, seed }));
}

/** Runs a simulation. */
export function simulateRouting(init: RoutingSimulationInit): RoutingReport {
  const simulation = new RoutingSimulation(init);
  return simulation.run();
}

class RoutingSimulation {
  readonly #init: RoutingSimulationInit;
  readonly #clock = new VirtualClock();
  readonly #random: Random;
  readonly #replicas: Replica[];
  readonly #views: EntryView[];
  readonly #firstToken = build({ highestTrackableValue: 10_000_000, numberOfSignificantValueDigits: 3 });
  readonly #zipf: number[];
  readonly #ranksOf = new Map<number, number[]>();
  #hits = 0;
  #ended = 0;

  constructor(init: RoutingSimulationInit) {
    this.#init = init;
    this.#random = seededRandom(init.seed);
    const numbers = Array.from({ length: init.replicas }, (_, index) => index);
    this.#replicas = numbers.map(() => ({ prefillFreeAt: 0, active: 0, cache: new Map() }));
    this.#views = Array.from({ length: init.entries }, () => ({
      reported: numbers.map(() => 0),
      own: numbers.map(() => 0),
      cached: numbers.map(() => new Set<number>()),
    }));
    this.#zipf = cumulativeZipf(init.prefixes);
  }

  run(): RoutingReport {
    this.#reportLoads();
    this.#arrive(0);
    this.#clock.runUntil(Number.POSITIVE_INFINITY, () => this.#ended === this.#init.requests);
    const { policy, eventLag, eventLoss, requests } = this.#init;
    const milliseconds = (value: number) => Math.round(value / 10) / 100;
    return {
      policy,
      eventLag,
      eventLoss,
      firstTokenMean: milliseconds(this.#firstToken.mean),
      firstTokenP50: milliseconds(this.#firstToken.getValueAtPercentile(50)),
      firstTokenP95: milliseconds(this.#firstToken.getValueAtPercentile(95)),
      hitShare: Math.round((1_000 * this.#hits) / requests) / 1_000,
    };
  }

  #arrive(number: number): void {
    if (number === this.#init.requests) return;
    const entry = this.#views[this.#random.below(this.#views.length)];
    this.#serve(entry, this.#pickPrefix());
    const gap = (-Math.log(1 - this.#random.fraction()) * 1_000) / this.#init.rate;
    this.#clock.schedule(this.#clock.now + gap, () => this.#arrive(number + 1));
  }

  #pickPrefix(): number {
    const point = this.#random.fraction();
    return this.#zipf.findIndex((limit) => point < limit);
  }

  #serve(entry: EntryView, prefix: number): void {
    const chosen = this.#choose(entry, prefix);
    const replica = this.#replicas[chosen];
    const { now } = this.#clock;
    entry.own[chosen]++;
    replica.active++;
    const hit = replica.cache.has(prefix);
    if (hit) this.#hits++;
    this.#touch(chosen, prefix);
    const tokens = OWN_TOKENS + (hit ? 0 : PREFIX_TOKENS);
    replica.prefillFreeAt = Math.max(now, replica.prefillFreeAt) + tokens / PREFILL_TOKENS_PER_MILLISECOND;
    const firstTokenAt = replica.prefillFreeAt + STEP;
    this.#firstToken.recordValue(Math.round((firstTokenAt - now) * 1_000));
    const slowdown = Math.max(1, replica.active / CAPACITY);
    this.#clock.schedule(firstTokenAt + ANSWER_TOKENS * STEP * slowdown, () => {
      entry.own[chosen]--;
      replica.active--;
      this.#ended++;
    });
  }

  #choose(entry: EntryView, prefix: number): number {
    let best = 0;
    let bestCost = Number.POSITIVE_INFINITY;
    let ties = 0;
    for (let index = 0; index < this.#replicas.length; index++) {
      const cost = this.#cost(entry, index, prefix);
      if (cost > bestCost) continue;
      ties = cost < bestCost ? 1 : ties + 1;
      bestCost = cost;
      if (ties === 1 || this.#random.below(ties) === 0) best = index;
    }
    return best;
  }

  #cost(entry: EntryView, index: number, prefix: number): number {
    const load = (Math.max(entry.reported[index], entry.own[index]) / CAPACITY) * FULL_LOAD_COST;
    if (this.#init.policy === 'load') return load;
    if (this.#init.policy === 'loadAndAffinity') {
      return load + affinityCost(this.#ranks(prefix)[index]) * FULL_LOAD_COST;
    }
    const missing = entry.cached[index].has(prefix) ? 0 : PREFIX_TOKENS;
    return load + missing / PREFILL_TOKENS_PER_MILLISECOND;
  }

  #touch(index: number, prefix: number): void {
    const { cache } = this.#replicas[index];
    const isNew = !cache.delete(prefix);
    cache.set(prefix, true);
    if (isNew) this.#publish(index, prefix, true);
    for (const oldest of cache.keys()) {
      if (cache.size <= this.#init.cachedPrefixes) return;
      cache.delete(oldest);
      this.#publish(index, oldest, false);
    }
  }

  /** The place of each replica in the rendezvous order of a prefix. */
  #ranks(prefix: number): number[] {
    let ranks = this.#ranksOf.get(prefix);
    if (ranks === undefined) {
      const names = this.#replicas.map((_, index) => `replica-${index}`);
      const order = rendezvousOrder(`prefix-${prefix}`, names);
      ranks = names.map((name) => order.indexOf(name));
      this.#ranksOf.set(prefix, ranks);
    }
    return ranks;
  }

  /** A cache event reaches each entry late, or never. */
  #publish(index: number, prefix: number, stored: boolean): void {
    for (const view of this.#views) {
      if (this.#random.fraction() < this.#init.eventLoss) continue;
      this.#clock.schedule(this.#clock.now + this.#init.eventLag, () => {
        if (stored) view.cached[index].add(prefix);
        else view.cached[index].delete(prefix);
      });
    }
  }

  #reportLoads(): void {
    const loads = this.#replicas.map((replica) => replica.active);
    this.#clock.schedule(this.#clock.now + REPORT_LAG, () => {
      for (const view of this.#views) view.reported = [...loads];
      this.#reportLoads();
    });
  }
}

function cumulativeZipf(count: number): number[] {
  const weights = Array.from({ length: count }, (_, index) => 1 / (index + 1));
  const total = weights.reduce((sum, weight) => sum + weight, 0);
  let sum = 0;
  return weights.map((weight, index) => {
    sum += weight / total;
    return index === count - 1 ? 1 : sum;
  });
}
