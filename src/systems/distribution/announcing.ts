/** Tells neighbours of new chunks, and the coordinator of progress and of chunks that nobody offers. */
import type { DistributionCommand } from './commands.js';
import type { DistributionLimits } from './limits.js';
import type { Transfer } from './transfer.js';

/** Most starving chunks named in one report. */
const MAX_STARVING_IN_REPORT = 16;
const ANNOUNCE_SHARE_OF_RESPONSE_TIME = 0.5;

/** Announces the chunks that came since the last announcement to the neighbours that lack some. */
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

/** Chunks that come slowly are announced slowly, so that control bytes follow the rate of the transfer. */
function announceInterval(transfer: Transfer, limits: DistributionLimits): number {
  const wanted = transfer.smoothedResponseTime * ANNOUNCE_SHARE_OF_RESPONSE_TIME;
  return Math.min(limits.announceInterval, Math.max(limits.announceIntervalFloor, wanted));
}

/** Reports progress at the report interval, and at once when the transfer is complete. */
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
