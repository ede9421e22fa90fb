/** Tests the schedule of a graceful shutdown. */
import { describe, expect, it } from 'vitest';
import { addressLifetimeFor, DrainSchedule } from '../../src/systems/drain-schedule.js';

const GRACE_TIME = 8_000;
const LIFETIME = 1_000;
const ORDERED_AT = 50_000;

function ordered(): DrainSchedule {
  const drain = new DrainSchedule({ graceTime: GRACE_TIME, addressLifetime: LIFETIME });
  drain.begin(ORDERED_AT);
  return drain;
}

describe('a drain', () => {
  it('has no end before the order to stop, and a second order does not move the end', () => {
    const drain = new DrainSchedule({ graceTime: GRACE_TIME, addressLifetime: LIFETIME });
    expect(drain.canComplete(ORDERED_AT + 60_000)).toBe(true);
    expect(drain.acceptsConnections(ORDERED_AT, 60_000)).toBe(true);
    drain.begin(ORDERED_AT);
    const { endsAt } = drain;
    expect(endsAt).toBeLessThan(ORDERED_AT + GRACE_TIME);
    drain.begin(ORDERED_AT + 2_000);
    expect(drain.endsAt).toBe(endsAt);
  });

  it('permits only requests whose deadlines are before it ends', () => {
    const drain = ordered();
    expect(drain.canComplete(drain.endsAt)).toBe(true);
    expect(drain.canComplete(drain.endsAt + 1)).toBe(false);
  });

  it('accepts connections for the address lifetime, and three times as long while requests arrive', () => {
    const drain = ordered();
    expect(drain.acceptsConnections(ORDERED_AT + LIFETIME - 1, 60_000)).toBe(true);
    expect(drain.acceptsConnections(ORDERED_AT + LIFETIME, 60_000)).toBe(false);
    expect(drain.acceptsConnections(ORDERED_AT + 3 * LIFETIME - 1, 10)).toBe(true);
    expect(drain.acceptsConnections(ORDERED_AT + 3 * LIFETIME, 10)).toBe(false);
  });

  it('permits no requests once it is finished, even before its latest end', () => {
    const drain = ordered();
    drain.finish(ORDERED_AT + 1_500);
    expect(drain.canComplete(ORDERED_AT + 1_511)).toBe(false);
    expect(drain.acceptsConnections(ORDERED_AT + 1_510, 10)).toBe(false);
  });

  it('leaves time for its last steps before the process is killed, however late they begin', () => {
    const drain = ordered();
    const killedAt = ORDERED_AT + GRACE_TIME;
    expect(drain.lastStepTime(150, drain.endsAt)).toBe(150);
    for (const late of [500, 100, 10]) {
      let now = killedAt - late;
      for (let step = 0; step < 4; step++) now += drain.lastStepTime(300, now);
      expect(now).toBeLessThan(killedAt);
    }
    expect(drain.lastStepTime(300, killedAt + 1)).toBe(0);
  });

  it('accepts no connections after its end, however long the address lifetime', () => {
    const drain = new DrainSchedule({ graceTime: GRACE_TIME, addressLifetime: 60_000 });
    drain.begin(ORDERED_AT);
    expect(drain.acceptsConnections(drain.endsAt - 1, 10)).toBe(true);
    expect(drain.acceptsConnections(drain.endsAt, 10)).toBe(false);
  });
});

describe('the address lifetime', () => {
  it('leaves time for the last answers within the grace time', () => {
    expect(addressLifetimeFor(8_000)).toBe(1_000);
    expect(addressLifetimeFor(10_000)).toBe(2_000);
    expect(addressLifetimeFor(60_000)).toBe(2_000);
  });

  it('is at least one second', () => {
    expect(addressLifetimeFor(2_000)).toBe(1_000);
  });
});
