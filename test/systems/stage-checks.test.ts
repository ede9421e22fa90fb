import { describe, expect, it } from 'vitest';
import { CHECK_VALIDITY, StageChecks } from '../../src/systems/stage-checks.js';

describe('the checks of a stage', () => {
  it('are as old as the beginning of the oldest read, and none if a piece is corrupt', () => {
    const checks = new StageChecks(3);
    for (const piece of [0, 1, 2]) checks.noteIntact(piece, 100 * piece, 500);
    expect(checks.oldestOf([0, 1, 2])).toBe(0);
    expect(checks.oldestOf([1, 2])).toBe(100);
    expect(checks.uncheckedSince(150, [0, 1, 2])).toEqual([0, 1]);
    checks.noteCorrupt(2);
    expect(checks.oldestOf([1, 2])).toBe(Number.NEGATIVE_INFINITY);
    checks.noteIntact(2, 600, 610);
    expect(checks.oldestOf([1, 2])).toBe(100);
  });

  it('prove a piece while they are valid, and no longer', () => {
    const checks = new StageChecks(1);
    checks.noteIntact(0, 1_000, 1_100);
    expect(checks.unproven({ from: 1_200, by: 1_000 + CHECK_VALIDITY }, [0])).toEqual([]);
    expect(checks.unproven({ from: 1_200, by: 1_001 + CHECK_VALIDITY }, [0])).toEqual([0]);
  });

  it('prove a piece that was read back intact after the order was accepted, however late', () => {
    const checks = new StageChecks(1);
    checks.noteIntact(0, 1_000, 1_100);
    const accepted = { from: 1_200, by: 9_000 };
    expect(checks.unproven(accepted, [0])).toEqual([0]);
    checks.noteIntact(0, 9_001, 9_100);
    expect(checks.unproven(accepted, [0])).toEqual([]);
  });

  it('do not prove a piece that was corrupt for too long and has been written since', () => {
    const checks = new StageChecks(1);
    checks.noteIntact(0, 1_000, 1_100);
    checks.noteCorrupt(0);
    checks.noteIntact(0, 5_000, 5_100);
    expect(checks.unproven({ from: 1_200, by: 4_900 }, [0])).toEqual([0]);
    // What was sent after the write is not affected.
    expect(checks.unproven({ from: 5_200, by: 5_300 }, [0])).toEqual([]);
  });

  it('prove a piece that was written again in time', () => {
    const checks = new StageChecks(1);
    checks.noteIntact(0, 1_000, 1_100);
    checks.noteCorrupt(0);
    checks.noteIntact(0, 2_000, 2_100);
    expect(checks.unproven({ from: 1_200, by: 4_000 }, [0])).toEqual([]);
  });

  it('prove nothing before the order was accepted of a piece that a late write may overwrite', () => {
    const checks = new StageChecks(2);
    checks.noteLateWrite(1, 'otherBytes', 20_000);
    for (const piece of [0, 1]) checks.noteIntact(piece, 1_000, 1_010);
    const accepted = { from: 1_020, by: 1_030 };
    expect(checks.unproven(accepted, [0, 1])).toEqual([1]);
    checks.noteIntact(1, 1_040, 1_050);
    expect(checks.unproven(accepted, [0, 1])).toEqual([]);
  });

  it('do not prove by a late read what a late write of the same bytes may have mended since', () => {
    const checks = new StageChecks(2);
    checks.noteLateWrite(1, 'sameBytes', 20_000);
    for (const piece of [0, 1]) {
      checks.noteIntact(piece, 1_000, 1_010);
      checks.noteIntact(piece, 9_001, 9_100);
    }
    expect(checks.unproven({ from: 1_200, by: 9_000 }, [0, 1])).toEqual([1]);
    expect(checks.unproven({ from: 9_200, by: 9_300 }, [0, 1])).toEqual([]);
  });

  it('prove a piece that a late write may mend as long as they follow on one another in time', () => {
    const checks = new StageChecks(1);
    checks.noteLateWrite(0, 'sameBytes', 20_000);
    for (const askedAt of [1_000, 3_000, 5_001]) checks.noteIntact(0, askedAt, askedAt + 10);
    expect(checks.unproven({ from: 1_200, by: 5_000 }, [0])).toEqual([]);
  });

  it('prove nothing of a later order while a write of another process may have come since', () => {
    const checks = new StageChecks(1, 10_000);
    checks.noteIntact(0, 9_500, 9_510);
    const accepted = { from: 10_100, by: 10_110 };
    expect(checks.unproven(accepted, [0])).toEqual([0]);
    checks.noteIntact(0, 10_120, 10_130);
    expect(checks.unproven(accepted, [0])).toEqual([]);
  });

  it('do not prove a piece that another process overwrote and that has been written again in time', () => {
    const checks = new StageChecks(1, 10_000);
    checks.noteIntact(0, 9_000, 9_010);
    checks.noteCorrupt(0);
    checks.noteIntact(0, 10_050, 10_060);
    const accepted = { from: 9_400, by: 10_300 };
    checks.noteIntact(0, 10_310, 10_320);
    expect(checks.unproven(accepted, [0])).toEqual([0]);
  });

  it('do not prove by a late read what another process may have mended since, unless the order was accepted in time', () => {
    const checks = new StageChecks(1, 10_000);
    checks.noteIntact(0, 1_000, 1_010);
    checks.noteIntact(0, 9_001, 9_100);
    expect(checks.unproven({ from: 1_200, by: 9_000 }, [0])).toEqual([0]);
    expect(checks.unproven({ from: 1_200, by: 1_000 + CHECK_VALIDITY }, [0])).toEqual([]);
    expect(checks.unproven({ from: 9_200, by: 9_300 }, [0])).toEqual([0]);
    checks.noteIntact(0, 9_310, 9_320);
    expect(checks.unproven({ from: 9_200, by: 9_300 }, [0])).toEqual([]);
  });

  it('prove nothing of a piece as long as one late write may overwrite it and another one mend it', () => {
    const checks = new StageChecks(1);
    checks.noteLateWrite(0, 'otherBytes', 3_000);
    checks.noteLateWrite(0, 'sameBytes', 4_000);
    for (const askedAt of [1_000, 1_040]) checks.noteIntact(0, askedAt, askedAt + 10);
    expect(checks.unproven({ from: 1_020, by: 1_030 }, [0])).toEqual([0]);
    expect(checks.isProvable(0)).toBe(false);
    for (const askedAt of [2_000, 3_001, 3_040]) checks.noteIntact(0, askedAt, askedAt + 10);
    expect(checks.unproven({ from: 3_020, by: 3_030 }, [0])).toEqual([]);
  });
});
