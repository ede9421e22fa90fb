/**
 * Tests that a content that crashes back ends is sent at most three more times after its third crash, however long callers
 * repeat it and whatever else crashes. In operation, one request crashed 31 back ends and was sent 11 times later than 3 s
 * after the third crash. Three faults made the number of sends unbounded: a quarantine expired and let one request through
 * every 10 minutes (475 a day); crashes were forgotten after a minute, so that a content sent every 70 s crashed a back end
 * each time (1,235 a day); and a crash within 60 ms of another back end's crash counted against no content (172,800).
 */
import fc from 'fast-check';
import { describe, expect, it } from 'vitest';
import { PoisonRequests } from '../../src/systems/poison-requests.js';

const DEADLY = 'deadly';
const THIRD = 3;
/** Maximum number of sends after the third crash, without a time limit. */
const MAX_RETRIES = 3;
const DAY = 86_400_000;
/** Time from a send to the crash of its back end, in milliseconds. */
const TIME_TO_CRASH = 100;

/** Reports other crashes shortly before or after a crash of the content. */
type ReportOtherCrashes = (poison: PoisonRequests, crashAt: number) => void;

const nothing: ReportOtherCrashes = () => {};

/**
 * Sends the content every `interval` milliseconds, if permitted, for a day or until the maximum is exceeded; returns the
 * number of sends.
 */
function sendsInADay(interval: number, beside: ReportOtherCrashes = nothing): number {
  const poison = new PoisonRequests(() => 0);
  let sends = 0;
  for (let now = 0; now < DAY && sends <= THIRD + MAX_RETRIES; now += interval) {
    const decision = poison.decide(DEADLY, now);
    if (decision.type === 'quarantined') continue;
    if (decision.type === 'trial') poison.noteTrial(DEADLY, now);
    sends++;
    const at = now + TIME_TO_CRASH;
    beside(poison, at);
    poison.noteCrash({ backEnd: `b${sends}`, at, suspects: [DEADLY, `beside ${sends}`] });
  }
  return sends;
}

describe('a content that always crashes back ends', () => {
  it('is sent at most three times more after the third crash, however long its callers repeat it', () => {
    expect(sendsInADay(500)).toBeLessThanOrEqual(THIRD + MAX_RETRIES);
  });

  it('is sent at most three times more after the third crash if it is sent rarely', () => {
    expect(sendsInADay(70_000)).toBeLessThanOrEqual(THIRD + MAX_RETRIES);
  });

  it('is sent at most three times more after the third crash if other back ends crash at the same moments', () => {
    const sameMoment: ReportOtherCrashes = (poison, at) =>
      poison.noteCrash({ backEnd: `other ${at}`, at: at - 20, suspects: [`unlucky ${at}`] });
    expect(sendsInADay(500, sameMoment)).toBeLessThanOrEqual(THIRD + MAX_RETRIES);
  });

  it('is sent at most three times more after the third crash, whatever else crashes and however often it is sent', () => {
    const interval = fc.integer({ min: 400, max: 200_000 });
    const distances = fc.array(fc.integer({ min: -200, max: 200 }), { maxLength: 4 });
    fc.assert(
      fc.property(interval, distances, (every, others) => {
        const beside: ReportOtherCrashes = (poison, at) =>
          others.forEach((distance, index) => {
            const crash = { backEnd: `other ${at} ${index}`, at: at + distance, suspects: [`unlucky ${at}`] };
            poison.noteCrash(crash);
          });
        return sendsInADay(every, beside) <= THIRD + MAX_RETRIES;
      }),
      { seed: 36, numRuns: 40 },
    );
  });
});
