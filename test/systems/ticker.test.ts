import { afterEach, beforeEach, describe, expect, it, vi } from 'vitest';
import { Ticker } from '../../src/model/ticker.js';

describe('the ticker', () => {
  beforeEach(() => vi.useFakeTimers());
  afterEach(() => vi.useRealTimers());

  it('calls all listeners from one timer, and has no timer without listeners', () => {
    const ticker = new Ticker(1_000);
    const calls: string[] = [];
    const stops = ['a', 'b'].map((name) => ticker.add(() => calls.push(name)));
    expect(vi.getTimerCount()).toBe(1);
    vi.advanceTimersByTime(1_000);
    expect(calls).toEqual(['a', 'b']);
    for (const stop of stops) stop();
    expect(vi.getTimerCount()).toBe(0);
  });

  it('allows a listener to be removed while all are called', () => {
    const ticker = new Ticker(1_000);
    const calls: string[] = [];
    const stop = ticker.add(() => stop());
    ticker.add(() => calls.push('b'));
    vi.advanceTimersByTime(2_000);
    expect(calls).toEqual(['b', 'b']);
  });
});
