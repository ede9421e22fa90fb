/**
 * Property test of the quarantine across entries: one content crashes every back end, while random sequences of steps
 * kill entries, cut them off, take the store down, restore it from an older copy, and make crashes undetectable by
 * probes.
 *
 * Once the contact time (3 s) has passed since the third crash, entries that have run connected to the store for that time
 * must send the content at most three more times in total, whatever state was lost. The guards and records are real;
 * time is virtual.
 */
import fc from 'fast-check';
import { afterEach, beforeEach, describe, expect, it, vi } from 'vitest';
import { MemoryStore, type StoreCopy } from '../../emulator/store/memory-store.js';
import { StoreClock } from '../../src/fleet/store-clock.js';
import type { BackEndRow } from '../../src/forwarding/back-end-table.js';
import { PoisonGuard } from '../../src/forwarding/poison-guard.js';
import { QuarantineRecords } from '../../src/forwarding/quarantine-records.js';
import { seededRandom } from '../../src/model/random.js';
import { silentLog } from '../../src/observability/log.js';
import { Metrics } from '../../src/observability/metrics.js';
import type { PoisonUpdate } from '../../src/protocol/poison-update.js';

const ENTRIES = 3;
const CONTENT = { fingerprints: ['by key', 'by tenant'], tenant: '', parts: [] };
const THIRD_CRASH = 3;
/** Total number of sends allowed after the contact time has passed since the third crash. */
const MAX_RETRIES = 3;
/** The contact time: how long an entry must have run connected to the store for the bound to apply, in milliseconds. */
const CONTACT_TIME = 3_000;
/** Time within which a crash is detected and written to the store, in milliseconds. */
const SETTLE_TIME = 60;
/** Time after which the list shows the end of a back end, in milliseconds. */
const LIST_DELAY = 4_500;

type Step =
  | { type: 'send'; entry: number; isDetected: boolean }
  | { type: 'kill' | 'cut'; entry: number }
  | { type: 'killAll' | 'nextGeneration' | 'copy' | 'olderCopy' | 'storeAway' }
  | { type: 'wait'; milliseconds: number };

const entry = fc.integer({ min: 0, max: ENTRIES - 1 });
const send = fc.record({ type: fc.constant('send' as const), entry, isDetected: fc.boolean() });
const wait = fc.record({
  type: fc.constant('wait' as const),
  milliseconds: fc.constantFrom(100, 700, 4_000, 11_000),
});
const disturbance: fc.Arbitrary<Step> = fc.oneof(
  fc.record({ type: fc.constantFrom('kill' as const, 'cut' as const), entry }),
  fc.record({
    type: fc.constantFrom('killAll' as const, 'copy' as const, 'olderCopy' as const, 'storeAway' as const),
  }),
);
const nextGeneration = fc.record({ type: fc.constant('nextGeneration' as const) });
const step: fc.Arbitrary<Step> = fc.oneof(
  { weight: 6, arbitrary: send },
  { weight: 2, arbitrary: wait },
  { weight: 2, arbitrary: disturbance },
  { weight: 2, arbitrary: nextGeneration },
);

interface SimulatedEntry {
  guard: PoisonGuard;
  records: QuarantineRecords;
  /** Time of its last start or cut. */
  disturbedUntil: number;
  isCut: boolean;
}

/** Simulates entries, their store, and back ends that one content crashes. */
class QuarantineSimulation {
  readonly store = new MemoryStore();
  readonly entries: SimulatedEntry[] = [];
  readonly #endedAt = new Map<string, number>();
  #copy: StoreCopy | undefined;
  #storeDisturbedUntil = Number.NEGATIVE_INFINITY;
  #crashes: number[] = [];
  retries = 0;

