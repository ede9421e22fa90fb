/** Announces new chunks to neighbours, and reports progress and chunks that no neighbour offers to the coordinator. */
import type { DistributionCommand } from './commands.js';
import type { DistributionLimits } from './limits.js';
import type { Transfer } from './transfer.js';

/** Maximum number of starving chunks listed in one report. */
const MAX_STARVING_IN_REPORT = 16;
const ANNOUNCE_SHARE_OF_RESPONSE_TIME = 0.5;

/** Announces the chunks received since the last announcement to all neighbours that are not complete. */
export function announceChunks(
  transfer: Transfer,
  now: number,
  limits: DistributionLimits,
  queueLength: number,
  commands: DistributionCommand[],
): void {
  if (transfer.unannounced.length === 0) return;
  if (now - transfer.announcedAt < announceInterval(transfer, limits)) return;
  const chunks = transfer.unannounced.splice(0);
  transfer.announcedAt = now;
  const peers = [...transfer.neighbours.values()]
    .filter((row) => !row.have.complete)
    .map((row) => row.info.id);
  if (peers.length === 0) return;
  commands.push({ type: 'announce', version: transfer.version, chunks, peers, queueLength });
}

/** The interval grows with the response time, so that control traffic is proportional to the transfer rate. */
function announceInterval(transfer: Transfer, limits: DistributionLimits): number {
  const wanted = transfer.smoothedResponseTime * ANNOUNCE_SHARE_OF_RESPONSE_TIME;
  return Math.min(limits.announceInterval, Math.max(limits.announceIntervalFloor, wanted));
}

/** Reports progress at the report interval, and immediately when the transfer completes. */
export function reportProgress(
  transfer: Transfer,
  now: number,
  limits: DistributionLimits,
  commands: DistributionCommand[],
): void {
  const justCompleted = transfer.have.complete && !transfer.reportedComplete;
  if (!justCompleted && now - transfer.reportedAt < limits.reportInterval) return;
  if (transfer.reportedComplete) return;
  transfer.reportedAt = now;
  transfer.reportedComplete = transfer.have.complete;
  const starving = starvingChunks(transfer, now, limits);
  commands.push({ type: 'report', version: transfer.version, have: transfer.have.size, starving });
}

function starvingChunks(transfer: Transfer, now: number, limits: DistributionLimits): number[] {
  const starving: number[] = [];
  for (let chunk = 0; chunk < transfer.have.capacity; chunk++) {
    if (starving.length === MAX_STARVING_IN_REPORT) break;
    if (transfer.availability[chunk] > 0 || transfer.have.has(chunk)) continue;
    if (transfer.requests.has(chunk)) continue;
    if (now - transfer.unavailableSince[chunk] >= limits.starvationTime) starving.push(chunk);
  }
  return starving;
}
