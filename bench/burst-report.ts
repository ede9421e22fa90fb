/** What `thistleway bench burst` prints: one JSON object, judged by audits and not by the product's word. */

import type { CallerCounts } from './processes/caller.js';
import type { WitnessCounts } from './processes/witness.js';

/** The outcome of one burst. Times in seconds, sizes in bytes. */
export interface BurstReport {
  machines: number;
  objective: string;
  strategy: string;
  faults: string;
  simulated: boolean;
  seed: number;
  modelBytes: number;
  chunks: number;
  windowSeconds: number;
  /** Whether both directions of a machine's link share its budget. */
  duplex: string;
  /** True when every live machine had the version in time. */
  complete: boolean;
  secondsToAll: number;
  secondsToHalf: number;
  boundSeconds: number;
  ratioToBound: number;
  originBytes: number;
  originCopies: number;
  crossRegionCopies: number;
  placeBreaches: number;
  unverifiedChunksPassedOn: number;
  partialLoads: number;
  mixedVersionAnswers: number;
  /** Control traffic of an agent, sent and received together, with framing. */
  controlBytesPerSecondPerAgent: { mean: number; max: number };
  /** Control traffic of the coordinator in the burst; null where it was not measured. */
  controlBytesPerSecondCoordinator: number | null;
  /** What callers got during the burst; only with real processes. */
  calls?: CallerCounts;
  /** What the judge from outside saw; only with real processes. */
  witnessed?: WitnessCounts;
}

/** The share of `sorted` values at or below which `share` of them lie. */
export function quantile(sorted: readonly number[], share: number): number {
  return sorted[Math.min(sorted.length - 1, Math.max(0, Math.ceil(sorted.length * share) - 1))];
}

/** `value` with three decimals. */
export function rounded(value: number): number {
  return Math.round(value * 1_000) / 1_000;
}
