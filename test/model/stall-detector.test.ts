import { describe, expect, it } from 'vitest';
import { StallDetector } from '../../src/model/stall-detector.js';

const INTERVAL = 1_000;

describe('StallDetector', () => {
  it('counts all time if ticks are on time', () => {
    const standstills = new StallDetector(INTERVAL, 0);
    for (let now = INTERVAL; now <= 10_000; now += INTERVAL) standstills.tick(now + 20);
    expect(standstills.runningTime(500, 10_100)).toBe(9_600);
  });

  it('excludes the time by which a tick was late', () => {
    const standstills = new StallDetector(INTERVAL, 0);
    standstills.tick(1_000);
    standstills.tick(6_000);
    expect(standstills.runningTime(500, 6_000)).toBe(1_500);
    standstills.tick(7_000);
    expect(standstills.runningTime(500, 7_000)).toBe(2_500);
  });

  it('detects a stall before the tick that ends it', () => {
    const standstills = new StallDetector(INTERVAL, 0);
    standstills.tick(1_000);
    expect(standstills.runningTime(1_000, 6_000)).toBe(1_000);
  });

  it('counts only the time after the given one', () => {
    const standstills = new StallDetector(INTERVAL, 0);
    standstills.tick(5_000);
    expect(standstills.runningTime(4_000, 5_000)).toBe(0);
    expect(standstills.runningTime(5_000, 5_900)).toBe(900);
  });

  it('adds up several stalls', () => {
    const standstills = new StallDetector(INTERVAL, 0);
    standstills.tick(3_000);
    standstills.tick(6_000);
    expect(standstills.runningTime(0, 6_000)).toBe(2_000);
  });

  it('does not count a time without ticks as a stall', () => {
    const standstills = new StallDetector(INTERVAL, 0);
    standstills.tick(1_000);
    standstills.reset(9_000);
    standstills.tick(10_000);
    expect(standstills.runningTime(8_000, 10_000)).toBe(2_000);
  });
});
