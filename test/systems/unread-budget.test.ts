/** What an entry holds for callers that read slowly is bounded, and ends when they no longer wait. */
import { expect, it } from 'vitest';
import { MAX_HELD, MAX_HELD_OF_ANSWER, UnreadBudget } from '../../src/systems/unread-budget.js';

const CALLER = { deadline: 6_000, patience: 3_200 };

it('holds an answer up to a bound', () => {
  const budget = new UnreadBudget<string>();
  expect(budget.note('a', MAX_HELD_OF_ANSWER, 0, CALLER, 0)).toBe(true);
  expect(budget.note('a', MAX_HELD_OF_ANSWER + 1, 0, CALLER, 1)).toBe(false);
});

it('holds all answers together up to a bound, whoever reads slowly', () => {
  const budget = new UnreadBudget<number>();
  const answers = MAX_HELD / MAX_HELD_OF_ANSWER;
  for (let answer = 0; answer < answers; answer++)
    expect(budget.note(answer, MAX_HELD_OF_ANSWER, 0, CALLER, 0)).toBe(true);
  expect(budget.note(answers, 1, 0, CALLER, 0)).toBe(false);
  budget.forget(0);
  expect(budget.note(answers, 1, 0, CALLER, 0)).toBe(true);
  expect(budget.held).toBe(MAX_HELD - MAX_HELD_OF_ANSWER + 1);
});

it('does not end an answer before the deadline of its caller', () => {
  const budget = new UnreadBudget<string>();
  budget.note('a', 1_000, 0, CALLER, 0);
  expect(budget.hasExpired('a', 1_000, 0, 5_999)).toBe(false);
  expect(budget.hasExpired('a', 1_000, 0, 6_000)).toBe(true);
});

it('does not end an answer whose caller goes on reading after its deadline', () => {
  const budget = new UnreadBudget<string>();
  budget.note('a', 1_000, 0, CALLER, 0);
  expect(budget.hasExpired('a', 900, 100, 5_000)).toBe(false);
  expect(budget.hasExpired('a', 900, 100, 8_199)).toBe(false);
  expect(budget.hasExpired('a', 900, 100, 8_200)).toBe(true);
});

it('counts what was added as unread, not as progress of the caller', () => {
  const budget = new UnreadBudget<string>();
  budget.note('a', 1_000, 0, CALLER, 0);
  budget.note('a', 2_000, 0, CALLER, 5_000);
  expect(budget.unreadFor('a', 6_000)).toBe(6_000);
  expect(budget.held).toBe(2_000);
});
