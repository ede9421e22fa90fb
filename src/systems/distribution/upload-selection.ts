/**
 * Selects the queued upload to serve next: requests under grants first, then the transfer with the higher priority,
 * then the peer with the fewest chunks, so that all machines finish at about the same time and no link is idle early.
 */
import type { Digest } from '../../model/manifest.js';
import type { DistributionCommand } from './commands.js';
import type { DistributionLimits } from './limits.js';
import type { PeerId } from './transfer.js';

/** A peer's queued request for a chunk. */
export interface UploadRow {
  peer: PeerId;
  /** Place of the peer. */
  place: string;
  version: Digest;
  chunk: number;
  /** Number of chunks the peer had when it sent the request. */
  peerHave: number;
  urgent: boolean;
  priority: number;
  queuedAt: number;
}

/** Queued and active uploads of one machine. */
export interface UploadTable {
  queued: UploadRow[];
  active: number;
}

/** Starts uploads while upload slots are free. */
export function selectUploads(
  table: UploadTable,
  limits: DistributionLimits,
  commands: DistributionCommand[],
): void {
  while (table.active < limits.uploadsActive && table.queued.length > 0) {
    const next = takeNext(table.queued);
    table.active++;
    const { version, chunk, peer, place } = next;
    commands.push({ type: 'send', version, chunk, peer, place, queueLength: table.queued.length });
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
