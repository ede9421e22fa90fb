/** Naming times of versions across processes that start, stop, are suspended and exchange what they know. */
import fc from 'fast-check';
import { describe, expect, it } from 'vitest';
import { NamedVersions } from '../../src/fleet/named-versions.js';
import { CLOCK_TOLERANCE, StoreClock } from '../../src/fleet/store-clock.js';
import { WITHDRAWAL_LEAD } from '../../src/forwarding/version-rules.js';

const NEVER = Number.NEGATIVE_INFINITY;
const BOUND = 8_000;

/** The state of a process whose clock differs from the store's by `difference` milliseconds. */
function createState(difference = 0): { clock: StoreClock; versions: NamedVersions } {
  const clock = new StoreClock();
  clock.addSample(0, difference);
  return { clock, versions: new NamedVersions(clock) };
}

describe('named versions', () => {
  it('forbid older versions once their own bound has passed', () => {
    const { versions } = createState();
    versions.add({ model: 'm', version: 2, notBefore: 1_000 });
    versions.add({ model: 'm', version: 3, notBefore: 5_000 });
    expect(versions.lowestAllowed('m', 8_999, BOUND)).toBe(0);
    expect(versions.lowestAllowed('m', 9_000, BOUND)).toBe(2);
    expect(versions.lowestAllowed('m', 13_000, BOUND)).toBe(3);
  });

  it('keep forbidding what the oldest of them forbids, however many are named before its bound', () => {
    const { versions } = createState();
    for (const version of [2, 3, 4, 5, 6, 7]) {
      versions.add({ model: 'm', version, notBefore: version * 1_000 });
      expect(versions.lowestAllowed('m', 9_999, BOUND)).toBe(0);
    }
    expect(versions.lowestAllowed('m', 10_000, BOUND)).toBe(2);
    expect(versions.expiryOf('m', 1, BOUND)).toBe(10_000);
  });

  it('are dropped once they have long been superseded', () => {
    const { versions } = createState();
    for (let version = 2; version <= 40; version++)
      versions.add({ model: 'm', version, notBefore: version * 20_000 });
    expect(versions.all().length).toBeLessThanOrEqual(6);
    for (let version = 2; version <= 40; version++)
      versions.add({ model: 'other', version, notBefore: NEVER });
    expect(versions.all().filter(({ model }) => model === 'other')).toHaveLength(4);
  });

  it('forbid older versions at once if the naming time is unknown', () => {
    const { versions } = createState();
    expect(versions.add({ model: 'm', version: 2, notBefore: NEVER })).toBe(true);
    expect(versions.lowestAllowed('m', 1, BOUND)).toBe(2);
  });

  it('ignore a process that has just started and knows no naming time', () => {
    const { versions } = createState();
    versions.add({ model: 'm', version: 2, notBefore: 5_000 });
    expect(versions.add({ model: 'm', version: 2, notBefore: NEVER })).toBe(false);
    expect(versions.lowestAllowed('m', 12_999, BOUND)).toBe(0);
  });

  it('are compared in the time of this process', () => {
    const { versions } = createState(700);
    versions.add({ model: 'm', version: 2, notBefore: 1_000 });
    expect(versions.lowestAllowed('m', 9_699, BOUND)).toBe(0);
    expect(versions.lowestAllowed('m', 9_700, BOUND)).toBe(2);
  });

  it('forbid older versions if the store time is unknown', () => {
    const versions = new NamedVersions(new StoreClock());
    versions.add({ model: 'm', version: 2, notBefore: 1_000 });
    expect(versions.lowestAllowed('m', 1_001, BOUND)).toBe(2);
  });
});

describe('StoreClock', () => {
  it('uses the sample with the shortest delay', () => {
    const clock = new StoreClock();
    clock.addSample(1_000, 5_250);
    clock.addSample(2_000, 6_004);
    clock.addSample(3_000, 9_000);
    expect(clock.storeTimeAt(7_004)).toBe(3_000);
    expect(clock.localTimeAt(3_000)).toBe(7_004);
  });

  it('discards old samples, as clocks drift', () => {
    const clock = new StoreClock();
    clock.addSample(0, 0);
    for (const minutes of [11, 22, 33]) clock.addSample(minutes * 60_000, minutes * 60_000 + 100);
    expect(clock.storeTimeAt(100)).toBe(0);
  });
});

