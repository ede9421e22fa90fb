/** Tests when an engine may hold weights that are not proven, whatever is reported of it in whatever order. */
import { beforeEach, describe, expect, it } from 'vitest';
import { EngineSwitches, type SwitchReport } from '../../src/systems/engine-switches.js';

/** A report of the process `first` of an engine that serves version 1. */
const SERVING: SwitchReport = {
  agent: 'first',
  version: 1,
  isReached: true,
  isSwitching: false,
  isProven: true,
};
/** A report of a process that has just started and has not read the engine's state. */
const NEW: SwitchReport = { ...SERVING, agent: 'second', version: 0, isReached: false, isProven: false };

let switches: EngineSwitches;
const report = (stamp: number | undefined, changes: Partial<SwitchReport>, of = SERVING) =>
  switches.apply({ ...of, stamp, ...changes });
const state = () => ({ isUnfinished: switches.isUnfinished, version: switches.version });

beforeEach(() => {
  switches = new EngineSwitches();
  report(10, {});
});

describe('a switch that an agent has announced', () => {
  beforeEach(() => void report(20, { isSwitching: true, isProven: false }));

  it('ends when the agent reports its end', () => {
    report(30, { version: 2 });
    expect(state()).toEqual({ isUnfinished: false, version: 2 });
  });

  it('ends when the agent reports that the engine still holds the version from before', () => {
    report(30, { isProven: false });
    expect(state()).toEqual({ isUnfinished: false, version: 1 });
  });

  it('is not ended by a new process that has not proven the weights', () => {
    report(30, {}, NEW);
    report(40, { version: 2, isReached: true }, NEW);
    expect(state()).toEqual({ isUnfinished: true, version: 1 });
  });

  it('is not ended by a new process that ends a switch of its own', () => {
    report(30, { isSwitching: true }, NEW);
    report(40, { isReached: true }, NEW);
    expect(switches.isUnfinished).toBe(true);
  });

  it('is ended by a new process that has proven the weights', () => {
    report(30, {}, NEW);
    report(40, { isSwitching: true }, NEW);
    report(50, { version: 2, isReached: true, isProven: true }, NEW);
    expect(state()).toEqual({ isUnfinished: false, version: 2 });
  });

  it('is not ended by the proof of another process that runs beside it', () => {
    report(21, { isProven: true }, { ...NEW, isReached: true, version: 1 });
    expect(switches.isUnfinished).toBe(true);
    report(22, { isSwitching: true }, NEW);
    report(23, { isSwitching: true });
    report(24, { isProven: true }, { ...NEW, isReached: true, version: 1 });
    expect(switches.isUnfinished).toBe(true);
  });

  it('is ended by the proof of another process once it has been left, if the beginning of that proof was not heard', () => {
    const seconds = 1_000_000;
    report(20 + 2 * seconds, { isProven: true }, { ...NEW, isReached: true });
    expect(switches.isUnfinished).toBe(true);
    report(20 + 4 * seconds, { isProven: true }, { ...NEW, isReached: true });
    expect(switches.isUnfinished).toBe(false);
  });

  it('is not ended by an earlier report that arrives later', () => {
    expect(report(15, {})).toBe(false);
    expect(switches.isUnfinished).toBe(true);
  });

  it('is still unfinished for another process, not for the one that announced it', () => {
    expect(switches.isUnfinishedByOther('first')).toBe(false);
    expect(switches.isUnfinishedByOther('second')).toBe(true);
  });

  it('is ended by agents and entries of earlier releases as before', () => {
    report(30, { isProven: undefined, version: 2 }, NEW);
    expect(state()).toEqual({ isUnfinished: false, version: undefined });
    report(40, { isSwitching: true });
    report(undefined, { agent: undefined, version: 3 });
    expect(state()).toEqual({ isUnfinished: false, version: 3 });
    report(50, { isSwitching: true });
    report(60, { isProven: undefined, isReached: false }, NEW);
    expect(state()).toEqual({ isUnfinished: false, version: undefined });
  });
});

describe('a switch that was not announced here', () => {
  it('shows in a listed version that no agent has reported', () => {
    expect(switches.hasSwitchedTo(1)).toBe(false);
    expect(switches.hasSwitchedTo(2)).toBe(true);
    report(20, { version: 2 });
    expect(switches.hasSwitchedTo(2)).toBe(false);
  });

  it('shows in a version that another process reports without proof, until it has proven it', () => {
    report(20, { version: 2, isReached: true }, NEW);
    expect(switches.isUnfinishedByOther('second')).toBe(true);
    report(30, { version: 2, isReached: true, isSwitching: true }, NEW);
    expect(switches.isUnfinished).toBe(true);
    report(40, { version: 2, isReached: true, isProven: true }, NEW);
    expect(state()).toEqual({ isUnfinished: false, version: 2 });
  });

  it('does not show while nothing is known of the engine, or its agent is of an earlier release', () => {
    expect(new EngineSwitches().hasSwitchedTo(2)).toBe(false);
    report(20, { isProven: undefined });
    expect(switches.hasSwitchedTo(2)).toBe(false);
  });
});

describe('an unfinished switch that another entry knows of', () => {
  const announced = { agent: 'first', stamp: 20 };

  it('counts until it is ended', () => {
    switches.applyUnfinished(announced);
    expect(switches.unfinished).toEqual([announced]);
    report(30, { version: 2 });
    expect(switches.isUnfinished).toBe(false);
  });

  it('does not count if its end is known already', () => {
    report(30, { version: 2 });
    switches.applyUnfinished(announced);
    report(40, { isReached: true, version: 2 }, NEW);
    switches.applyUnfinished(announced);
    expect(switches.isUnfinished).toBe(false);
  });

  it('counts at an entry that has heard of no agent, also of earlier releases', () => {
    switches = new EngineSwitches();
    switches.applyUnfinished({ agent: '', stamp: 0 });
    expect(switches.isUnfinished).toBe(true);
  });
});
