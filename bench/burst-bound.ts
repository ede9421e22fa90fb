/**
 * The known lower bound for bringing one model to N machines: no plan is faster on links of these rates.
 *
 * With a budget of its own for each direction it is max(S/o, S/d, N·S/(o + N·u)); where both directions share
 * a machine's budget c, each copy between machines is paid twice, which gives max(S/o, S/c, 2·N·S/(N·c + o)).
 */
import type { Duplex } from './simulation/link.js';

/** Copies of the model that the origin's link carries in one window (the brief). */
export const ORIGIN_COPIES_PER_WINDOW = 4;

/** Copies of the model that a machine's link carries in one window (the brief). */
export const MACHINE_COPIES_PER_WINDOW = 2;

/** Lower bound in seconds for `machines` machines and a window of `windowSeconds` seconds. */
export function burstBoundSeconds(machines: number, windowSeconds: number, duplex: Duplex): number {
  const origin = ORIGIN_COPIES_PER_WINDOW;
  const machine = MACHINE_COPIES_PER_WINDOW;
  const firstCopy = 1 / origin;
  const ownCopy = 1 / machine;
  const sharedWork = (2 * machines) / (machines * machine + origin);
  const directedWork = machines / (origin + machines * machine);
  const work = duplex === 'shared' ? sharedWork : directedWork;
  return windowSeconds * Math.max(firstCopy, ownCopy, work);
}
