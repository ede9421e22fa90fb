/** How long requests wait for slots, from what was observed: bursts, engines that slow down, lasting overload. */
import { describe, expect, it } from 'vitest';
import { type WaitingRequest, WaitPolicy } from '../../src/systems/wait-policy.js';

const OBJECTIVE = 400;
const PACE = { readTokensPerSecond: 30_000, tokenTime: 8 };
const LATEST = 1_700;

const request = (changes: Partial<WaitingRequest> = {}): WaitingRequest => ({
  arrivedAt: 0,
  objective: OBJECTIVE,
  promptTokens: 1_000,
  rank: 0,
  pace: PACE,
  ...changes,
});

/** Engines whose first events take 60 ms and 0.08 ms a token, times `slowness`. */
function observe(policy: WaitPolicy, slowness = 1, count = 60): void {
  for (let index = 0; index < count; index++) {
    const tokens = 600 + ((index * 1_700) % 3_300);
    policy.noteFirstEvent(tokens, slowness * (60 + 0.08 * tokens));
  }
}

/** Lets `count` requests wait one after the other; those that are sent get their slots after `wait` milliseconds. */
function play(policy: WaitPolicy, count: number, outcome: 'sent' | 'unserved', wait: number, rank = 0): void {
  for (let index = 0; index < count; index++) policy.begin(request({ rank }), LATEST, 0).end(outcome, wait);
}

describe('a slot lets a request meet its objective', () => {
  it('until the time that the configuration declares, before anything was observed', () => {
    expect(new WaitPolicy().inTimeUntil(request())).toBeCloseTo(OBJECTIVE - 2 * (1_000 / 30 + 64));
  });

  it('until half of the objective if nothing is declared', () => {
    const pace = { readTokensPerSecond: 0, tokenTime: 0 };
    expect(new WaitPolicy().inTimeUntil(request({ pace }))).toBe(OBJECTIVE / 2);
    expect(new WaitPolicy().inTimeUntil(request({ pace: undefined }))).toBe(OBJECTIVE / 2);
  });

  it.each([600, 1_300, 3_900])('until the observed time for its prompt of %i tokens', (promptTokens) => {
    const policy = new WaitPolicy();
    observe(policy);
    const expected = OBJECTIVE - (60 + 0.08 * promptTokens);
    const until = policy.inTimeUntil(request({ promptTokens }));
    expect(until).toBeLessThan(expected + 20);
    expect(until).toBeGreaterThan(expected - 60);
  });

  it('for a shorter time once engines are 2.5 times slower, and for the former time when that is over', () => {
    const policy = new WaitPolicy();
    observe(policy);
    const before = policy.inTimeUntil(request());
    observe(policy, 2.5, 40);
    expect(policy.inTimeUntil(request())).toBeLessThan(before - 140);
    observe(policy, 1, 80);
    expect(Math.abs(policy.inTimeUntil(request()) - before)).toBeLessThan(30);
  });

  it('whatever time its caller has left', () => {
    const policy = new WaitPolicy();
    observe(policy);
    expect(policy.begin(request(), 500, 0).inTimeUntil).toBe(policy.begin(request(), 1_700, 0).inTimeUntil);
  });
});

describe('a request that can no longer meet its objective', () => {
  it('is not waited for while nothing is known, nor under an overload that lasts', () => {
    const policy = new WaitPolicy();
    const first = policy.begin(request(), LATEST, 0);
    expect(first.endsAt).toBe(first.inTimeUntil);
    play(policy, 40, 'unserved', 250);
    expect(policy.begin(request(), LATEST, 0).endsAt).toBe(policy.inTimeUntil(request()));
  });

  it('keeps waiting as long as its caller does if nearly all requests get slots in time', () => {
    const policy = new WaitPolicy();
    play(policy, 40, 'sent', 50);
    expect(policy.begin(request(), LATEST, 0).endsAt).toBe(LATEST);
    play(policy, 5, 'unserved', 250);
    expect(policy.begin(request(), LATEST, 0).endsAt).toBeLessThan(OBJECTIVE);
  });

  it('keeps waiting while late requests of its rank get slots, and is refused once they do not', () => {
    const policy = new WaitPolicy();
    play(policy, 40, 'sent', 50);
    play(policy, 20, 'sent', 700, 1);
    expect(policy.begin(request({ rank: 1 }), LATEST, 0).endsAt).toBe(LATEST);
    expect(policy.begin(request({ rank: 2 }), LATEST, 0).endsAt).toBeLessThan(OBJECTIVE);
    play(policy, 20, 'unserved', LATEST, 1);
    expect(policy.begin(request({ rank: 1 }), LATEST, 0).endsAt).toBeLessThan(OBJECTIVE);
  });

  it('is not waited for behind other late requests', () => {
    const policy = new WaitPolicy();
    play(policy, 40, 'sent', 50);
    const waits = [policy.begin(request(), LATEST, 0), policy.begin(request(), LATEST, 0)];
    const next = request({ arrivedAt: OBJECTIVE });
    expect(policy.begin(next, OBJECTIVE + LATEST, OBJECTIVE).endsAt).toBeLessThan(2 * OBJECTIVE);
    waits[0].end('sent', OBJECTIVE);
    expect(policy.begin(next, OBJECTIVE + LATEST, OBJECTIVE).endsAt).toBe(OBJECTIVE + LATEST);
  });

  it('still asks for a slot that is free at once', () => {
    expect(new WaitPolicy().begin(request(), LATEST, 600).endsAt).toBeGreaterThan(600);
  });
});

describe('the time that a caller must have left', () => {
  it('is assumed before anything was observed', () => {
    expect(new WaitPolicy().serviceTimes(request())).toEqual({ firstEvent: 700, answer: 1_200 });
  });

  it('follows answers of 10 to 45 events, also at engines that are 2.5 times slower', () => {
    const policy = new WaitPolicy();
    const serve = (slowness: number) => {
      observe(policy, slowness);
      for (let index = 0; index < 60; index++)
        policy.noteServed(slowness * (140 + 60 * (10 + ((index * 13) % 36))));
    };
    serve(1);
    const usual = policy.serviceTimes(request());
    expect(usual.firstEvent).toBeLessThan(400);
    expect(usual.answer).toBeGreaterThan(140 + 60 * 45);
    serve(2.5);
    expect(policy.serviceTimes(request()).firstEvent).toBeGreaterThan(1.7 * usual.firstEvent);
    expect(policy.serviceTimes(request()).answer).toBeGreaterThan(2 * usual.answer);
  });
});

it('counts waits by when and how they ended', () => {
  const policy = new WaitPolicy();
  play(policy, 3, 'sent', 50);
  play(policy, 2, 'unserved', 300);
  policy.begin(request(), LATEST, 0).end('left', 100);
  policy.begin(request(), LATEST, 0).end('cancelled', 100);
  expect(policy.figures).toMatchObject({ inTimeSent: 3, inTimeUnserved: 2, inTimeLeft: 1, lateSent: 0 });
  expect(policy.waiting(3)).toBe(0);
});
