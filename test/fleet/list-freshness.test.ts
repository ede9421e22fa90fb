/** Guards the age of the list of back ends: how old it is goes by the store's time, not by when a message arrives. */
import { describe, expect, it } from 'vitest';
import { DepartureLog } from '../../src/fleet/departure-log.js';
import { ListFreshness } from '../../src/fleet/list-freshness.js';
import { StoreClock } from '../../src/fleet/store-clock.js';
import { type Log, silentLog } from '../../src/observability/log.js';

/** The store's clock runs this much ahead of the one of this process, in milliseconds. */
const AHEAD = 50_000;

function synchronizedClock(): StoreClock {
  const clock = new StoreClock();
  clock.addSample(AHEAD, 0, 0);
  return clock;
}

describe('the age of the list', () => {
  it('is infinite before the first read', () => {
    expect(new ListFreshness(new StoreClock()).age(10)).toBe(Number.POSITIVE_INFINITY);
    expect(new ListFreshness(synchronizedClock()).age(10)).toBe(Number.POSITIVE_INFINITY);
  });

  it('counts from the time of the store at which the list was complete, whenever the message arrived', () => {
    const freshness = new ListFreshness(synchronizedClock());
    freshness.noteComplete(AHEAD + 100, 'reader');
    expect(freshness.age(4_000)).toBe(3_900);
  });

  it('does not go back with a message that was overtaken', () => {
    const freshness = new ListFreshness(synchronizedClock());
    freshness.noteComplete(AHEAD + 900, 'second');
    freshness.noteComplete(AHEAD + 100, 'first');
    expect(freshness.age(1_000)).toBe(100);
    expect(freshness.source).toBe('second');
  });

  it('keeps the longest one at which a request was sent', () => {
    const freshness = new ListFreshness(synchronizedClock());
    freshness.noteSend(500);
    expect(freshness.longestAgeAtSend).toBe(0);
    freshness.noteComplete(AHEAD, 'reader');
    expect(freshness.noteSend(700)).toBe(700);
    freshness.noteComplete(AHEAD + 800, 'reader');
    expect(freshness.noteSend(900)).toBe(100);
    expect(freshness.longestAgeAtSend).toBe(700);
  });
});

it('the log names when and from whom a process learns that a back end leaves, once', () => {
  const freshness = new ListFreshness(synchronizedClock());
  freshness.noteComplete(AHEAD + performance.now(), 'reader');
  const lines: Array<[string, object | undefined]> = [];
  const log: Log = { ...silentLog, info: (message, fields) => lines.push([message, fields]) };
  const departures = new DepartureLog(freshness, log);
  const record = { id: 'one', service: 's', address: 'a', zone: 'z', slots: 1, layers: undefined };
  departures.onBackEnds([{ type: 'changed', record: { ...record, leaving: false, revision: 1 } }]);
  departures.onBackEnds([{ type: 'changed', record: { ...record, leaving: true, revision: 2 } }]);
  departures.onBackEnds([{ type: 'gone', id: 'one', revision: 3 }]);
  expect(lines).toEqual([
    ['back end is leaving', expect.objectContaining({ backEnd: 'one', revision: 2, source: 'reader' })],
  ]);
});
