/** Tests the limit of retries within any time span. */
import fc from 'fast-check';
import { describe, expect, it } from 'vitest';
import { RetryWindow } from '../../src/systems/retry-window.js';

const SPAN = 10_000;
const SHARE = 0.2;
const SLACK = 5;
/** More retries than any window here allows. */
const MOST_TRIES = 1_000;

const windowOf = () => new RetryWindow({ span: SPAN, share: SHARE, slack: () => SLACK });

/** Number of retries that are permitted immediately at `now`. */
function allowedAt(window: RetryWindow, now: number): number {
  let count = 0;
  while (count < MOST_TRIES && window.spend(now)) count++;
  return count;
}

describe('repetitions', () => {
  it('are permitted at once up to half the share of the requests of the last 8.5 s, plus the slack', () => {
    const window = windowOf();
    // From 500 ms on, 94 of these count.
    for (let now = 0; now < 9_000; now += 90) window.earn(now);
    expect(allowedAt(window, 9_000)).toBe(Math.floor((SHARE / 2) * 94 + SLACK));
    expect(window.spend(9_100)).toBe(false);
  });

  it('are based on the requests of the span before, so that a second burst of them may follow only after that', () => {
    const window = windowOf();
    for (let now = 0; now < 3 * SPAN; now += 100) window.earn(now);
    const first = allowedAt(window, 3 * SPAN);
    const second = allowedAt(window, 3 * SPAN + 5_000);
    expect(first).toBe(Math.floor((SHARE / 2) * 85 + SLACK));
    expect(first + second).toBeLessThanOrEqual((SHARE / 2) * 200 + SLACK);
  });

  it('are permitted again once a span has passed and the first of them have arrived', () => {
    const window = windowOf();
    expect(allowedAt(window, 0)).toBe(SLACK);
    expect(window.spend(SPAN + 999)).toBe(false);
    expect(allowedAt(window, SPAN + 1_000)).toBe(SLACK);
  });

  it('never exceed half of the share of the requests of two spans, plus the slack', () => {
    const step = fc.record({
      pause: fc.integer({ min: 0, max: 2_000 }),
      requests: fc.integer({ min: 0, max: 40 }),
      wanted: fc.integer({ min: 0, max: 12 }),
    });
    fc.assert(
      fc.property(fc.array(step, { maxLength: 80, size: 'max' }), (steps) => {
        const window = windowOf();
        const requests: number[] = [];
        const repetitions: number[] = [];
        let now = 0;
        for (const step of steps) {
          now += step.pause;
          for (let i = 0; i < step.requests; i++) {
            window.earn(now);
            requests.push(now);
          }
          for (let i = 0; i < step.wanted; i++) if (window.spend(now)) repetitions.push(now);
        }
        const within = (times: number[], start: number, end: number) =>
          times.filter((at) => at > start && at <= end).length;
        // The span in which the last one arrives may end later.
        for (const end of repetitions.flatMap((at) => [at, at + SPAN / 4, at + SPAN / 2, at + SPAN - 1])) {
          const earned = (SHARE / 2) * within(requests, end - 2 * SPAN, end);
          expect(within(repetitions, end - SPAN, end)).toBeLessThanOrEqual(earned + SLACK);
        }
      }),
      { seed: 20_261_202, numRuns: 200 },
    );
  });

  it('never exceed the share plus the slack in any span', () => {
    const step = fc.record({
      pause: fc.integer({ min: 0, max: 1_200 }),
      requests: fc.integer({ min: 0, max: 20 }),
      wanted: fc.integer({ min: 0, max: 12 }),
    });
    fc.assert(
      fc.property(fc.array(step, { maxLength: 80 }), (steps) => {
        const window = windowOf();
        const events: Array<{ at: number; what: 'request' | 'repetition' }> = [];
        let now = 0;
        for (const { pause, requests, wanted } of steps) {
          now += pause;
          for (let i = 0; i < requests; i++) {
            window.earn(now);
            events.push({ at: now, what: 'request' });
          }
          for (let i = 0; i < wanted; i++)
            if (window.spend(now)) events.push({ at: now, what: 'repetition' });
        }
        for (const { at: end } of events) {
          const span = events.filter(({ at }) => at > end - SPAN && at <= end);
          const requests = span.filter(({ what }) => what === 'request').length;
          const repetitions = span.length - requests;
          expect(repetitions).toBeLessThanOrEqual(SHARE * requests + SLACK);
        }
      }),
      { seed: 20_261_202, numRuns: 200 },
    );
  });
});
