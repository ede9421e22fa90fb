/** Tests that entries claim each permit once, and none while the store is unavailable: either would exceed a rate limit. */
import { afterEach, beforeEach, describe, expect, it, vi } from 'vitest';
import { MemoryStore } from '../../emulator/store/memory-store.js';
import { StoreClock } from '../../src/fleet/store-clock.js';
import { BackEndLimits } from '../../src/forwarding/back-end-limits.js';
import { DirectPermits } from '../../src/forwarding/direct-permits.js';
import { seededRandom } from '../../src/model/random.js';
import { silentLog } from '../../src/observability/log.js';
import { Metrics } from '../../src/observability/metrics.js';

const BACK_END = { id: 'b1', start: 100 };
const RATE = 2;
const INTERVAL = 500;

interface Entry {
  limits: BackEndLimits;
  permits: DirectPermits;
}

let store: MemoryStore;
let entries: Entry[];

/** @param coldRate - what the entry takes the back end to bear as it is cold; undefined if it is warm */
async function startEntry(coldRate?: number): Promise<Entry> {
  const metrics = new Metrics('test');
  const limits = new BackEndLimits(silentLog, metrics, { rateOf: () => coldRate });
  const options = { limits, metrics, log: silentLog, random: seededRandom(3), entryCount: () => 1 };
  const permits = new DirectPermits({ ...options, tables: store, clock: new StoreClock() });
  await permits.start();
  await vi.advanceTimersByTimeAsync(1);
  entries.push({ limits, permits });
  return { limits, permits };
}

/** Starts an entry and makes the rate limit of the back end known to it. */
async function startLimitedEntry(): Promise<Entry> {
  const entry = await startEntry();
  entry.limits.restore(BACK_END, RATE, performance.now());
  await entry.permits.noteNamed(BACK_END, RATE);
  return entry;
}

/** Counts the permits granted to `claiming` entries within `milliseconds`, if each of them claims one every 20 ms. */
async function countGranted(
  milliseconds: number,
  claiming: readonly Entry[],
  hasAgent = false,
): Promise<number> {
  let granted = 0;
  for (let elapsed = 0; elapsed < milliseconds; elapsed += 20) {
    for (const { permits } of claiming) if (await permits.claim(BACK_END, hasAgent)) granted++;
    await vi.advanceTimersByTimeAsync(20);
  }
  return granted;
}

const rowKeys = async () => {
  const read = await store.read('rateLimits', 'rateLimits', new AbortController().signal);
  return read.ok ? read.value.rows.map(({ key }) => key) : [];
};

beforeEach(() => {
  vi.useFakeTimers({ toFake: ['setTimeout', 'clearTimeout', 'setInterval', 'clearInterval', 'performance'] });
  vi.advanceTimersByTime(1_000);
  store = new MemoryStore();
  entries = [];
});

afterEach(async () => {
  for (const { permits } of entries) await permits.stop();
  vi.useRealTimers();
});

describe('permits to send requests directly', () => {
  it('are granted at the rate of the limit to all entries together', async () => {
    const claiming = [await startLimitedEntry(), await startLimitedEntry(), await startLimitedEntry()];
    const granted = await countGranted(10 * INTERVAL, claiming);
    expect(granted).toBeGreaterThanOrEqual(7);
    expect(granted).toBeLessThanOrEqual(10);
  });

  it('are not saved up during idle time', async () => {
    const entry = await startLimitedEntry();
    await vi.advanceTimersByTimeAsync(50 * INTERVAL);
    expect(await countGranted(INTERVAL, [entry])).toBeLessThanOrEqual(2);
  });

  it('are granted at a quarter of the limit for a back end with an agent', async () => {
    const entry = await startLimitedEntry();
    expect(await countGranted(40 * INTERVAL, [entry], true)).toBeLessThanOrEqual(10);
  });

  it('are not needed if no limit is known', async () => {
    const { permits } = await startEntry();
    store.faults.down = true;
    expect(permits.mayClaim(BACK_END, performance.now())).toBe(true);
    expect(await permits.claim(BACK_END, false)).toBe(true);
  });

  it('are not granted while the store is unavailable or its answers are lost', async () => {
    const entry = await startLimitedEntry();
    store.faults.down = true;
    expect(await countGranted(4 * INTERVAL, [entry])).toBe(0);
    store.faults.down = false;
    store.faults.losesAnswers = true;
    expect(await countGranted(4 * INTERVAL, [entry])).toBe(0);
  });

  it('are claimed with a bounded number of calls to the store', async () => {
    const entry = await startLimitedEntry();
    const before = store.calls.transact;
    await countGranted(5_000, [entry]);
    expect(store.calls.transact - before).toBeLessThanOrEqual(5 * 40);
  });

  it('continue the stored schedule when another entry starts', async () => {
    const first = await startLimitedEntry();
    await countGranted(4 * INTERVAL, [first]);
    const second = await startEntry();
    expect(second.limits.rateOf(BACK_END)).toBe(RATE);
    expect(await countGranted(INTERVAL, [first, second])).toBeLessThanOrEqual(2);
  });

  it('start a new schedule without a permit if the store has lost the row', async () => {
    const copy = store.copy();
    const entry = await startLimitedEntry();
    store.restore(copy);
    entry.permits.noteOlderCopy();
    expect(await countGranted(INTERVAL - 40, [entry])).toBe(0);
    expect(await countGranted(2 * INTERVAL, [entry])).toBeGreaterThanOrEqual(1);
  });

  it('apply to one start of the back end', async () => {
    const entry = await startLimitedEntry();
    await vi.advanceTimersByTimeAsync(2 * INTERVAL);
    const next = { ...BACK_END, start: 200 };
    entry.limits.restore(next, RATE, performance.now());
    expect(await entry.permits.claim(next, false)).toBe(false);
  });

  it('are claimed for a cold back end, which names no limit to entries that start later', async () => {
    const entries = [await startEntry(RATE), await startEntry(RATE)];
    const granted = await countGranted(10 * INTERVAL, entries);
    expect(granted).toBeGreaterThanOrEqual(6);
    expect(granted).toBeLessThanOrEqual(10);
    const later = await startEntry();
    expect(later.limits.rateOf(BACK_END)).toBeUndefined();
    await entries[0].permits.noteNamed(BACK_END, RATE);
    const last = await startEntry();
    expect(last.limits.rateOf(BACK_END)).toBe(RATE);
  });

  it('leave no row after the limit is lifted or the back end is gone', async () => {
    const entry = await startLimitedEntry();
    expect(await rowKeys()).toEqual(['b1']);
    await entry.permits.noteLifted(BACK_END);
    expect(await rowKeys()).toEqual([]);
    await startLimitedEntry();
    await vi.advanceTimersByTimeAsync(3_600_000);
    await startEntry();
    expect(await rowKeys()).toEqual([]);
  });

  it('are granted despite a malformed row', async () => {
    await store.transact(
      [],
      [{ table: 'rateLimits', partition: 'rateLimits', key: 'b1', value: Buffer.from('{"rate":"fast"}') }],
      new AbortController().signal,
    );
    const entry = await startEntry();
    expect(entry.limits.rateOf(BACK_END)).toBeUndefined();
    entry.limits.restore(BACK_END, RATE, performance.now());
    expect(await countGranted(3 * INTERVAL, [entry])).toBeGreaterThanOrEqual(1);
  });
});
