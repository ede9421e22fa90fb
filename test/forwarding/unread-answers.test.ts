/** A complete answer that its caller never reads is ended, as its connection and its bytes would be kept for ever. */
import type { ServerResponse } from 'node:http';
import { afterEach, beforeEach, expect, it, vi } from 'vitest';
import { UnreadAnswers } from '../../src/forwarding/unread-answers.js';
import { silentLog } from '../../src/observability/log.js';
import { Metrics } from '../../src/observability/metrics.js';

/** A response with unread bytes, and whether its connection was reset. */
function unreadResponse(bytes: number) {
  const state = { isReset: false, taken: 0, unread: bytes, sums: 0 };
  const socket = {
    get bytesWritten() {
      state.sums++;
      return state.taken + state.unread;
    },
    resetAndDestroy: () => {
      state.isReset = true;
    },
  };
  const response = {
    socket,
    get writableLength() {
      return state.unread;
    },
    destroyed: false,
    destroy: () => {},
    writableEnded: true,
    get writableFinished() {
      return state.unread === 0;
    },
  };
  return { state, response: response as unknown as ServerResponse };
}

beforeEach(() => {
  vi.useFakeTimers();
});

afterEach(() => {
  vi.useRealTimers();
});

it('is reset once its caller has read nothing for its patience and its deadline has passed', () => {
  const { state, response } = unreadResponse(100_000);
  const unread = new UnreadAnswers(silentLog, new Metrics('test'));
  unread.hold(response, { deadline: performance.now() + 6_000, patience: 3_000 });
  vi.advanceTimersByTime(5_900);
  expect(state.isReset).toBe(false);
  vi.advanceTimersByTime(500);
  expect(state.isReset).toBe(true);
});

it('is left alone while its caller goes on reading', () => {
  const { state, response } = unreadResponse(100_000);
  const unread = new UnreadAnswers(silentLog, new Metrics('test'));
  unread.hold(response, { deadline: performance.now() + 1_000, patience: 3_000 });
  for (let second = 0; second < 20; second++) {
    state.taken += 1_000;
    state.unread -= 1_000;
    vi.advanceTimersByTime(1_000);
  }
  expect(state.isReset).toBe(false);
});

it('is no longer counted once it has been read', () => {
  const { state, response } = unreadResponse(1_000);
  const unread = new UnreadAnswers(silentLog, new Metrics('test'));
  unread.hold(response, { deadline: performance.now() + 1_000, patience: 0 });
  state.unread = 0;
  vi.advanceTimersByTime(5_000);
  expect(state.isReset).toBe(false);
});

// Guards against work that grows with the square of what is queued: the socket sums its queue to tell how much it has written.
it('does not ask the connection how much it has taken for each part', () => {
  const { state, response } = unreadResponse(1_000);
  const unread = new UnreadAnswers(silentLog, new Metrics('test'));
  for (let part = 0; part < 1_000; part++) {
    state.unread += 9;
    unread.hold(response, { deadline: performance.now() + 1_000, patience: 3_000 });
  }
  expect(state.sums).toBeLessThanOrEqual(1);
  vi.advanceTimersByTime(1_000);
  expect(state.sums).toBeLessThanOrEqual(5);
});