  constructor() {
    for (let index = 0; index < ENTRIES; index++) this.entries.push(this.#start(index));
  }

  async play(one: Step): Promise<void> {
    if (one.type === 'send') await this.#send(this.entries[one.entry], one.isDetected);
    if (one.type === 'kill') this.#kill(one.entry);
    if (one.type === 'killAll' || one.type === 'nextGeneration') this.#killAll();
    if (one.type === 'nextGeneration') await vi.advanceTimersByTimeAsync(2 * CONTACT_TIME);
    if (one.type === 'cut') await this.#cut(this.entries[one.entry]);
    if (one.type === 'copy') this.#copy = this.store.copy();
    if (one.type === 'olderCopy') this.#restoreStore();
    if (one.type === 'storeAway') await this.#interruptStore();
    if (one.type === 'wait') await vi.advanceTimersByTimeAsync(one.milliseconds);
  }

  async stop(): Promise<void> {
    for (const { guard, records } of this.entries) {
      guard.stop();
      await records.stop();
    }
  }

  #start(index: number): SimulatedEntry {
    const random = seededRandom(index);
    const records = new QuarantineRecords({
      tables: this.store,
      name: `entry ${index}`,
      clock: new StoreClock(),
      random,
      log: silentLog,
    });
    const guard = new PoisonGuard({
      log: silentLog,
      metrics: new Metrics('test'),
      placeOf: () => index,
      hasEnded: (row) =>
        performance.now() - (this.#endedAt.get(row.record.id) ?? Number.POSITIVE_INFINITY) > LIST_DELAY,
      isLeaving: () => false,
      records,
      call: async (address) => (address === 'seen' ? 'refused' : 'silent'),
    });
    const running: SimulatedEntry = { guard, records, disturbedUntil: performance.now(), isCut: false };
    guard.onNews = (news) => this.#pass(running, news);
    void records.start();
    for (const other of this.entries)
      if (!other.isCut) for (const news of other.guard.allNews()) guard.takeNews(news);
    return running;
  }

  #pass(from: SimulatedEntry, news: PoisonUpdate): void {
    if (from.isCut || !this.entries.includes(from)) return;
    for (const other of this.entries)
      if (other !== from && !other.isCut) other.guard.takeNews(structuredClone(news));
  }

  #kill(index: number): void {
    const { guard, records } = this.entries[index];
    guard.stop();
    void records.stop();
    this.entries.splice(index, 1);
    this.entries.splice(index, 0, this.#start(index));
  }

  #killAll(): void {
    // No entry sends news to those that start again.
    for (const running of this.entries) running.isCut = true;
    for (let index = 0; index < ENTRIES; index++) this.#kill(index);
  }

  async #cut(running: SimulatedEntry): Promise<void> {
    running.isCut = true;
    await vi.advanceTimersByTimeAsync(2_000);
    running.isCut = false;
    running.disturbedUntil = performance.now();
    // Its connections are reopened, and both sides send all of their news.
    for (const other of this.entries) {
      if (other === running || other.isCut) continue;
      for (const news of other.guard.allNews()) running.guard.takeNews(news);
      for (const news of running.guard.allNews()) other.guard.takeNews(news);
    }
  }

  #restoreStore(): void {
    if (this.#copy === undefined) return;
    this.store.restore(this.#copy);
    this.#storeDisturbedUntil = performance.now();
    for (const { records } of this.entries) records.noteOlderCopy();
  }

  async #interruptStore(): Promise<void> {
    this.store.faults.down = true;
    await vi.advanceTimersByTimeAsync(3_000);
    this.store.faults.down = false;
    this.#storeDisturbedUntil = performance.now();
  }

  async #send(running: SimulatedEntry, isDetected: boolean): Promise<void> {
    const { guard } = running;
    const asked = guard.hasSuspects ? guard.admit(CONTENT, 'service') : Promise.resolve({ type: 'allowed' });
    await vi.advanceTimersByTimeAsync(1);
    if ((await asked).type === 'quarantined') return;
    this.#countRetry(running);
    const id = `back end ${this.#endedAt.size}`;
    this.#endedAt.set(id, performance.now());
    this.#crashes.push(performance.now());
    const record = { id, start: undefined, address: isDetected ? 'seen' : 'unseen' };
    const row = { record, health: { noteCrashed: () => {} } } as unknown as BackEndRow;
    guard.noteBroken({ row, content: CONTENT });
    await vi.advanceTimersByTimeAsync(isDetected ? SETTLE_TIME : 2 * LIST_DELAY);
  }

  #countRetry(running: SimulatedEntry): void {
    const now = performance.now();
    const third = this.#crashes[THIRD_CRASH - 1];
    const disturbed = Math.max(running.disturbedUntil, this.#storeDisturbedUntil);
    if (third !== undefined && now - third > CONTACT_TIME && now - disturbed >= CONTACT_TIME) this.retries++;
  }
}

beforeEach(() => {
  vi.useFakeTimers({ toFake: ['setTimeout', 'clearTimeout', 'setInterval', 'clearInterval', 'performance'] });
});

afterEach(() => {
  vi.useRealTimers();
});

describe('a content that crashes every back end', () => {
  it('is sent at most three more times, whatever the order of restarts, lost state and news', async () => {
    await fc.assert(
      fc.asyncProperty(fc.array(step, { minLength: 30, maxLength: 80 }), async (steps) => {
        const simulation = new QuarantineSimulation();
        for (const one of steps) await simulation.play(one);
        await simulation.stop();
        expect(simulation.retries).toBeLessThanOrEqual(MAX_RETRIES);
      }),
      { seed: 36, numRuns: 400 },
    );
  });
});
