/** Naming times of versions across processes that start, stop, are suspended and exchange what they know. */
import fc from 'fast-check';
import { describe, expect, it } from 'vitest';
import { NamedVersions } from '../../src/fleet/named-versions.js';
import { CLOCK_TOLERANCE, StoreClock } from '../../src/fleet/store-clock.js';
import { WITHDRAWAL_LEAD } from '../../src/forwarding/back-end-selector.js';

const NEVER = Number.NEGATIVE_INFINITY;
const BOUND = 8_000;

/** The state of a process whose clock differs from the store's by `difference` milliseconds. */
function beliefs(difference = 0): { clock: StoreClock; versions: NamedVersions } {
  const clock = new StoreClock();
  clock.note(0, difference);
  return { clock, versions: new NamedVersions(clock) };
}

describe('named versions', () => {
  it('forbid older versions once their own bound has passed', () => {
    const { versions } = beliefs();
    versions.note({ model: 'm', version: 2, notBefore: 1_000 });
    versions.note({ model: 'm', version: 3, notBefore: 5_000 });
    expect(versions.lowestAllowed('m', 8_999, BOUND)).toBe(0);
    expect(versions.lowestAllowed('m', 9_000, BOUND)).toBe(2);
    expect(versions.lowestAllowed('m', 13_000, BOUND)).toBe(3);
  });

  it('keep forbidding what the oldest of them forbids, however many are named before its bound', () => {
    const { versions } = beliefs();
    for (const version of [2, 3, 4, 5, 6, 7]) {
      versions.note({ model: 'm', version, notBefore: version * 1_000 });
      expect(versions.lowestAllowed('m', 9_999, BOUND)).toBe(0);
    }
    expect(versions.lowestAllowed('m', 10_000, BOUND)).toBe(2);
    expect(versions.expiryOf('m', 1, BOUND)).toBe(10_000);
  });

  it('are dropped once they have long been superseded', () => {
    const { versions } = beliefs();
    for (let version = 2; version <= 40; version++)
      versions.note({ model: 'm', version, notBefore: version * 20_000 });
    expect(versions.all().length).toBeLessThanOrEqual(6);
    for (let version = 2; version <= 40; version++)
      versions.note({ model: 'other', version, notBefore: NEVER });
    expect(versions.all().filter(({ model }) => model === 'other')).toHaveLength(4);
  });

  it('forbid older versions at once if the naming time is unknown', () => {
    const { versions } = beliefs();
    expect(versions.note({ model: 'm', version: 2, notBefore: NEVER })).toBe(true);
    expect(versions.lowestAllowed('m', 1, BOUND)).toBe(2);
  });

  it('ignore a process that has just started and knows no naming time', () => {
    const { versions } = beliefs();
    versions.note({ model: 'm', version: 2, notBefore: 5_000 });
    expect(versions.note({ model: 'm', version: 2, notBefore: NEVER })).toBe(false);
    expect(versions.lowestAllowed('m', 12_999, BOUND)).toBe(0);
  });

  it('are compared in the time of this process', () => {
    const { versions } = beliefs(700);
    versions.note({ model: 'm', version: 2, notBefore: 1_000 });
    expect(versions.lowestAllowed('m', 9_699, BOUND)).toBe(0);
    expect(versions.lowestAllowed('m', 9_700, BOUND)).toBe(2);
  });

  it('forbid older versions if the store time is unknown', () => {
    const versions = new NamedVersions(new StoreClock());
    versions.note({ model: 'm', version: 2, notBefore: 1_000 });
    expect(versions.lowestAllowed('m', 1_001, BOUND)).toBe(2);
  });
});

describe('StoreClock', () => {
  it('uses the sample with the shortest delay', () => {
    const clock = new StoreClock();
    clock.note(1_000, 5_250);
    clock.note(2_000, 6_004);
    clock.note(3_000, 9_000);
    expect(clock.storeTimeAt(7_004)).toBe(3_000);
    expect(clock.localTimeAt(3_000)).toBe(7_004);
  });

  it('discards old samples, as clocks drift', () => {
    const clock = new StoreClock();
    clock.note(0, 0);
    for (const minutes of [11, 22, 33]) clock.note(minutes * 60_000, minutes * 60_000 + 100);
    expect(clock.storeTimeAt(100)).toBe(0);
  });
});

