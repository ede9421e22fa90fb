import { describe, expect, it } from 'vitest';
import { Standstills } from '../../src/model/standstills.js';

const INTERVAL = 1_000;

describe('Standstills', () => {
  it('counts all time while ticks come when they are due', () => {
    const standstills = new Standstills(INTERVAL, 0);
    for (let now = INTERVAL; now <= 10_000; now += INTERVAL) standstills.tick(now + 20);
    expect(standstills.runningTime(500, 10_100)).toBe(9_600);
  });

  it('leaves out the time by which a tick was late', () => {
    const standstills = new Standstills(INTERVAL, 0);
    standstills.tick(1_000);
    standstills.tick(6_000);
    expect(standstills.runningTime(500, 6_000)).toBe(1_500);
    standstills.tick(7_000);
    expect(standstills.runningTime(500, 7_000)).toBe(2_500);
  });

  it('knows of a standstill before the tick that tells of it', () => {
    const standstills = new Standstills(INTERVAL, 0);
    standstills.tick(1_000);
    expect(standstills.runningTime(1_000, 6_000)).toBe(1_000);
  });

  it('counts only what is since the given time', () => {
    const standstills = new Standstills(INTERVAL, 0);
    standstills.tick(5_000);
    expect(standstills.runningTime(4_000, 5_000)).toBe(0);
    expect(standstills.runningTime(5_000, 5_900)).toBe(900);
  });

  it('sums several standstills', () => {
    const standstills = new Standstills(INTERVAL, 0);
    standstills.tick(3_000);
    standstills.tick(6_000);
    expect(standstills.runningTime(0, 6_000)).toBe(2_000);
  });

  it('does not take a time without ticks for a standstill', () => {
    const standstills = new Standstills(INTERVAL, 0);
    standstills.tick(1_000);
    standstills.begin(9_000);
    standstills.tick(10_000);
    expect(standstills.runningTime(8_000, 10_000)).toBe(2_000);
  });
});
