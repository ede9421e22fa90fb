/** Many entries and back ends of which some refuse, though they are healthy. */
import { describe, expect, it } from 'vitest';
import { simulateShedding } from './shedding-simulation.js';

/** Of 15 back ends that serve 225 requests a second together. */
const BACK_ENDS = { entries: 42, backEnds: 15 };
const evenly = (rate: number) => Array.from({ length: 20 }, () => rate);

describe('back ends that refuse', () => {
  it('most of their requests get few of them: others take these', () => {
    const report = simulateShedding({
      ...BACK_ENDS,
      seed: 1,
      shedding: 4,
      sheddingShare: 0.7,
      rates: evenly(150),
    });
    expect(report.refusals / report.requests).toBeLessThan(0.4);
  });

  it('all of their requests do not draw the requests of all, idle as they are', () => {
    const report = simulateShedding({
      ...BACK_ENDS,
      seed: 1,
      shedding: 6,
      sheddingShare: 1,
      rates: evenly(110),
    });
    expect(report.refusals / report.requests).toBeLessThan(0.4);
    expect(report.served / report.requests).toBeGreaterThan(0.9);
  });
});

describe('back ends that refuse only when they are full', () => {
  it('refuse next to nothing at two thirds of their load: entries do not all choose the same one', () => {
    const report = simulateShedding({
      ...BACK_ENDS,
      seed: 1,
      shedding: 0,
      sheddingShare: 0,
      rates: evenly(150),
    });
    expect(report.refusals / report.requests).toBeLessThan(0.03);
  });
});
