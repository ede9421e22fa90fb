/** Simulates a rolling restart of entries that fetch weights over saturated links, while the engines are at full load. */
import { describe, expect, it } from 'vitest';
import { simulatePlacement } from '../../bench/simulation/placement-simulation.js';

/** Timeout of two simulations, in milliseconds. It is far above what they need, as they depend on processor time only. */
const SIMULATION_TIMEOUT = 240_000;
/** Loads as shares of the peak; they are 0.9, 1 and 1.1 of the capacity of the 84 engines. */
const LOADS = [0.69, 0.76, 0.84];

describe.each([1, 2])('rolling restarts of entries, seed %i', { timeout: SIMULATION_TIMEOUT }, (seed) => {
  it.each(LOADS)('leave few slots idle while requests wait, at %f of the peak', (load) => {
    const figures = { policy: 'slots', load, seed, addedEngines: 0 } as const;
    const restarts = simulatePlacement({ ...figures, areEntriesRestarted: true });
    const calm = simulatePlacement(figures);
    expect(restarts.idleWhileWaiting).toBeLessThan(0.04);
    expect(calm.credit - restarts.credit).toBeLessThan(0.08);
  });
});
