/**
 * Chooses which queued request to serve next: entries into a region first, then the transfer of higher
 * priority, then the machine that has least, so that all machines finish together and no link idles early.
 */
import type { Digest } from '../../model/manifest.js';
import type { DistributionCommand } from './commands.js';
import type { DistributionLimits } from './limits.js';
import type { PeerId } from './transfer.js';

/** A request of a peer that waits to be served. */
export interface UploadRow {
  peer: PeerId;
  version: Digest;
  chunk: number;
  /** Chunks that the peer had when it asked. */
  peerHave: number;
  urgent: boolean;
  priority: number;
  queuedAt: number;
}

/** The upload side of one machine. */
export interface UploadTable {
  queued: UploadRow[];
  active: number;
}

/** Starts uploads while slots are free. */
export function selectUploads(
  table: UploadTable,
  limits: DistributionLimits,
  commands: DistributionCommand[],
): void {
  while (table.active < limits.uploadsActive && table.queued.length > 0) {
    const next = takeNext(table.queued);
    table.active++;
    const { version, chunk, peer } = next;
    commands.push({ type: 'send', version, chunk, peer, queueLength: table.queued.length });
  }
}

function takeNext(queued: UploadRow[]): UploadRow {
  let best = 0;
  for (let index = 1; index < queued.length; index++) {
    if (precedes(queued[index], queued[best])) best = index;
  }
  return queued.splice(best, 1)[0];
}

function precedes(a: UploadRow, b: UploadRow): boolean {
  if (a.urgent !== b.urgent) return a.urgent;
  if (a.priority !== b.priority) return a.priority > b.priority;
  if (a.peerHave !== b.peerHave) return a.peerHave < b.peerHave;
  return a.queuedAt < b.queuedAt;
}