describe('the estimated local time of a deadline, for any delays of calls to the store', () => {
  const call = fc.record({
    pause: fc.integer({ min: 0, max: 2_000 }),
    /** Time until the store has stamped its response: the delay of the request and the wait for changes. */
    there: fc.integer({ min: 0, max: 1_500 }),
    back: fc.integer({ min: 0, max: 3_000 }),
    /** A sample forwarded by another process, for which the time of the call is unknown. */
    isTold: fc.boolean(),
  });

  it('is late by less than the withdrawal lead once the store has answered a call', () => {
    fc.assert(
      fc.property(fc.array(call, { minLength: 1, maxLength: 20 }), (calls) => {
        const clock = new StoreClock();
        let now = 0;
        let hasAnswered = false;
        let quickest = Number.POSITIVE_INFINITY;
        for (const { pause, there, back, isTold } of calls) {
          const askedAt = now + pause;
          const stamp = askedAt + there;
          now = stamp + back;
          if (isTold) clock.note(stamp, now);
          else clock.note(stamp, now, askedAt);
          hasAnswered ||= !isTold;
          if (!isTold) quickest = Math.min(quickest, there);
          // The store's clock equals that of this process.
          if (hasAnswered) expect(clock.localTimeAt(0)).toBeLessThanOrEqual(CLOCK_TOLERANCE);
          // It is not earlier than the calls account for either, since engines would be given up too soon.
          if (hasAnswered)
            expect(clock.localTimeAt(0)).toBeGreaterThanOrEqual(Math.min(0, CLOCK_TOLERANCE - quickest));
          // The store time sent to others is never ahead of the store.
          expect(clock.storeTimeAt(now)).toBeLessThanOrEqual(now);
        }
      }),
      { seed: 20_261_203, numRuns: 500 },
    );
  });

  it('leaves time in the withdrawal lead for a timer tick and the delay of closing', () => {
    expect(CLOCK_TOLERANCE).toBeLessThanOrEqual(WITHDRAWAL_LEAD - 150);
  });
});

describe('processes that start, are suspended, and receive store times and versions in any order', () => {
  const PROCESSES = 4;
  /** An event after a pause; `delay` is how long a message waits for a suspended receiver. */
  const step = fc.record({
    pause: fc.integer({ min: 0, max: 1_500 }),
    delay: fc.integer({ min: 0, max: 8_000 }),
    who: fc.integer({ min: 0, max: PROCESSES - 1 }),
    whom: fc.integer({ min: 0, max: PROCESSES - 1 }),
    what: fc.constantFrom('start' as const, 'answer' as const, 'tell' as const, 'tell' as const),
  });

  interface Process {
    clock: StoreClock;
    versions: NamedVersions;
    /** The store's time at its latest response. */
    heardAt: number;
  }
  const fresh = (): Process => {
    const clock = new StoreClock();
    return { clock, versions: new NamedVersions(clock), heardAt: NEVER };
  };
  const beliefOf = ({ versions }: Process) => versions.newest('m')?.notBefore;

  it('never estimate a naming too late, and keep the best bound that any of them sent', () => {
    fc.assert(
      fc.property(fc.array(step, { maxLength: 60 }), fc.integer({ min: 0, max: 20_000 }), (steps, named) => {
        const processes = Array.from({ length: PROCESSES }, fresh);
        let now = 0;
        for (const { pause, delay, who, whom, what } of steps) {
          now += pause;
          const process = processes[who];
          if (what === 'start') processes[who] = fresh();
          if (what === 'answer') {
            // A version that an earlier response contained is not newly named.
            const isNews = now >= named && process.heardAt < named;
            if (isNews) process.versions.note({ model: 'm', version: 2, notBefore: process.heardAt });
            process.clock.note(now, now + delay);
            process.heardAt = now;
          }
          if (what === 'tell') {
            const before = beliefOf(processes[whom]) ?? NEVER;
            const told = process.versions.all();
            processes[whom].clock.note(process.clock.storeTimeAt(now), now + delay);
            for (const one of told) processes[whom].versions.note({ ...one });
            if (told.length > 0) expect(beliefOf(processes[whom])).toBe(Math.max(before, told[0].notBefore));
          }
          for (const one of processes) {
            expect(beliefOf(one) ?? NEVER).toBeLessThanOrEqual(named);
            // A delayed message makes the store time look earlier, so a version never seems to be named later.
            if (one.clock.isKnown) expect(one.clock.storeTimeAt(now)).toBeLessThanOrEqual(now);
          }
        }
      }),
      { seed: 20_261_202, numRuns: 500 },
    );
  });
});
