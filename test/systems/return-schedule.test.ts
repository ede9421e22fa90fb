/** When callers come back that were refused in a burst, under lasting overload, or in an outage. */
import { describe, expect, it } from 'vitest';
import { seededRandom } from '../../src/model/random.js';
import { ReturnSchedule } from '../../src/systems/return-schedule.js';

const START = 10_000;
const LONGEST = 2_000;
const CALLER = { rank: 0, roomIn: 0, longest: LONGEST, waiting: 0 };

/** A schedule at an entry that has sent and received so many requests a second for the last two seconds. */
function scheduleAfter(sent: number, urgent: number, others = 0): ReturnSchedule {
  const schedule = new ReturnSchedule(seededRandom(5));
  for (let at = START - 2_000; at < START; at += 1_000 / sent) schedule.noteSent(at);
  for (let at = START - 2_000; at < START; at += 1_000 / urgent) schedule.noteArrival(0, at);
  for (let at = START - 2_000; at < START; at += 1_000 / others) schedule.noteArrival(3, at);
  return schedule;
}

function delays(schedule: ReturnSchedule, count: number, changes: Partial<typeof CALLER> = {}): number[] {
  return Array.from({ length: count }, () => schedule.delayFor({ ...CALLER, ...changes }, START));
}

describe('callers that an entry refuses', () => {
  it('come back soon if nearly all that arrives is sent', () => {
    const all = delays(scheduleAfter(10, 10), 4);
    for (const delay of all) expect(delay).toBeLessThan(600);
  });

  it('come back one after the other at the pace that more urgent arrivals leave', () => {
    // 10 requests a second are sent, 5 arrive that are as urgent and 10 others: there is room for one caller every 200 ms.
    const all = delays(scheduleAfter(10, 5, 10), 8);
    const gaps = all.slice(1).map((delay, index) => delay - all[index]);
    expect(all[7]).toBeGreaterThan(1_200);
    expect(all[7]).toBeLessThan(1_900);
    for (const gap of gaps) expect(gap).toBeGreaterThanOrEqual(-1);
  });

  it('come after the requests that wait already', () => {
    expect(delays(scheduleAfter(10, 5, 10), 1, { waiting: 6 })[0]).toBeGreaterThan(500);
  });

  it('come back in the order of urgency: less urgent ones do not delay others', () => {
    const schedule = scheduleAfter(10, 5, 10);
    delays(schedule, 5, { rank: 2 });
    expect(delays(schedule, 1, { rank: 0 })[0]).toBeLessThan(400);
    expect(delays(schedule, 1, { rank: 2 })[0]).toBeGreaterThan(900);
  });

  it('come late, and not all at once, if all room of their time is given out', () => {
    // More arrives than is sent: the overload may be over when they come.
    const late = delays(scheduleAfter(10, 17), 60).slice(10);
    for (const delay of late) expect(delay).toBeLessThanOrEqual(LONGEST);
    for (const delay of late) expect(delay).toBeGreaterThanOrEqual(LONGEST / 2);
    const halves = late.filter((delay) => delay > 1_500).length / late.length;
    expect(halves).toBeGreaterThan(0.3);
    expect(halves).toBeLessThan(0.7);
  });

  it('come no later than they honour, so that they are not refused for having believed the answer', () => {
    for (const delay of delays(scheduleAfter(10, 5, 10), 20, { longest: 700 }))
      expect(delay).toBeLessThanOrEqual(900);
  });

  it('are spread after the end of an outage that is expected', () => {
    const all = delays(scheduleAfter(10, 5, 10), 4, { roomIn: 1_000 });
    for (const delay of all) expect(delay).toBeGreaterThanOrEqual(1_000);
    expect(all[3] - all[0]).toBeGreaterThan(300);
  });

  it('are spread by chance after it if nothing was sent before', () => {
    const schedule = new ReturnSchedule(seededRandom(5));
    for (const delay of delays(schedule, 10, { roomIn: 500 })) {
      expect(delay).toBeGreaterThanOrEqual(900);
      expect(delay).toBeLessThanOrEqual(1_300);
    }
  });

  it('cost no room if they do not come: those refused later find the same pace', () => {
    const schedule = scheduleAfter(10, 5, 10);
    delays(schedule, 5);
    const later = schedule.delayFor(CALLER, START + 1_200);
    expect(later).toBeLessThan(500);
  });
});
