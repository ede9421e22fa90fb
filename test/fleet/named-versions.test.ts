/** When a version was named, as processes believe that start, stop, stand still and tell one another. */
import fc from 'fast-check';
import { describe, expect, it } from 'vitest';
import { NamedVersions } from '../../src/fleet/named-versions.js';
import { CLOCK_TOLERANCE, StoreClock } from '../../src/fleet/store-clock.js';
import { WITHDRAWAL_LEAD } from '../../src/forwarding/back-end-selector.js';

const NEVER = Number.NEGATIVE_INFINITY;
const BOUND = 8_000;

/** Beliefs of a process whose clock is that of the store. */
function beliefs(difference = 0): { clock: StoreClock; versions: NamedVersions } {
  const clock = new StoreClock();
  clock.note(0, difference);
  return { clock, versions: new NamedVersions(clock) };
}

describe('named versions', () => {
  it('forbid older ones from their bound on, each from its own naming', () => {
    const { versions } = beliefs();
    versions.note({ model: 'm', version: 2, notBefore: 1_000 });
    versions.note({ model: 'm', version: 3, notBefore: 5_000 });
    expect(versions.lowestAllowed('m', 8_999, BOUND)).toBe(0);
    expect(versions.lowestAllowed('m', 9_000, BOUND)).toBe(2);
    expect(versions.lowestAllowed('m', 13_000, BOUND)).toBe(3);
  });

  it('forbid what the oldest of them forbids, however many follow before their own bounds', () => {
    const { versions } = beliefs();
    for (const version of [2, 3, 4, 5, 6, 7]) {
      versions.note({ model: 'm', version, notBefore: version * 1_000 });
      expect(versions.lowestAllowed('m', 9_999, BOUND)).toBe(0);
    }
    expect(versions.lowestAllowed('m', 10_000, BOUND)).toBe(2);
    expect(versions.expiryOf('m', 1, BOUND)).toBe(10_000);
  });

  it('are forgotten once others have long taken their place', () => {
    const { versions } = beliefs();
    for (let version = 2; version <= 40; version++)
      versions.note({ model: 'm', version, notBefore: version * 20_000 });
    expect(versions.all().length).toBeLessThanOrEqual(6);
    for (let version = 2; version <= 40; version++)
      versions.note({ model: 'other', version, notBefore: NEVER });
    expect(versions.all().filter(({ model }) => model === 'other')).toHaveLength(4);
  });

  it('forbid older ones at once where nothing is known of their naming', () => {
    const { versions } = beliefs();
    expect(versions.note({ model: 'm', version: 2, notBefore: NEVER })).toBe(true);
    expect(versions.lowestAllowed('m', 1, BOUND)).toBe(2);
  });

  it('take no notice of a process that has just started and knows nothing', () => {
    const { versions } = beliefs();
    versions.note({ model: 'm', version: 2, notBefore: 5_000 });
    expect(versions.note({ model: 'm', version: 2, notBefore: NEVER })).toBe(false);
    expect(versions.lowestAllowed('m', 12_999, BOUND)).toBe(0);
  });

  it('count in the time of this process', () => {
    const { versions } = beliefs(700);
    versions.note({ model: 'm', version: 2, notBefore: 1_000 });
    expect(versions.lowestAllowed('m', 9_699, BOUND)).toBe(0);
    expect(versions.lowestAllowed('m', 9_700, BOUND)).toBe(2);
  });

  it('forbid older ones where the time of the store is not known', () => {
    const versions = new NamedVersions(new StoreClock());
    versions.note({ model: 'm', version: 2, notBefore: 1_000 });
    expect(versions.lowestAllowed('m', 1_001, BOUND)).toBe(2);
  });
});

describe('the clock of the store', () => {
  it('is as close as the quickest message', () => {
    const clock = new StoreClock();
    clock.note(1_000, 5_250);
    clock.note(2_000, 6_004);
    clock.note(3_000, 9_000);
    expect(clock.storeTimeAt(7_004)).toBe(3_000);
    expect(clock.localTimeAt(3_000)).toBe(7_004);
  });

  it('forgets old estimates, as clocks drift', () => {
    const clock = new StoreClock();
    clock.note(0, 0);
    for (const minutes of [11, 22, 33]) clock.note(minutes * 60_000, minutes * 60_000 + 100);
    expect(clock.storeTimeAt(100)).toBe(0);
  });
});

describe('the believed time of a bound, whatever way the calls to the store take', () => {
  const call = fc.record({
    pause: fc.integer({ min: 0, max: 2_000 }),
    /** Time until the store has stamped its answer: the way there, and what it waits for changes. */
    there: fc.integer({ min: 0, max: 1_500 }),
    back: fc.integer({ min: 0, max: 3_000 }),
    /** A message of another process alone, of which it is not known when it was made. */
    isTold: fc.boolean(),
  });

  it('is later than the truth by less than withdrawals go ahead, once the store has answered a call', () => {
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
          // The clock of this process is that of the store.
          if (hasAnswered) expect(clock.localTimeAt(0)).toBeLessThanOrEqual(CLOCK_TOLERANCE);
          // Nor is it earlier than calls account for: engines would be given up too soon.
          if (hasAnswered)
            expect(clock.localTimeAt(0)).toBeGreaterThanOrEqual(Math.min(0, CLOCK_TOLERANCE - quickest));
          // What others are told is never ahead of the store.
          expect(clock.storeTimeAt(now)).toBeLessThanOrEqual(now);
        }
      }),
      { seed: 20_261_203, numRuns: 500 },
    );
  });

  it('leaves the rest of what withdrawals go ahead to a tick and to the way of a close', () => {
    expect(CLOCK_TOLERANCE).toBeLessThanOrEqual(WITHDRAWAL_LEAD - 150);
  });
});

describe('processes that start, stand still, hear the store and one another in any order', () => {
  const PROCESSES = 4;
  /** What happens, after a pause; `delay` is how long a message lies unread by a receiver that stands still. */
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
    /** The store's time at the latest answer. */
    heardAt: number;
  }
  const fresh = (): Process => {
    const clock = new StoreClock();
    return { clock, versions: new NamedVersions(clock), heardAt: NEVER };
  };
  const beliefOf = ({ versions }: Process) => versions.newest('m')?.notBefore;

  it('never believe a naming later than it was, and lose nothing that the best of them knew', () => {
    fc.assert(
      fc.property(fc.array(step, { maxLength: 60 }), fc.integer({ min: 0, max: 20_000 }), (steps, named) => {
        const processes = Array.from({ length: PROCESSES }, fresh);
        let now = 0;
        for (const { pause, delay, who, whom, what } of steps) {
          now += pause;
          const process = processes[who];
          if (what === 'start') processes[who] = fresh();
          if (what === 'answer') {
            // What was read before is no news.
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
            // What lies unread makes the store's time look earlier: never does a version seem to be named later.
            if (one.clock.isKnown) expect(one.clock.storeTimeAt(now)).toBeLessThanOrEqual(now);
          }
        }
      }),
      { seed: 20_261_202, numRuns: 500 },
    );
  });
});
