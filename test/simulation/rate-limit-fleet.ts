/**
 * Simulates entries that send requests to one rate-limited back end in virtual time, with a slot of its agent or directly. Runs
 * the production slot table, permits and limits; messages, the store and the back end are simulated. Times are in
 * milliseconds.
 */
import { MemoryStore } from '../../emulator/store/memory-store.js';
import type { WatchedTables } from '../../src/clients/watched-tables.js';
import { StoreClock } from '../../src/fleet/store-clock.js';
import { BackEndLimits } from '../../src/forwarding/back-end-limits.js';
import { DirectPermits } from '../../src/forwarding/direct-permits.js';
import type { RateLimitNotice } from '../../src/forwarding/rate-limit-notice.js';
import { type Random, seededRandom } from '../../src/model/random.js';
import { failure } from '../../src/model/result.js';
import { silentLog } from '../../src/observability/log.js';
import type { Metrics } from '../../src/observability/metrics.js';
import type { RateLimitUpdate } from '../../src/protocol/rate-limit-update.js';
import type { ColdEngine } from '../../src/systems/slot-queue.js';
import { type SlotDecision, SlotTable } from '../../src/systems/slot-table.js';

const BACK_END = { id: 'back-end', start: 1 };
const SLOTS = 16;
/** Maximum delay of a message. */
const MAX_DELAY = 10;
/** Maximum time for which a request waits for a slot. */
const MAX_SLOT_WAIT = 200;
/** Bounds of the time in which the back end serves a request. */
const MIN_SERVICE_TIME = 20;
const MAX_SERVICE_TIME = 200;
/** Interval at which the agent observes its engine. */
const OBSERVE_INTERVAL = 250;
/** Time until a restarted agent grants slots again. */
const AGENT_START_TIME = 300;

/** Replaces the metrics, because each registry samples the event loop and hundreds of them slow the simulation. */
const NO_METRICS = { add: () => {} } as unknown as Metrics;

/** A fault to inject. */
export type FleetFault =
  | { type: 'restart' | 'partition' | 'freeze'; entry: number; duration: number }
  | { type: 'restartAll' | 'agentRestart' | 'storeOutage'; duration: number };

/** Parameters of a simulation. */
export interface FleetInit {
  entries: number;
  /** The initial rate limit of the back end, in requests per second; undefined for none. */
  rate: number | undefined;
  hasAgent: boolean;
  /** Requests per second from callers to all entries together. */
  requestRate: number;
  /** Fraction of lost messages, among entries and between entries and the agent. */
  messageLoss: number;
  seed: number;
  /** Set if the back end is cold from the beginning. */
  cold?: {
    rate: number;
    until: number;
    /** Entries with a number below this one know it. */
    awareEntries: number;
  };
}

interface Entry {
  number: number;
  limits: BackEndLimits;
  permits: DirectPermits;
  /** Until then, other entries, the agent and the store are unreachable; callers and the back end are not. */
  partitionedUntil: number;
  /** Paused until then; sends its pending requests afterwards. */
  frozenUntil: number;
  isRunning: boolean;
}

/** A simulated fleet of entries with one back end. */
export class RateLimitFleet {
  /** Arrival times of requests at the back end. */
  readonly arrivals: number[] = [];
  refused = 0;
  readonly #init: FleetInit;
  readonly #random: Random;
  readonly #store = new MemoryStore();
  readonly #entries: Entry[] = [];
  readonly #waiting = new Map<string, Entry>();
  #agent = new SlotTable();
  #grantTimer: NodeJS.Timeout | undefined;
  #isAgentUp: boolean;
  #rate: number | undefined;
  #requests = 0;

