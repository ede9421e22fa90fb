/**
 * Tests the queue for the slots of one engine under lasting overload: who is granted the next slot, and who is refused at once
 * as no slot is expected in its time.
 */
import { describe, expect, it } from 'vitest';
import type { SlotAsk } from '../../src/systems/slot-queue.js';
import { type SlotDecision, SlotTable } from '../../src/systems/slot-table.js';

const SLOTS = 4;
/** A slot becomes free this often, in milliseconds. */
const GRANT_INTERVAL = 100;
/** Longer than the time for which an agent observes its queue before it predicts waits, in milliseconds. */
const OBSERVED = 4_000;

function ask(id: string, now: number, changes: Partial<SlotAsk> = {}): SlotAsk {
  return { id, urgency: 0, waitsSince: now, endsAt: now + 10_000, slots: SLOTS, ...changes };
}

function typeOf(decisions: readonly SlotDecision[], id: string): SlotDecision['type'] | undefined {
  return decisions.filter((decision) => decision.id === id).at(-1)?.type;
}

/** An engine whose slots are all taken; every `GRANT_INTERVAL` one becomes free and goes to the first of a full queue. */
class BusyEngine {
  readonly table = new SlotTable();
  now = 0;
  #held: string[] = [];
  #next = 0;

  constructor(urgency = 0, queued = 4) {
    this.table.observe({ isServing: true, load: 0 }, 0);
    for (let number = 0; number < SLOTS + queued; number++) this.#askNext(urgency);
    while (this.now < OBSERVED) {
      this.now += GRANT_INTERVAL;
      this.#note(this.table.release(this.#held.shift()!, this.now));
      this.#askNext(urgency);
    }
  }

  /** Asks for a slot, which must not be granted at once. */
  ask(id: string, changes: Partial<SlotAsk>): SlotDecision {
    return this.table.ask(ask(id, this.now, changes), this.now).at(-1)!;
  }

  #askNext(urgency: number): void {
    this.#note(this.table.ask(ask(`steady ${this.#next++}`, this.now, { urgency }), this.now));
  }

  #note(decisions: readonly SlotDecision[]): void {
    for (const { type, id } of decisions) if (type === 'granted') this.#held.push(id);
  }
}

describe('requests that wait for a slot', () => {
  it('get it before late ones, whatever their urgency; late ones by urgency, then by arrival', () => {
    const table = new SlotTable();
    table.observe({ isServing: true, load: 0 }, 0);
    for (const id of ['a', 'b', 'c', 'd']) table.ask(ask(id, 0), 0);
    table.ask(ask('late', 0, { inTimeUntil: 50 }), 0);
    table.ask(ask('late, less urgent', 0, { urgency: 1, inTimeUntil: 50 }), 0);
    table.ask(ask('late, younger', 10, { inTimeUntil: 60 }), 10);
    table.ask(ask('in time, less urgent', 20, { urgency: 2, inTimeUntil: 500 }), 20);
    const order = ['a', 'b', 'c', 'd'].flatMap((id) => table.release(id, 100).map((decision) => decision.id));
    expect(order).toEqual(['in time, less urgent', 'late', 'late, younger', 'late, less urgent']);
  });
});

describe('a request that arrives at a queue which moves by ten slots a second', () => {
  it('is refused at once if it cannot wait as long as those ahead of it, and told when a slot is expected', () => {
    const engine = new BusyEngine();
    const decision = engine.ask('short', { endsAt: engine.now + 200 });
    expect(decision).toMatchObject({ type: 'refused', id: 'short' });
    const { availableIn } = decision as { availableIn: number };
    expect(availableIn).toBeGreaterThan(300);
    expect(availableIn).toBeLessThan(600);
    expect(engine.table.figures.waiting).toBe(4);
  });

  it('waits if a slot is expected in its time', () => {
    const engine = new BusyEngine();
    expect(engine.ask('patient', { endsAt: engine.now + 1_000 }).type).toBe('queued');
  });

  it('waits if it is more urgent than those ahead of it', () => {
    const engine = new BusyEngine(1);
    expect(engine.ask('urgent', { endsAt: engine.now + 150 }).type).toBe('queued');
  });

  it('waits if nobody of its urgency does, so that it is seen when the queue moves again', () => {
    const engine = new BusyEngine();
    expect(engine.ask('first', { urgency: 1, endsAt: engine.now + 150 }).type).toBe('queued');
    expect(engine.ask('second', { urgency: 1, endsAt: engine.now + 150 }).type).toBe('refused');
  });

  it('waits where others ahead of it leave in time, as other agents grant them slots', () => {
    const engine = new BusyEngine();
    for (let number = 0; number < 60; number++) {
      const id = `elsewhere ${number}`;
      engine.ask(id, { endsAt: engine.now + 1_000 });
      engine.table.release(id, engine.now, false);
    }
    expect(engine.ask('short', { endsAt: engine.now + 200 }).type).toBe('queued');
  });

  it('is refused although others leave ahead of it, if they have given up', () => {
    const engine = new BusyEngine();
    for (let number = 0; number < 60; number++) {
      const id = `given up ${number}`;
      engine.ask(id, { endsAt: engine.now + 1_000 });
      engine.table.release(id, engine.now + 990, false);
    }
    expect(engine.ask('short', { endsAt: engine.now + 200 }).type).toBe('refused');
  });
});

describe('an agent that has not observed its queue for long', () => {
  it('predicts nothing', () => {
    const table = new SlotTable();
    table.observe({ isServing: true, load: 0 }, 0);
    for (let number = 0; number < 12; number++) table.ask(ask(String(number), 0), 0);
    expect(typeOf(table.ask(ask('short', 100, { endsAt: 110 }), 100), 'short')).toBe('queued');
  });
});
