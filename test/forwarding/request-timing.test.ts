/** Deadlines, wait limits and queue positions of requests. */
import { describe, expect, it } from 'vitest';
import { STREAM_ROUTE } from '../../bench/simulation/stream-route.js';
import type { FleetConfiguration } from '../../src/fleet/configuration.js';
import { RouteTable } from '../../src/fleet/route-table.js';
import { MAX_RANK, RequestTiming } from '../../src/forwarding/request-timing.js';

const ARRIVED_AT = 10_000;
const first = new RequestTiming(ARRIVED_AT, STREAM_ROUTE, 6_030);
const retry = new RequestTiming(ARRIVED_AT, STREAM_ROUTE, 4_000);

describe('the time of a request', () => {
  it('ends at the time-out of its route or of its caller, whichever comes first', () => {
    expect(first.deadline).toBe(ARRIVED_AT + 6_000);
    expect(retry.deadline).toBe(ARRIVED_AT + 4_000);
    expect(new RequestTiming(ARRIVED_AT, STREAM_ROUTE, undefined).deadline).toBe(ARRIVED_AT + 6_000);
  });

  it('recognizes the retry of a caller by the time that it has left', () => {
    expect(first.isCallerRetry).toBe(false);
    expect(retry.isCallerRetry).toBe(true);
    expect(new RequestTiming(ARRIVED_AT, { ...STREAM_ROUTE, isStream: false }, 4_000).isCallerRetry).toBe(
      false,
    );
  });

  it('holds a first request briefly, and a retry as long as it can still be served', () => {
    expect(first.holdDeadline(ARRIVED_AT)).toBeLessThan(ARRIVED_AT + 100);
    const short = new RequestTiming(ARRIVED_AT, STREAM_ROUTE, 2_000);
    expect(short.holdDeadline(ARRIVED_AT)).toBe(short.deadline - 1_200);
  });

  it('holds no request so long that its caller would leave before the first event', () => {
    expect(retry.holdDeadline(ARRIVED_AT)).toBe(ARRIVED_AT + 2_400 - 700);
  });

  it('lets a first request queue only as long as it can meet its objective, and refuses none that was sent for a long queue', () => {
    expect(first.maxQueueWait(false)).toBe(240);
    expect(first.maxQueueWait(true)).toBe(1_800);
    expect(retry.maxQueueWait(false)).toBe(1_800);
  });

  it('lets a first request wait for a slot only as long as its first event can still meet the objective', () => {
    expect(first.slotWaitDeadline(ARRIVED_AT, false, false)).toBe(ARRIVED_AT + 200);
    expect(first.slotWaitDeadline(ARRIVED_AT + 500, true, false)).toBe(ARRIVED_AT + 500 + 1_800);
    expect(first.slotWaitDeadline(ARRIVED_AT, false, true)).toBe(first.latestBegin);
    expect(retry.slotWaitDeadline(ARRIVED_AT, false, false)).toBe(retry.latestBegin);
  });

  it('puts first requests before retries, and retries before late requests', () => {
    expect(first.urgency(1, ARRIVED_AT)).toBe(1);
    expect(retry.urgency(1, ARRIVED_AT)).toBeGreaterThan(first.urgency(MAX_RANK, ARRIVED_AT));
    expect(first.urgency(1, ARRIVED_AT + 401)).toBeGreaterThan(retry.urgency(MAX_RANK, ARRIVED_AT));
    expect(retry.urgency(1, ARRIVED_AT + 401)).toBe(first.urgency(1, ARRIVED_AT + 401));
    expect(first.urgency(MAX_RANK, ARRIVED_AT + 401)).toBe(9);
  });

  it('puts more urgent ranks first among retries, and the most urgent rank first among late requests', () => {
    for (let rank = 1; rank <= MAX_RANK; rank++) {
      expect(first.urgency(rank - 1, ARRIVED_AT)).toBeLessThan(first.urgency(rank, ARRIVED_AT));
      expect(retry.urgency(rank - 1, ARRIVED_AT)).toBeLessThan(retry.urgency(rank, ARRIVED_AT));
    }
    expect(retry.urgency(0, ARRIVED_AT + 401)).toBeLessThan(retry.urgency(1, ARRIVED_AT + 401));
  });

  it('distinguishes no more ranks than the queue of a back end', () => {
    expect(first.urgency(MAX_RANK + 5, ARRIVED_AT)).toBe(first.urgency(MAX_RANK, ARRIVED_AT));
  });
});

describe('the rank of a priority', () => {
  const configuration = (priorities: number[], tenants: Array<number | undefined>): FleetConfiguration => ({
    revision: 1,
    routes: priorities.map((priority) => ({ ...STREAM_ROUTE, priority })),
    services: [],
    origin: undefined,
    limits: { headerBytes: 1, bodyBytes: 1, headerTimeout: 1, idleTimeout: 1 },
    tenants: tenants.map((priority, place) => ({ name: `t${place}`, keys: [`k${place}`], priority })),
  });

  it('is its position among the priorities of routes and tenants', () => {
    const table = new RouteTable(configuration([5, 2, 5], [7, undefined]));
    expect([2, 5, 7].map((priority) => table.rankOf(priority))).toEqual([0, 1, 2]);
  });
});
