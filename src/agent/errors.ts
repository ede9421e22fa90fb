/** Errors of the agent. */
import type { Digest } from '../model/manifest.js';

/** Why an assigned version is not ready. */
export type VersionError =
  | { type: 'manifestUnavailable'; version: Digest; reason: string }
  | { type: 'manifestMismatch'; version: Digest }
  | { type: 'memoryBudgetExceeded'; version: Digest; neededBytes: number };
