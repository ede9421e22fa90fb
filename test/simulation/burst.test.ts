import { describe, expect, it } from 'vitest';
import { burstBoundSeconds } from '../../bench/burst-bound.js';
import { SIMULATED_FAULTS } from '../../bench/simulation/faults.js';
import { type SimulatedBurstInit, simulateBurst } from '../../bench/simulation/simulated-burst.js';

const SMALL: SimulatedBurstInit = {
  machines: 30,
  objective: 'fastest',
  strategy: 'swarm',
  seed: 7,
  duplex: 'shared',
  chunkCount: 128,
};

describe('a burst in virtual time', () => {
  it('finishes within 10 % of the lower bound', () => {
    const report = simulateBurst({ ...SMALL, chunkCount: undefined });
    expect(report.complete).toBe(true);
    expect(report.ratioToBound).toBeLessThanOrEqual(1.1);
  });

  it('fetches one copy from the origin and one into each other region with `leastOriginBytes`', () => {
    const fastest = simulateBurst(SMALL);
    const least = simulateBurst({ ...SMALL, objective: 'leastOriginBytes' });
    expect(least.originCopies).toBeLessThanOrEqual(1.02);
    expect(least.crossRegionCopies).toBeLessThanOrEqual(2.02);
    expect(least.secondsToAll).toBeLessThanOrEqual(1.1 * fastest.secondsToAll);
  });

  it('keeps the control traffic of each machine within its limit', () => {
    expect(simulateBurst(SMALL).controlBytesPerSecondPerAgent.max).toBeLessThanOrEqual(12_000);
  });

  it.each(['tree', 'origin'] as const)('is faster than the baseline "%s"', (strategy) => {
    const baseline = simulateBurst({ ...SMALL, strategy });
    expect(baseline.complete).toBe(true);
    expect(baseline.secondsToAll).toBeGreaterThan(simulateBurst(SMALL).secondsToAll);
  });

  it('is deterministic for a given seed', () => {
    expect(simulateBurst(SMALL)).toEqual(simulateBurst(SMALL));
  });

  it.each(SIMULATED_FAULTS.map((fault) => [fault.name, fault] as const))(
    'completes without violations under %s',
    (_, fault) => {
      for (const objective of ['fastest', 'leastOriginBytes'] as const) {
        const report = simulateBurst({ ...SMALL, objective, fault });
        expect(report).toMatchObject({
          complete: true,
          placeBreaches: 0,
          unverifiedChunksPassedOn: 0,
          partialLoads: 0,
          mixedVersionAnswers: 0,
        });
      }
    },
  );
});

describe('the lower bound', () => {
  it.each([
    [1, 'shared', 0.5],
    [24, 'shared', 0.923],
    [780, 'shared', 0.997],
    [24, 'full', 0.5],
    [780, 'full', 0.5],
  ] as const)('for %d machines with a %s link budget is %d windows', (machines, duplex, windows) => {
    expect(burstBoundSeconds(machines, 1, duplex)).toBeCloseTo(windows, 3);
  });
});