  constructor(init: FleetInit) {
    this.#init = init;
    this.#random = seededRandom(init.seed);
    this.#rate = init.rate;
    this.#isAgentUp = init.hasAgent;
    for (let number = 0; number < init.entries; number++) this.#entries.push(this.#start(number));
    if (init.hasAgent) setInterval(() => this.#observe(), OBSERVE_INTERVAL);
    this.#observe();
    this.#generateRequests();
  }

  /** Changes the rate limit that the back end names; undefined for none. */
  setRateLimit(rate: number | undefined): void {
    this.#rate = rate;
  }

  inject(fault: FleetFault): void {
    const until = performance.now() + fault.duration;
    if (fault.type === 'restartAll')
      for (const { number } of [...this.#entries]) this.#restart(number, fault.duration);
    if (fault.type === 'restart') this.#restart(fault.entry, fault.duration);
    if (fault.type === 'partition') this.#partition(this.#entries[fault.entry], until);
    if (fault.type === 'freeze') this.#entries[fault.entry].frozenUntil = until;
    if (fault.type === 'agentRestart') this.#restartAgent(fault.duration);
    if (fault.type === 'storeOutage') {
      this.#store.faults.down = true;
      setTimeout(() => {
        this.#store.faults.down = false;
      }, fault.duration);
    }
  }

  #start(number: number): Entry {
    const metrics = NO_METRICS;
    const limits = new BackEndLimits(silentLog, metrics, {
      rateOf: (_backEnd, now) => this.#coldAt(number, now)?.rate,
    });
    const entry: Entry = {
      number,
      limits,
      partitionedUntil: 0,
      frozenUntil: 0,
      isRunning: true,
      permits: undefined!,
    };
    entry.permits = new DirectPermits({
      tables: this.#storeOf(entry),
      clock: new StoreClock(),
      limits,
      entryCount: () => this.#init.entries,
      random: this.#random,
      log: silentLog,
      metrics,
    });
    limits.listen({
      onNamed: (backEnd, rate) => void entry.permits.noteNamed(backEnd, rate),
      onLifted: (backEnd) => void entry.permits.noteLifted(backEnd),
      onNews: (news) => this.#sendNews(entry, news),
    });
    void entry.permits.start();
    return entry;
  }

  /** The store, unavailable while the entry cannot reach it. */
  #storeOf(entry: Entry): WatchedTables {
    const store: WatchedTables = this.#store;
    const isUnavailable = () => !this.#isReachable(entry);
    const unavailable = failure({
      type: 'unavailable',
      service: 'store',
      retryAfter: 0,
      reason: 'partition',
    } as const);
    return {
      read: async (...call) => (isUnavailable() ? unavailable : store.read(...call)),
      changes: async (...call) => (isUnavailable() ? unavailable : store.changes(...call)),
      transact: async (...call) => (isUnavailable() ? unavailable : store.transact(...call)),
    };
  }

  #isReachable({ partitionedUntil, frozenUntil }: Entry): boolean {
    return performance.now() >= Math.max(partitionedUntil, frozenUntil);
  }

  #restart(number: number, downtime: number): void {
    const former = this.#entries[number];
    former.isRunning = false;
    void former.permits.stop();
    setTimeout(() => {
      const entry = this.#start(number);
      this.#entries[number] = entry;
      for (const other of this.#entries) if (other !== entry) this.#sendAllNews(other, entry);
    }, downtime);
  }

