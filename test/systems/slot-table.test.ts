/** Tests the slots of one engine: which request is granted the next one, and how slots of lost entries are reclaimed. */
import { describe, expect, it } from 'vitest';
import type { SlotAsk } from '../../src/systems/slot-queue.js';
import { type SlotDecision, SlotTable } from '../../src/systems/slot-table.js';

const SLOTS = 2;
/** Longer than the lag of the load that the agent reads from its engine, in milliseconds. */
const SETTLED = 1_000;

function ask(id: string, changes: Partial<SlotAsk> = {}): SlotAsk {
  return { id, urgency: 0, waitsSince: 0, endsAt: 10_000, slots: SLOTS, ...changes };
}

function servingTable(load = 0): SlotTable {
  const table = new SlotTable();
  table.observe({ isServing: true, load }, 0);
  return table;
}

function granted(decisions: readonly SlotDecision[]): string[] {
  return decisions.filter(({ type }) => type === 'granted').map(({ id }) => id);
}

describe('the slots of a restarted engine', () => {
  it('are free, although slots granted before the restart are not all released', () => {
    const table = new SlotTable();
    table.observe({ start: 100, isServing: true, load: 0 }, 0);
    for (const id of ['a', 'b', 'c']) table.ask(ask(id), 0);
    expect(granted(table.observe({ start: 200, isServing: true, load: 0 }, 10))).toEqual(['c']);
    expect(table.figures.granted).toBe(1);
    // A late release of a slot granted before the restart does not count.
    expect(table.release('a', 20)).toEqual([]);
    expect(table.ask(ask('d'), 20).at(-1)?.type).toBe('granted');
    expect(table.ask(ask('e'), 20).at(-1)?.type).toBe('queued');
    // An engine that does not answer for some time, or does not report its start, has not necessarily restarted.
    table.invalidate();
    table.observe({ isServing: true, load: 2 }, 30);
    table.observe({ start: 200, isServing: true, load: 2 }, 40);
    expect(table.figures.granted).toBe(2);
  });
});

describe('the slots of an engine', () => {
  it('are never exceeded; a request that ends frees a slot for the next one', () => {
    const table = servingTable();
    expect(['a', 'b', 'c'].map((id) => table.ask(ask(id), 0).at(-1)?.type)).toEqual([
      'granted',
      'granted',
      'queued',
    ]);
    expect(table.release('a', 10)).toEqual([{ type: 'granted', id: 'c' }]);
    expect(table.release('b', 20)).toEqual([]);
  });

  it('are granted to the more urgent request first, then to the one that has waited longest', () => {
    const table = servingTable();
    for (const id of ['a', 'b']) table.ask(ask(id), 0);
    table.ask(ask('late', { urgency: 8, waitsSince: -500 }), 0);
    table.ask(ask('young', { waitsSince: -10 }), 0);
    table.ask(ask('old', { waitsSince: -90 }), 0);
    const order = ['a', 'b', 'old'].flatMap((id) => granted(table.release(id, 10)));
    expect(order).toEqual(['old', 'young', 'late']);
  });

  it('are not granted to expired requests', () => {
    const table = servingTable();
    for (const id of ['a', 'b']) table.ask(ask(id), 0);
    table.ask(ask('gone', { endsAt: 50 }), 0);
    expect(table.release('a', 60)).toEqual([]);
    expect(table.figures.waiting).toBe(0);
  });

  it('are granted again to a request whose grant was lost', () => {
    const table = servingTable();
    table.ask(ask('a'), 0);
    expect(table.ask(ask('a'), 5)).toEqual([{ type: 'granted', id: 'a' }]);
    expect(table.figures.granted).toBe(1);
  });

  it('are reduced by requests that run without a slot', () => {
    const table = servingTable(1);
    expect(granted(table.ask(ask('a'), 0))).toEqual(['a']);
    expect(granted(table.ask(ask('b'), 0))).toEqual([]);
    expect(granted(table.observe({ isServing: true, load: 1 }, SETTLED))).toEqual(['b']);
  });

  it('do not count a request that has just ended twice', () => {
    const table = servingTable();
    for (const id of ['a', 'b', 'c']) table.ask(ask(id), 0);
    table.observe({ isServing: true, load: 2 }, SETTLED);
    table.release('a', SETTLED);
    // The engine still reports the request that has ended.
    table.observe({ isServing: true, load: 3 }, SETTLED + 10);
    expect(granted(table.release('b', SETTLED + 20))).toEqual([]);
    expect(granted(table.ask(ask('d'), SETTLED + 20))).toEqual(['d']);
  });

  it('are reclaimed if an entry has vanished and the engine does not run its requests', () => {
    const table = servingTable();
    for (const id of ['a', 'b', 'c']) table.ask(ask(id), 0);
    table.observe({ isServing: true, load: 1 }, SETTLED);
    expect(table.figures.granted).toBe(2);
    expect(granted(table.observe({ isServing: true, load: 1 }, SETTLED + 300))).toEqual(['c']);
  });

  it('are kept by a request that is not visible in the reported load yet', () => {
    const table = servingTable();
    table.ask(ask('a'), 0);
    for (const at of [100, 200, 300]) table.observe({ isServing: true, load: 0 }, at);
    expect(table.figures.granted).toBe(1);
  });

  it('are not granted before the engine has been observed, although it may be serving', () => {
    expect(new SlotTable().ask(ask('a'), 0)).toEqual([{ type: 'unready', id: 'a' }]);
  });

  it('are granted again once an engine answers its agent again', () => {
    const table = servingTable();
    for (const id of ['a', 'b', 'c']) table.ask(ask(id), 0);
    expect(table.invalidate()).toEqual([{ type: 'refused', id: 'c' }]);
    expect(table.ask(ask('d'), 10)).toEqual([{ type: 'unready', id: 'd' }]);
    table.observe({ isServing: true, load: 2 }, 20);
    expect(granted(table.release('a', 30))).toEqual([]);
    expect(granted(table.ask(ask('e'), 40))).toEqual(['e']);
  });

  it('are refused to all requests while the engine accepts no new ones', () => {
    const table = servingTable();
    for (const id of ['a', 'b', 'c']) table.ask(ask(id), 0);
    expect(table.observe({ isServing: false, load: 2 }, 10)).toEqual([{ type: 'refused', id: 'c' }]);
    expect(table.ask(ask('d'), 20)).toEqual([{ type: 'refused', id: 'd' }]);
    expect(granted(table.observe({ isServing: true, load: 0 }, SETTLED))).toEqual([]);
    expect(granted(table.ask(ask('e'), SETTLED))).toEqual([]);
    expect(granted(table.observe({ isServing: true, load: 0 }, SETTLED + 10))).toEqual(['e']);
  });
});

