/** Tests which answers set, change and lift the rate limit of a back end. */
import { beforeEach, describe, expect, it } from 'vitest';
import { BackEndLimits } from '../../src/forwarding/back-end-limits.js';
import { readRateLimit } from '../../src/forwarding/rate-limit-notice.js';
import { silentLog } from '../../src/observability/log.js';
import { Metrics } from '../../src/observability/metrics.js';
import type { RateLimitUpdate } from '../../src/protocol/rate-limit-update.js';

const BACK_END = { id: 'b1', start: 100 };

let metrics: Metrics;
let limits: BackEndLimits;

function receiveAnswer(header: string | undefined, sentAt: number, now: number, changes = {}): void {
  const notice = readRateLimit(header);
  limits.noteAnswer({ backEnd: BACK_END, notice, sentAt, mayLift: true, ...changes }, now);
}

beforeEach(() => {
  metrics = new Metrics('test');
  limits = new BackEndLimits(silentLog, metrics);
});

describe('the rate limit of a back end', () => {
  it('applies until a later request is answered without the header', () => {
    receiveAnswer('4', 0, 50);
    expect(limits.rateOf(BACK_END)).toBe(4);
    receiveAnswer('5', 60, 90);
    expect(limits.rateOf(BACK_END)).toBe(5);
    receiveAnswer(undefined, 91, 140);
    expect(limits.rateOf(BACK_END)).toBeUndefined();
  });

  it('is not lifted by the answer to a request sent before the limit was named', () => {
    receiveAnswer('4', 10, 50);
    receiveAnswer(undefined, 0, 60);
    receiveAnswer(undefined, 50, 70);
    expect(limits.rateOf(BACK_END)).toBe(4);
  });

  it('is not lifted by an answer with mayLift false or a malformed header', () => {
    receiveAnswer('4', 0, 50);
    receiveAnswer(undefined, 60, 70, { mayLift: false });
    receiveAnswer('none', 60, 70);
    expect(limits.rateOf(BACK_END)).toBe(4);
  });

  it('can be zero', () => {
    receiveAnswer('0', 0, 50);
    expect(limits.rateOf(BACK_END)).toBe(0);
  });

  it('applies to one start of the back end only', () => {
    receiveAnswer('4', 0, 50);
    expect(limits.rateOf({ id: 'b1', start: 200 })).toBeUndefined();
    expect(limits.rateOf({ id: 'b1', start: undefined })).toBe(4);
  });

  it('is exported in the metrics only while it applies', async () => {
    receiveAnswer('4', 0, 50);
    limits.noteSent(BACK_END, true);
    limits.noteSent(BACK_END, false);
    limits.noteSent({ id: 'b2' }, false);
    const before = await metrics.registry.metrics();
    expect(before).toContain('thistleway_back_end_rate_limit{back_end="b1",role="test"} 4');
    expect(before).toContain('thistleway_sends_to_limited_back_ends{way="direct",role="test"} 1');
    receiveAnswer(undefined, 60, 70);
    receiveAnswer('-', 60, 70);
    const after = await metrics.registry.metrics();
    expect(after).not.toContain('back_end="b1"');
    expect(after).toContain('thistleway_back_end_rate_limit_changes{kind="lifted",role="test"} 1');
    expect(after).toContain('thistleway_back_end_rate_limit_changes{kind="malformed",role="test"} 1');
  });
});

describe('rate limit news', () => {
  let news: RateLimitUpdate[];

  beforeEach(() => {
    news = [];
    limits.listen({ onNamed: () => {}, onLifted: () => {}, onNews: (one) => news.push(one) });
  });

  it('is sent when a limit is first named, changes by more than a tenth, and is lifted', () => {
    for (const [header, sentAt] of [
      ['4', 0],
      ['4.2', 10],
      ['4.8', 20],
      [undefined, 30],
    ] as const)
      receiveAnswer(header, sentAt, sentAt + 5);
    const start = 100;
    expect(news).toEqual([
      { type: 'named', backEnd: 'b1', start, rate: 4 },
      { type: 'named', backEnd: 'b1', start, rate: 4.8 },
      { type: 'lifted', backEnd: 'b1', start },
    ]);
  });

  it('is applied, and not sent on', () => {
    limits.takeNews({ type: 'named', backEnd: 'b1', start: 100, rate: 4 }, 0);
    expect(limits.rateOf(BACK_END)).toBe(4);
    expect(limits.allNews()).toEqual([{ type: 'named', backEnd: 'b1', start: 100, rate: 4 }]);
    limits.takeNews({ type: 'lifted', backEnd: 'b1', start: 100 }, 10);
    expect(limits.rateOf(BACK_END)).toBeUndefined();
    expect(news).toEqual([]);
  });

  it('lifts a limit two seconds after the last answer that named it, unless another answer names it first', () => {
    receiveAnswer('4', 0, 50);
    limits.takeNews({ type: 'lifted', backEnd: 'b1', start: 100 }, 1_000);
    expect(limits.rateOf(BACK_END, 2_049)).toBe(4);
    expect(limits.allNews()).toEqual([]);
    receiveAnswer('4', 1_500, 2_049);
    expect(limits.rateOf(BACK_END, 9_000)).toBe(4);
    limits.takeNews({ type: 'lifted', backEnd: 'b1', start: 100 }, 9_000);
    expect(limits.rateOf(BACK_END, 9_000)).toBeUndefined();
  });

  it('does not restore a limit that an answer to this entry has just lifted', () => {
    receiveAnswer('4', 0, 50);
    receiveAnswer(undefined, 60, 100);
    limits.takeNews({ type: 'named', backEnd: 'b1', start: 100, rate: 4 }, 2_000);
    expect(limits.rateOf(BACK_END, 2_000)).toBeUndefined();
    limits.takeNews({ type: 'named', backEnd: 'b1', start: 100, rate: 4 }, 2_100);
    expect(limits.rateOf(BACK_END, 2_100)).toBe(4);
  });

  it('does not apply to a later start of the back end', () => {
    const next = { id: 'b1', start: 200 };
    receiveAnswer('5', 0, 50, { backEnd: next });
    limits.takeNews({ type: 'named', backEnd: 'b1', start: 100, rate: 1 }, 9_000);
    limits.takeNews({ type: 'lifted', backEnd: 'b1', start: 100 }, 9_000);
    receiveAnswer('1', 9_000, 9_000);
    expect(limits.rateOf(next)).toBe(5);
  });
});