  #partition(entry: Entry, until: number): void {
    entry.partitionedUntil = until;
    setTimeout(() => {
      for (const other of this.#entries) {
        this.#sendAllNews(other, entry);
        this.#sendAllNews(entry, other);
      }
    }, until - performance.now());
  }

  #restartAgent(downtime: number): void {
    if (!this.#init.hasAgent) return;
    this.#isAgentUp = false;
    this.#agent = new SlotTable();
    this.#waiting.clear();
    setTimeout(() => {
      this.#isAgentUp = true;
    }, downtime + AGENT_START_TIME);
  }

  /** Delivers all limits that one entry knows to another, as on a new connection; none is lost. */
  #sendAllNews(from: Entry, to: Entry): void {
    if (!from.isRunning || !this.#isReachable(from) || !this.#isReachable(to)) return;
    for (const news of from.limits.allNews()) to.limits.takeNews(structuredClone(news), performance.now());
  }

  #sendNews(from: Entry, news: RateLimitUpdate): void {
    for (const to of this.#entries) {
      if (to === from || !this.#isReachable(from) || this.#isLost()) continue;
      this.#schedule(MAX_DELAY, () => {
        if (this.#isReachable(to)) to.limits.takeNews(structuredClone(news), performance.now());
      });
    }
  }

  #schedule(maxDelay: number, action: () => void, minDelay = 1): void {
    setTimeout(action, minDelay + this.#random.below(maxDelay));
  }

  #isLost(): boolean {
    return this.#random.fraction() < this.#init.messageLoss;
  }

  #observe(): void {
    if (!this.#isAgentUp) return;
    const now = performance.now();
    this.#apply(this.#agent.observe({ isServing: true, load: 0, cold: this.#coldAt(0, now) }, now));
  }

  /** The state of a cold back end, if entry `number` knows it. */
  #coldAt(number: number, now: number): ColdEngine | undefined {
    const { cold } = this.#init;
    if (cold === undefined || now >= cold.until || number >= cold.awareEntries) return undefined;
    return { rate: cold.rate, until: cold.until };
  }

  /** Generates requests with exponentially distributed intervals, each at a random entry. */
  #generateRequests(): void {
    const pause = (-Math.log(1 - this.#random.fraction()) * 1_000) / this.#init.requestRate;
    setTimeout(() => {
      this.#generateRequests();
      const entry = this.#entries[this.#random.below(this.#entries.length)];
      if (entry.isRunning && performance.now() >= entry.frozenUntil) void this.#request(entry);
    }, pause);
  }

  async #request(entry: Entry): Promise<void> {
    const now = performance.now();
    if (this.#isAgentUp && this.#isReachable(entry)) return this.#requestSlot(entry);
    if (!entry.permits.mayClaim(BACK_END, now)) return void this.refused++;
    const isGranted =
      entry.limits.rateOf(BACK_END) === undefined ||
      (await entry.permits.claim(BACK_END, this.#init.hasAgent));
    if (!isGranted) return void this.refused++;
    this.#sendWhenAwake(entry, undefined);
  }

  #requestSlot(entry: Entry): void {
    const id = `${entry.number}/${this.#requests++}`;
    if (this.#isLost()) return void this.refused++;
    const now = performance.now();
    this.#waiting.set(id, entry);
    const rateLimit = entry.limits.namedRateOf(BACK_END);
    const cold = this.#coldAt(entry.number, now);
    const ask = {
      id,
      urgency: 0,
      waitsSince: now,
      endsAt: now + MAX_SLOT_WAIT,
      slots: SLOTS,
      rateLimit,
      cold,
    };
    this.#apply(this.#agent.ask(ask, now));
  }

  #apply(decisions: readonly SlotDecision[]): void {
    for (const { type, id } of decisions) {
      const entry = this.#waiting.get(id);
      if (type === 'queued' || entry === undefined) continue;
      this.#waiting.delete(id);
      if (type === 'granted' && !this.#isLost())
        this.#schedule(MAX_DELAY, () => this.#sendWhenAwake(entry, id));
      else this.refused++;
      if (type === 'granted' && this.#isLost()) this.#apply(this.#agent.forget([id], performance.now()));
    }
    this.#scheduleGrant();
  }

  #scheduleGrant(): void {
    clearTimeout(this.#grantTimer);
    const { nextGrantAt } = this.#agent;
    if (nextGrantAt === undefined) return;
    const delay = Math.max(0, Math.ceil(nextGrantAt - performance.now()));
    this.#grantTimer = setTimeout(() => this.#apply(this.#agent.grantFree(performance.now())), delay);
  }

  /** Sends the request once the entry is no longer frozen. */
  #sendWhenAwake(entry: Entry, slot: string | undefined): void {
    const wait = entry.frozenUntil - performance.now();
    if (wait > 0) return void setTimeout(() => this.#sendWhenAwake(entry, slot), wait);
    if (entry.isRunning) this.#send(entry, slot);
  }

  #send(entry: Entry, slot: string | undefined): void {
    const agent = this.#agent;
    const sentAt = performance.now();
    this.#schedule(MAX_DELAY, () => {
      this.arrivals.push(performance.now());
      const serviceTime = MIN_SERVICE_TIME + this.#random.below(MAX_SERVICE_TIME - MIN_SERVICE_TIME);
      this.#schedule(MAX_DELAY, () => this.#answer(entry, slot, agent, sentAt), serviceTime);
    });
  }

  #answer(entry: Entry, slot: string | undefined, agent: SlotTable, sentAt: number): void {
    const now = performance.now();
    const rate = this.#rate;
    const notice: RateLimitNotice = rate === undefined ? { type: 'absent' } : { type: 'named', rate };
    if (entry.isRunning) entry.limits.noteAnswer({ backEnd: BACK_END, notice, sentAt, mayLift: true }, now);
    if (slot === undefined || agent !== this.#agent) return;
    if (this.#isReachable(entry) && !this.#isLost()) this.#apply(agent.noteAnswer(slot, rate, now));
    this.#apply(agent.release(slot, now));
  }
}