describe('the slots of an engine with a rate limit', () => {
  const MANY_SLOTS = 16;
  /** The table of an engine that named a limit of 2 requests per second at 1,000 ms. */
  function limitedTable(): SlotTable {
    const table = servingTable();
    table.ask(ask('first', { slots: MANY_SLOTS }), 900);
    table.noteAnswer('first', 2, 1_000);
    return table;
  }
  const askAt = (table: SlotTable, id: string, now: number, changes: Partial<SlotAsk> = {}) =>
    table.ask(ask(id, { slots: MANY_SLOTS, ...changes }), now).at(-1)?.type;

  it('are granted no faster than the limit, however many are free', () => {
    const table = limitedTable();
    for (let index = 0; index < 8; index++) askAt(table, `r${index}`, 1_010);
    const times: number[] = [];
    for (let now = 1_010; now <= 4_000; now += 10)
      if (granted(table.grantFree(now)).length > 0) times.push(now);
    expect(times).toEqual([1_500, 2_000, 2_500, 3_000, 3_500, 4_000]);
  });

  it('are refused at once to a request whose permit is due only after its end time', () => {
    const table = limitedTable();
    expect(askAt(table, 'impatient', 1_010, { endsAt: 1_400 })).toBe('refused');
    expect(askAt(table, 'patient', 1_010, { endsAt: 1_600 })).toBe('queued');
    expect(askAt(table, 'behind', 1_010, { endsAt: 1_900 })).toBe('refused');
    expect(askAt(table, 'last', 1_010, { endsAt: 2_100 })).toBe('queued');
    expect(table.nextGrantAt).toBe(1_500);
  });

  it('return their permit if they are released unused', () => {
    const table = limitedTable();
    expect(askAt(table, 'a', 1_500)).toBe('granted');
    expect(askAt(table, 'b', 1_510)).toBe('queued');
    expect(granted(table.release('a', 1_520, false))).toEqual(['b']);
    expect(askAt(table, 'c', 1_530)).toBe('queued');
    expect(table.release('b', 1_540, true)).toEqual([]);
  });

  it('return no permit if they were granted before the limit was known', () => {
    const table = limitedTable();
    expect(askAt(table, 'a', 1_010)).toBe('queued');
    expect(table.release('first', 1_020, false)).toEqual([]);
  });

  it('are no longer limited after an answer without a limit, if its slot was granted after the limit was last named', () => {
    const table = limitedTable();
    askAt(table, 'early', 1_500);
    table.noteAnswer('early', 2, 1_600);
    table.noteAnswer('early', undefined, 1_610);
    table.noteAnswer('first', undefined, 1_610);
    expect(table.rateLimit).toBe(2);
    askAt(table, 'late', 2_000);
    table.noteAnswer('late', undefined, 2_100);
    expect(table.rateLimit).toBeUndefined();
    expect(askAt(table, 'next', 2_110)).toBe('granted');
  });

  it('use the limit that entries know only until the engine has answered', () => {
    const table = servingTable();
    expect(askAt(table, 'a', 0, { rateLimit: 2 })).toBe('queued');
    expect(granted(table.grantFree(500))).toEqual(['a']);
    table.noteAnswer('a', undefined, 600);
    expect(askAt(table, 'b', 610, { rateLimit: 2 })).toBe('granted');
  });

  it('are no longer limited after a restart of the engine', () => {
    const table = limitedTable();
    table.observe({ start: 100, isServing: true, load: 0 }, 1_010);
    expect(table.rateLimit).toBe(2);
    table.observe({ start: 200, isServing: true, load: 0 }, 1_020);
    expect(table.rateLimit).toBeUndefined();
  });

  it('are limited by the rate that the engine names to its agent', () => {
    const table = servingTable();
    table.observe({ isServing: true, load: 0, rateLimit: 2 }, 1_000);
    expect(askAt(table, 'a', 1_010)).toBe('queued');
  });
});

