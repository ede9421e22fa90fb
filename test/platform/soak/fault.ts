/** A kind of fault that a soak injects, and helpers to draw one. */
import type { Random } from '../../../src/model/random.js';
import type { SoakWorld } from './world.js';

/** A fault in progress. */
export interface StartedFault {
  /** In milliseconds. */
  duration: number;
  end: () => void;
  detail: string;
  /** Parts that it disrupts; absent for planned work and for faults that must harm no request. */
  disrupts?: string[];
}

/** A kind of fault. */
export interface Fault {
  name: string;
  /** Whether the soak waits until its duration is over before it ends the phase of faults. */
  mustFinish?: boolean;
  begin(world: SoakWorld, random: Random): StartedFault;
}

export const noCleanup = () => {};

export function pick<T>(items: readonly T[], random: Random): T {
  return items[random.below(items.length)];
}

/** Draws a number from `least` to below `most`. */
export const drawBetween = (random: Random, least: number, most: number) =>
  least + random.below(most - least);

export const entriesOf = (world: SoakWorld) => world.processes.filter(({ role }) => role === 'entry');

/** Applies `act` to each part, `gap` milliseconds apart; returns how long that takes. */
export function staggered<T>(parts: readonly T[], gap: number, act: (part: T) => void): number {
  for (const [place, part] of parts.entries()) setTimeout(() => act(part), place * gap);
  return parts.length * gap;
}
