/** Repetitions within any span. */
import fc from 'fast-check';
import { describe, expect, it } from 'vitest';
import { RetryWindow } from '../../src/systems/retry-window.js';

const SPAN = 10_000;
const SHARE = 0.2;
const SLACK = 5;
/** More than any window here allows. */
const MOST_TRIES = 1_000;

const windowOf = () => new RetryWindow({ span: SPAN, share: SHARE, slack: () => SLACK });

/** Repetitions that are allowed at once at `now`. */
function allowedAt(window: RetryWindow, now: number): number {
  let count = 0;
  while (count < MOST_TRIES && window.spend(now)) count++;
  return count;
}

describe('repetitions', () => {
  it('may all come at once: the share of the requests of the span, and the slack', () => {
    const window = windowOf();
    for (let now = 0; now < 9_000; now += 90) window.earn(now);
    expect(allowedAt(window, 9_000)).toBe(SHARE * 100 + SLACK);
    expect(window.spend(9_100)).toBe(false);
  });

  it('are allowed again once a span has passed', () => {
    const window = windowOf();
    expect(allowedAt(window, 0)).toBe(SLACK);
    expect(window.spend(SPAN - 1)).toBe(false);
    expect(allowedAt(window, SPAN + 501)).toBe(SLACK);
  });

  it('never exceed the share and the slack in any span', () => {
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
