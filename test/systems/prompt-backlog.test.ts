/** Tests when an engine's agent grants further slots, given the prompts that the engine has not read yet. */
import { describe, expect, it } from 'vitest';
import { type KnownPace, PromptBacklog } from '../../src/systems/prompt-backlog.js';
import type { SlotAsk } from '../../src/systems/slot-queue.js';
import { SlotTable } from '../../src/systems/slot-table.js';

/** 100 tokens in a millisecond, and 64 ms from the end of reading to the first event. */
const DECLARED = { readTokensPerSecond: 100_000, tokenTime: 8 };
/** Tokens of a prompt that is read in 100 ms. */
const TOKENS = 10_000;
/** Time for which an engine is given prompts ahead, in milliseconds. */
const READ_AHEAD = 50;

function backlog(known: KnownPace = { declaredPace: DECLARED }): PromptBacklog {
  const created = new PromptBacklog();
  created.observe(known);
  return created;
}

function prompt(id: string, promptTokens = TOKENS) {
  return { id, promptTokens };
}

describe('the prompts that an engine has not read yet', () => {
  it('let the next request have a slot shortly before they are read', () => {
    const prompts = backlog();
    expect(prompts.grantableAt(prompt('a'), 0)).toBeLessThanOrEqual(0);
    prompts.noteGranted(prompt('a'), 0);
    expect(prompts.grantableAt(prompt('b'), 0)).toBe(100 - READ_AHEAD);
    expect(prompts.grantableAt(prompt('b'), 30)).toBe(100 - READ_AHEAD);
    prompts.noteGranted(prompt('b'), 50);
    expect(prompts.grantableAt(prompt('c'), 50)).toBe(200 - READ_AHEAD);
  });

  it('count by their tokens: many short ones are granted at once, few long ones', () => {
    const grantedOf = (tokens: number) => {
      const prompts = backlog();
      let granted = 0;
      while (granted < 12 && prompts.grantableAt(prompt(`${granted}`, tokens), 0) <= 0)
        prompts.noteGranted(prompt(`${granted++}`, tokens), 0);
      return granted;
    };
    expect(grantedOf(400)).toBe(12);
    expect(grantedOf(2_000)).toBe(3);
    expect(grantedOf(TOKENS)).toBe(1);
  });

  it('count as nothing once an answer has begun, with all that were granted before', () => {
    const prompts = backlog();
    for (const id of ['a', 'b', 'c']) prompts.noteGranted(prompt(id), 0);
    prompts.noteRead('b');
    expect(prompts.grantableAt(prompt('d'), 200)).toBe(300 - READ_AHEAD);
    prompts.noteRead('c');
    expect(prompts.grantableAt(prompt('d'), 200)).toBeLessThanOrEqual(200);
  });

  it('do not count if their slots were not used', () => {
    const prompts = backlog();
    for (const id of ['a', 'b', 'c']) prompts.noteGranted(prompt(id), 0);
    prompts.noteReleased('b');
    expect(prompts.grantableAt(prompt('d'), 0)).toBe(200 - READ_AHEAD);
    prompts.clear();
    expect(prompts.grantableAt(prompt('d'), 0)).toBeLessThanOrEqual(0);
  });

  it('take longer at an engine that reports to be slow, or whose answer is overdue', () => {
    const reported = backlog({ declaredPace: DECLARED, pace: 2.5 });
    reported.noteGranted(prompt('a'), 0);
    expect(reported.grantableAt(prompt('b'), 0)).toBe(250 - READ_AHEAD);
    const overdue = backlog();
    for (const id of ['a', 'b', 'c']) overdue.noteGranted(prompt(id), 0);
    // The first event of `a` was due at 164 ms.
    expect(overdue.pace(150)).toBe(1);
    expect(overdue.pace(410)).toBeCloseTo(2.5);
    expect(overdue.grantableAt(prompt('d'), 410)).toBeGreaterThan(410 + 250);
    overdue.noteRead('c');
    expect(overdue.pace(410)).toBe(1);
  });

  it('are forgotten if the report that they are read is lost, and never stop an engine', () => {
    const prompts = backlog();
    prompts.noteGranted(prompt('a'), 0);
    expect(prompts.pace(1_900)).toBe(4);
    expect(prompts.grantableAt(prompt('b'), 1_900)).toBeLessThanOrEqual(1_900);
    expect(prompts.grantableAt(prompt('b'), 2_100)).toBeLessThanOrEqual(2_100);
    expect(prompts.pace(2_100)).toBe(1);
  });

  it('limit nothing where their tokens or the reading rate are not known', () => {
    for (const known of [{}, { declaredPace: { readTokensPerSecond: 0, tokenTime: 0 } }]) {
      const prompts = backlog(known);
      prompts.noteGranted(prompt('a'), 0);
      expect(prompts.isLimiting).toBe(false);
      expect(prompts.grantableAt(prompt('b'), 0)).toBeLessThanOrEqual(0);
    }
    const prompts = backlog();
    prompts.noteGranted(prompt('a'), 0);
    expect(prompts.isLimiting).toBe(true);
    expect(prompts.grantableAt({ id: 'b' }, 0)).toBeLessThanOrEqual(0);
  });
});

describe('the slots of an engine whose reading rate is known', () => {
  const ask = (id: string, changes: Partial<SlotAsk> = {}): SlotAsk => ({
    ...prompt(id),
    urgency: 1,
    waitsSince: 0,
    endsAt: 10_000,
    slots: 12,
    ...changes,
  });

  function table(): SlotTable {
    const slots = new SlotTable();
    slots.observe({ isServing: true, load: 0, declaredPace: DECLARED }, 0);
    return slots;
  }

  it('are granted one after the other as prompts are read, to the more urgent request first', () => {
    const slots = table();
    expect(slots.ask(ask('a'), 0)).toEqual([{ type: 'granted', id: 'a' }]);
    expect(slots.ask(ask('b'), 0)).toEqual([{ type: 'queued', id: 'b' }]);
    expect(slots.nextGrantAt).toBe(100 - READ_AHEAD);
    expect(slots.ask(ask('urgent', { urgency: 0 }), 10)).toEqual([{ type: 'queued', id: 'urgent' }]);
    expect(slots.grantFree(40)).toEqual([]);
    expect(slots.grantFree(50)).toEqual([{ type: 'granted', id: 'urgent' }]);
    expect(slots.notePromptRead('urgent', 120)).toEqual([{ type: 'granted', id: 'b' }]);
    expect(slots.nextGrantAt).toBeUndefined();
  });

  it('are free for the next request at once if one was granted a slot elsewhere', () => {
    const slots = table();
    slots.ask(ask('a'), 0);
    slots.ask(ask('b'), 0);
    expect(slots.release('a', 5, false)).toEqual([{ type: 'granted', id: 'b' }]);
  });

  it('are all granted at once while the rate is not known', () => {
    const slots = new SlotTable();
    slots.observe({ isServing: true, load: 0 }, 0);
    const decisions = ['a', 'b', 'c'].flatMap((id) => slots.ask(ask(id), 0));
    expect(decisions.map(({ type }) => type)).toEqual(['granted', 'granted', 'granted']);
  });
});
