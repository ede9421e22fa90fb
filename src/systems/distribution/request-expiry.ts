/** Cancels requests that a peer or the origin has not answered in time, so that another source is asked. */
import { abandonRequest, type RequestContext } from './request-selection.js';
import type { RequestRow, Transfer } from './transfer.js';

/** Maximum number of times the backoff doubles after consecutive timeouts. */
const MAX_BACKOFF_DOUBLINGS = 5;

/** Closes every request past its deadline and suspends the peer that did not answer it. */
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