describe('the estimated local time of a deadline, for any delays of calls to the store', () => {
  const call = fc.record({
    pause: fc.integer({ min: 0, max: 2_000 }),
    /** Time until the store has stamped its response: the delay of the request and the wait for changes. */
    requestDelay: fc.integer({ min: 0, max: 1_500 }),
    responseDelay: fc.integer({ min: 0, max: 3_000 }),
    /** A sample forwarded by another process, for which the time of the call is unknown. */
    isForwarded: fc.boolean(),
  });

  it('is late by less than the withdrawal lead once the store has answered a call', () => {
    fc.assert(
      fc.property(fc.array(call, { minLength: 1, maxLength: 20 }), (calls) => {
        const clock = new StoreClock();
        let now = 0;
        let hasAnswered = false;
        let quickest = Number.POSITIVE_INFINITY;
        for (const { pause, requestDelay, responseDelay, isForwarded } of calls) {
          const requestedAt = now + pause;
          const stamp = requestedAt + requestDelay;
          now = stamp + responseDelay;
          if (isForwarded) clock.addSample(stamp, now);
          else clock.addSample(stamp, now, requestedAt);
          hasAnswered ||= !isForwarded;
          if (!isForwarded) quickest = Math.min(quickest, requestDelay);
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
    actor: fc.integer({ min: 0, max: PROCESSES - 1 }),
    receiver: fc.integer({ min: 0, max: PROCESSES - 1 }),
    event: fc.constantFrom('start' as const, 'answer' as const, 'tell' as const, 'tell' as const),
  });

  interface Process {
    clock: StoreClock;
    versions: NamedVersions;
    /** The store's time at its latest response. */
    latestStoreTime: number;
  }
  const fresh = (): Process => {
    const clock = new StoreClock();
    return { clock, versions: new NamedVersions(clock), latestStoreTime: NEVER };
  };
  const lowerBoundOf = ({ versions }: Process) => versions.newest('m')?.notBefore;

  it('never estimate a naming too late, and keep the best bound that any of them sent', () => {
    fc.assert(
      fc.property(fc.array(step, { maxLength: 60 }), fc.integer({ min: 0, max: 20_000 }), (steps, named) => {
        const processes = Array.from({ length: PROCESSES }, fresh);
        let now = 0;
        for (const { pause, delay, actor, receiver, event } of steps) {
          now += pause;
          const process = processes[actor];
          if (event === 'start') processes[actor] = fresh();
          if (event === 'answer') {
            // A version that an earlier response contained is not newly named.
            const isNewlyNamed = now >= named && process.latestStoreTime < named;
            if (isNewlyNamed)
              process.versions.add({ model: 'm', version: 2, notBefore: process.latestStoreTime });
            process.clock.addSample(now, now + delay);
            process.latestStoreTime = now;
          }
          if (event === 'tell') {
            const before = lowerBoundOf(processes[receiver]) ?? NEVER;
            const sentVersions = process.versions.all();
            processes[receiver].clock.addSample(process.clock.storeTimeAt(now), now + delay);
            for (const one of sentVersions) processes[receiver].versions.add({ ...one });
            if (sentVersions.length > 0)
              expect(lowerBoundOf(processes[receiver])).toBe(Math.max(before, sentVersions[0].notBefore));
          }
          for (const one of processes) {
            expect(lowerBoundOf(one) ?? NEVER).toBeLessThanOrEqual(named);
            // A delayed message makes the store time look earlier, so a version never seems to be named later.
            if (one.clock.isKnown) expect(one.clock.storeTimeAt(now)).toBeLessThanOrEqual(now);
          }
        }
      }),
      { seed: 20_261_202, numRuns: 500 },
    );
  });
});
