/** Deadlines, wait limits and queue positions of requests. */
import { describe, expect, it } from 'vitest';
import { STREAM_ROUTE } from '../../bench/simulation/stream-route.js';
import type { FleetConfiguration } from '../../src/fleet/configuration.js';
import { RouteTable } from '../../src/fleet/route-table.js';
import { MAX_RANK, RequestTiming } from '../../src/forwarding/request-timing.js';

const ARRIVED_AT = 10_000;
const whole = new RequestTiming(ARRIVED_AT, STREAM_ROUTE, 6_030);
/** A request whose caller gives less than the timeout of the route. */
const short = new RequestTiming(ARRIVED_AT, STREAM_ROUTE, 4_000);

describe('the time of a request', () => {
  it('ends at the time-out of its route or of its caller, whichever comes first', () => {
    expect(whole.deadline).toBe(ARRIVED_AT + 6_000);
    expect(short.deadline).toBe(ARRIVED_AT + 4_000);
    expect(new RequestTiming(ARRIVED_AT, STREAM_ROUTE, undefined).deadline).toBe(ARRIVED_AT + 6_000);
  });

  it('holds a request briefly while the serving back ends are full', () => {
    expect(whole.holdDeadline(ARRIVED_AT)).toBeLessThan(ARRIVED_AT + 100);
    expect(short.holdDeadline(ARRIVED_AT)).toBe(whole.holdDeadline(ARRIVED_AT));
  });

  it('begins no request so late that its caller would leave before the first event, or before the end', () => {
    expect(short.latestBegin).toBe(ARRIVED_AT + 2_400 - 700);
    const shortest = new RequestTiming(ARRIVED_AT, STREAM_ROUTE, 2_000);
    expect(shortest.latestBegin).toBe(shortest.deadline - 1_200);
  });

  it('lets a request queue only as long as it can meet its objective, and refuses none that was sent for a long queue', () => {
    for (const timing of [whole, short]) {
      expect(timing.maxQueueWait(false)).toBe(240);
      expect(timing.maxQueueWait(true)).toBe(1_800);
    }
  });

  it('lets a request that was sent or held before wait for a slot as long as its caller does', () => {
    for (const timing of [whole, short]) {
      expect(timing.slotWaitDeadline(ARRIVED_AT + 500, true)).toBe(ARRIVED_AT + 500 + 1_800);
      expect(timing.slotWaitDeadline(ARRIVED_AT, false)).toBe(timing.latestBegin);
    }
  });

  it('has no influence on the place of a request among those that can meet their objective', () => {
    for (let rank = 0; rank <= MAX_RANK; rank++)
      expect(short.urgency(rank, ARRIVED_AT)).toBe(whole.urgency(rank, ARRIVED_AT));
  });

  it('puts requests that can meet their objective before late requests', () => {
    expect(whole.urgency(1, ARRIVED_AT)).toBe(1);
    expect(whole.urgency(0, ARRIVED_AT + 401)).toBeGreaterThan(short.urgency(MAX_RANK, ARRIVED_AT));
    expect(short.urgency(1, ARRIVED_AT + 401)).toBe(whole.urgency(1, ARRIVED_AT + 401));
    expect(whole.urgency(MAX_RANK, ARRIVED_AT + 401)).toBe(9);
  });

  it('puts more urgent ranks first, and the most urgent rank first among late requests', () => {
    for (let rank = 1; rank <= MAX_RANK; rank++)
      expect(whole.urgency(rank - 1, ARRIVED_AT)).toBeLessThan(whole.urgency(rank, ARRIVED_AT));
    expect(short.urgency(0, ARRIVED_AT + 401)).toBeLessThan(short.urgency(1, ARRIVED_AT + 401));
  });

  it('distinguishes no more ranks than the queue of a back end', () => {
    expect(whole.urgency(MAX_RANK + 5, ARRIVED_AT)).toBe(whole.urgency(MAX_RANK, ARRIVED_AT));
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
