/** Tests the slots of entries that are silent, restart, or whose messages are lost. */
import { describe, expect, it } from 'vitest';
import { claimId, type SlotStatement } from '../../src/systems/slot-claims.js';
import { claimOf, SlotHolders, tableId } from '../../src/systems/slot-holders.js';
import { type SlotDecision, SlotTable } from '../../src/systems/slot-table.js';

const SLOTS = 2;
const PROCESS = 7;
const FORMER = 9;
const running = (now: number) => (since: number) => now - since;

class Agent {
  readonly table = new SlotTable();
  readonly holders = new SlotHolders(this.table);
  readonly slots: number;

  constructor(slots = SLOTS, load = 0) {
    this.slots = slots;
    this.table.observe({ isServing: true, load }, 0);
  }

  ask(entry: string, number: number, now: number, process = PROCESS): SlotDecision[] {
    const id = claimId(process, number);
    const freed = this.holders.noteRequest(entry, id, now);
    const ask = { id: tableId(entry, id), urgency: 0, waitsSince: now, endsAt: 60_000, slots: this.slots };
    return [...freed, ...this.table.ask(ask, now)];
  }

  state(entry: string, now: number, statement: Partial<SlotStatement>): SlotDecision[] {
    const whole = { process: PROCESS, next: 100, held: [], waiting: [], ...statement };
    return this.holders.takeStatement(entry, whole, now);
  }

  check(now: number): SlotDecision[] {
    return this.holders.check(now, running(now));
  }
}

function id(entry: string, number: number, process = PROCESS): string {
  return tableId(entry, claimId(process, number));
}

describe('the slots of entries', () => {
  it('are released by the next statement if a release was lost', () => {
    const agent = new Agent();
    agent.ask('a:1', 1, 0);
    agent.ask('a:1', 2, 0);
    agent.ask('b:1', 1, 0);
    expect(agent.state('a:1', 100, { held: [2] })).toEqual([{ type: 'granted', id: id('b:1', 1) }]);
  });

  it('are kept if they were requested after the statement was made', () => {
    const agent = new Agent();
    agent.ask('a:1', 1, 0);
    agent.ask('a:1', 2, 1);
    agent.state('a:1', 2, { next: 2, held: [1] });
    expect(agent.table.figures.granted).toBe(2);
  });

  it('are granted again if the grant was lost', () => {
    const agent = new Agent();
    agent.ask('a:1', 1, 0);
    expect(agent.state('a:1', 100, { waiting: [1] })).toEqual([{ type: 'granted', id: id('a:1', 1) }]);
  });

  it('are refused to claims that are not queued, and not to those that are', () => {
    const agent = new Agent();
    for (const number of [1, 2, 3]) agent.ask('a:1', number, 0);
    const told = agent.state('a:1', 100, { held: [1, 2], waiting: [3, 4] });
    expect(told).toEqual([{ type: 'refused', id: id('a:1', 4) }]);
  });

  it('are released when another process sends a message from the same address', () => {
    const agent = new Agent();
    for (const number of [1, 2, 3]) agent.ask('a:1', number, 0, FORMER);
    agent.ask('b:1', 1, 10);
    const told = agent.ask('a:1', 1, 20);
    expect(told.map(({ type, id }) => [type, id])).toEqual(
      expect.arrayContaining([
        ['granted', id('b:1', 1)],
        ['granted', id('a:1', 1)],
      ]),
    );
    expect(agent.table.figures).toMatchObject({ granted: 2, waiting: 0 });
  });

  it('are granted to others if the entry is silent', () => {
    const agent = new Agent();
    agent.ask('a:1', 1, 0);
    agent.ask('a:1', 2, 0);
    agent.ask('b:1', 1, 250);
    expect(agent.check(250)).toEqual([]);
    expect(agent.check(310)).toEqual([{ type: 'granted', id: id('b:1', 1) }]);
  });

  it('are kept by an entry whose messages are unread because the agent itself was paused', () => {
    const agent = new Agent();
    agent.ask('a:1', 1, 0);
    expect(agent.holders.check(900, () => 40)).toEqual([]);
    expect(agent.table.figures.granted).toBe(1);
  });

  it('are returned to the entry once it is heard again, even beyond the number of slots; no others are granted then', () => {
    const agent = new Agent();
    agent.ask('a:1', 1, 0);
    agent.ask('a:1', 2, 0);
    agent.ask('b:1', 1, 250);
    agent.check(310);
    agent.state('a:1', 320, { held: [1, 2] });
    agent.ask('b:1', 2, 330);
    expect(agent.table.figures).toMatchObject({ granted: 3, waiting: 1 });
    expect(agent.table.release(id('a:1', 1), 340)).toEqual([]);
    expect(agent.table.release(id('a:1', 2), 350)).toEqual([{ type: 'granted', id: id('b:1', 2) }]);
  });

  it('are learnt from statements by an agent that has just started', () => {
    const agent = new Agent(SLOTS, 2);
    agent.state('a:1', 50, { held: [1, 2] });
    expect(agent.table.figures.granted).toBe(2);
    agent.ask('b:1', 1, 60);
    expect(agent.table.figures).toMatchObject({ granted: 2, waiting: 1 });
  });

  it('waste less than 100 ms of the engine if one of seven entries is killed', () => {
    const slots = 16;
    const entries = Array.from({ length: 7 }, (_, number) => `entry-${number}:1`);
    const [killed, ...others] = entries;
    const agent = new Agent(slots);
    for (let place = 0; place < slots; place++)
      agent.ask(entries[place % entries.length], Math.floor(place / entries.length), 0);
    for (const entry of others) agent.ask(entry, slots, 0);
    const heldBy = (entry: string) => agent.table.ids().filter((one) => claimOf(one).entry === entry);
    expect(heldBy(killed)).toHaveLength(3);
    let idle = 0;
    for (let now = 1; now <= 1_000; now++) {
      idle += heldBy(killed).length;
      if (now % 100 !== 0) continue;
      for (const entry of others) {
        const held = heldBy(entry).map((one) => claimOf(one).id - claimId(PROCESS, 0));
        agent.state(entry, now, { held });
      }
      agent.check(now);
    }
    expect(heldBy(killed)).toEqual([]);
    expect(idle / slots).toBeLessThan(100);
  });
});