describe('the slots of a cold engine', () => {
  const MANY_SLOTS = 16;
  const UNTIL = 2_200;
  const COLD = { rate: 2, until: UNTIL };
  const askAt = (table: SlotTable, id: string, now: number, changes: Partial<SlotAsk> = {}) =>
    table.ask(ask(id, { slots: MANY_SLOTS, ...changes }), now).at(-1)?.type;
  const coldTable = (changes: object = {}) => {
    const table = new SlotTable();
    table.observe({ isServing: true, load: 0, cold: COLD, ...changes }, 0);
    return table;
  };
  /** When the table grants each of many requests that wait from the beginning. */
  function grantTimes(table: SlotTable): number[] {
    for (let index = 0; index < 8; index++) askAt(table, `r${index}`, 10);
    const times: number[] = [];
    for (let now = 10; now <= 3_000; now += 10) times.push(...granted(table.grantFree(now)).map(() => now));
    return times;
  }

  it('are granted at its rate until it is warm, and then at once', () => {
    expect(grantTimes(coldTable())).toEqual([500, 1_000, 1_500, 2_000, 2_200, 2_200, 2_200, 2_200]);
  });

  it('are granted at the lower one of its rate and the limit that it names', () => {
    expect(grantTimes(coldTable({ rateLimit: 1 }))).toEqual([1_000, 2_000, 3_000]);
    // Once it is warm, the next permit is due one interval of the named limit later.
    expect(grantTimes(coldTable({ rateLimit: 4 })).slice(0, 5)).toEqual([500, 1_000, 1_500, 2_000, 2_450]);
  });

  it('stay limited although its answers name no limit', () => {
    const table = coldTable();
    expect(askAt(table, 'a', 500)).toBe('granted');
    table.noteAnswer('a', undefined, 600);
    expect(askAt(table, 'b', 610)).toBe('queued');
  });

  it('are limited as soon as one entry knows of it, whatever the others know', () => {
    const table = servingTable();
    expect(askAt(table, 'unaware', 0)).toBe('granted');
    table.noteAnswer('unaware', undefined, 10);
    expect(askAt(table, 'aware', 20, { cold: COLD })).toBe('queued');
    expect(askAt(table, 'also unaware', 30)).toBe('queued');
    expect(granted(table.grantFree(520))).toEqual(['aware']);
  });

  it('are granted to a request that is in time once the engine is warm', () => {
    const table = coldTable({ cold: { rate: 0.2, until: UNTIL } });
    expect(askAt(table, 'late', 10, { endsAt: UNTIL - 1 })).toBe('refused');
    expect(askAt(table, 'in time', 10, { endsAt: UNTIL + 1 })).toBe('queued');
    expect(table.nextGrantAt).toBe(UNTIL);
  });

  it('are not limited by the state of its former start', () => {
    const table = coldTable({ start: 100 });
    table.observe({ start: 200, isServing: true, load: 0 }, 10);
    expect(table.rateLimit).toBeUndefined();
  });
});
