/** Gives up requests that a stalled peer or origin has not answered in time, so that another is asked. */
import { abandonRequest, type RequestContext } from './request-selection.js';
import type { RequestRow, Transfer } from './transfer.js';

/** Longest backoff after repeated stalls, as a power of two of the first. */
const MAX_BACKOFF_DOUBLINGS = 5;

/** Closes every request past its deadline and suspends the peer that let it pass. */
export function expireRequests(transfer: Transfer, context: RequestContext): void {
  for (const request of [...transfer.requests.values()]) {
    if (request.deadline > context.now) continue;
    expireRequest(transfer, request, context);
  }
}

function expireRequest(transfer: Transfer, request: RequestRow, context: RequestContext): void {
  abandonRequest(transfer, request, context);
  const neighbour = request.peer === undefined ? undefined : transfer.neighbours.get(request.peer);
  if (neighbour === undefined) return;
  const doublings = Math.min(neighbour.stalls, MAX_BACKOFF_DOUBLINGS);
  neighbour.suspendedUntil = context.now + context.limits.stallBackoff * 2 ** doublings;
  neighbour.stalls++;
}
