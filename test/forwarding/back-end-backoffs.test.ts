/** Tests which requests a back end may get during a back-off for which it has asked, and after it. */
import { beforeEach, expect, it } from 'vitest';
import { BackEndBackoffs } from '../../src/forwarding/back-end-backoffs.js';
import { readRetryAfter } from '../../src/forwarding/retry-after-notice.js';
import { silentLog } from '../../src/observability/log.js';
import { Metrics } from '../../src/observability/metrics.js';

const ONE = { id: 'one', start: 100 };
const NEXT_START = { id: 'one', start: 200 };

let backoffs: BackEndBackoffs;

const admits = (now: number, isLastResort = false, backEnd = ONE) =>
  backoffs.admits(backEnd, now, isLastResort);

/** An answer to a request sent at `sentAt` arrives at `now`. */
function receiveAnswer(header: string | undefined, sentAt: number, now: number, backEnd = ONE): void {
  backoffs.noteAnswer(backEnd, readRetryAfter(header), sentAt, now);
}

/** Sends a request at `now`; returns its attempt. */
function send(now: number, backEnd = ONE): object {
  const attempt = {};
  backoffs.noteSent(backEnd, attempt, now);
  return attempt;
}

beforeEach(() => {
  backoffs = new BackEndBackoffs(silentLog, new Metrics('test'));
});

it('a back end gets no request until the end of the time for which it has asked, fractions included', () => {
  expect(admits(0)).toBe(true);
  receiveAnswer('2.5', 0, 100);
  expect(backoffs.timeLeft(ONE, 600)).toBe(2_000);
  expect(admits(2_599)).toBe(false);
  expect(admits(2_600)).toBe(true);
});

it('the back-off that ends last applies', () => {
  receiveAnswer('3', 0, 100);
  receiveAnswer('0.2', 0, 200);
  expect(admits(3_099)).toBe(false);
  receiveAnswer('3', 0, 300);
  expect(admits(3_299)).toBe(false);
  expect(admits(3_300)).toBe(true);
});

it.each(['0', 'soon', '-1', undefined])('%j asks for no back-off', (header) => {
  receiveAnswer(header, 0, 100);
  expect(admits(100)).toBe(true);
});

it('an answer that is served does not end a back-off', () => {
  receiveAnswer('2', 0, 100);
  receiveAnswer(undefined, 0, 200);
  receiveAnswer(undefined, 150, 300);
  expect(admits(2_099)).toBe(false);
});

it('two requests may be sent in a back-off if no other back end can take them, also if it is prolonged', () => {
  receiveAnswer('2', 0, 100);
  expect(admits(200, true)).toBe(true);
  send(200);
  receiveAnswer('2', 200, 210);
  send(300);
  receiveAnswer('2', 300, 310);
  expect(admits(400, true)).toBe(false);
  expect(admits(2_309, true)).toBe(false);
  expect(admits(2_310, true)).toBe(true);
});

it('after a back-off one request is sent, and others once it is answered', () => {
  receiveAnswer('1', 0, 0);
  send(1_000);
  expect(backoffs.isProbed(ONE)).toBe(true);
  expect(admits(1_001)).toBe(false);
  expect(admits(1_001, true)).toBe(false);
  receiveAnswer(undefined, 500, 1_050);
  expect(admits(1_051)).toBe(false);
  receiveAnswer(undefined, 1_000, 1_100);
  expect(admits(1_101)).toBe(true);
  send(1_101);
  expect(admits(1_102)).toBe(true);
});

it('another request follows the first one after a back-off if that ends without an answer, and not if another one ends', () => {
  receiveAnswer('1', 0, 0);
  const first = send(1_000);
  backoffs.noteEnded(ONE, {});
  expect(admits(1_500)).toBe(false);
  backoffs.noteEnded(ONE, first);
  expect(admits(1_500)).toBe(true);
});

it('the first request after a back-off may be refused with another one', () => {
  receiveAnswer('1', 0, 0);
  const first = send(1_000);
  receiveAnswer('2', 1_000, 1_010);
  backoffs.noteEnded(ONE, first);
  expect(admits(3_009)).toBe(false);
  expect(admits(1_020, true)).toBe(true);
  expect(admits(3_010)).toBe(true);
});

it('a back-off applies to one start, and a late answer of a former start to that start', () => {
  receiveAnswer('5', 0, 0);
  expect(admits(100, false, NEXT_START)).toBe(true);
  receiveAnswer('1', 0, 100, NEXT_START);
  receiveAnswer('9', 0, 200);
  expect(admits(1_099, false, NEXT_START)).toBe(false);
  expect(admits(1_100, false, NEXT_START)).toBe(true);
});

it('a back-off asked for before the start was known still applies once it is', () => {
  backoffs.noteAnswer({ id: 'one' }, readRetryAfter('5'), 0, 0);
  expect(admits(100)).toBe(false);
});

it('back-offs that ended long ago are discarded', () => {
  receiveAnswer('1', 0, 0);
  backoffs.noteAnswer({ id: 'two' }, readRetryAfter('1'), 0, 100_000);
  send(100_000);
  expect(admits(100_001)).toBe(true);
});
