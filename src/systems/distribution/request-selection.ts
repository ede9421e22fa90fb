/**
 * Selects the next chunk to request and the peer to request it from: the rarest chunk offered by a peer with spare
 * capacity, with ties broken at random, from the peer with the shortest queue.
 */
import type { Random } from '../../model/random.js';
import type { DistributionCommand } from './commands.js';
import type { DistributionLimits } from './limits.js';
import type { Grant, NeighbourRow, PeerInfo, RequestRow, Transfer } from './transfer.js';

/** State shared by request selection and expiry within one tick. */
export interface RequestContext {
  now: number;
  limits: DistributionLimits;
  random: Random;
  /** Open requests without a grant, over all transfers; updated as requests are opened and closed. */
  inFlight: number;
  commands: DistributionCommand[];
}

/** Turns the received grants into requests. Runs before any other request is selected. */
export function applyGrants(transfer: Transfer, context: RequestContext): void {
  for (const grant of transfer.grants.splice(0)) applyGrant(transfer, grant, context);
}

function applyGrant(transfer: Transfer, grant: Grant, context: RequestContext): void {
  const chunk = grant.chunk ?? rarestMissing(transfer, context.random);
  const { grantId } = grant;
  if (chunk === undefined || transfer.have.has(chunk)) {
    const succeeded = chunk !== undefined || grant.chunk === undefined;
    context.commands.push({ type: 'grantEnded', version: transfer.version, grantId, chunk, succeeded });
    return;
  }
  const open = transfer.requests.get(chunk);
  if (open !== undefined) abandonRequest(transfer, open, context);
  if (grant.source.type === 'origin') {
    openRequest(transfer, chunk, undefined, grantId, context);
    context.commands.push({ type: 'draw', version: transfer.version, chunk, grantId });
    return;
  }
  requestFrom(transfer, chunk, grant.source.peer, grantId, context);
}

/** Opens requests until the limit of concurrent requests is reached. */
export function selectRequests(transfer: Transfer, context: RequestContext): void {
  while (context.inFlight < context.limits.requestsInFlight) {
    const chunk = rarestOffered(transfer, context);
    if (chunk === undefined) return reassignOverdueRequests(transfer, context);
    const neighbour = leastBusyHolder(transfer, chunk, context);
    if (neighbour === undefined) return;
    requestFrom(transfer, chunk, neighbour.info, undefined, context);
  }
}

/** Once every missing chunk is requested, moves overdue requests to other peers. */
function reassignOverdueRequests(transfer: Transfer, context: RequestContext): void {
  const { now, limits } = context;
  if (transfer.have.size + transfer.requests.size < transfer.have.capacity) return;
  const overdueTime = Math.max(limits.overdueTimeFloor, transfer.smoothedResponseTime);
  for (const request of [...transfer.requests.values()]) {
    if (context.inFlight >= limits.requestsInFlight) return;
    if (now - request.requestedAt < overdueTime) continue;
    const neighbour = leastBusyHolder(transfer, request.chunk, context);
    if (neighbour === undefined || neighbour.info.id === request.peer) continue;
    abandonRequest(transfer, request, context);
    requestFrom(transfer, request.chunk, neighbour.info, undefined, context);
  }
}

function requestFrom(
  transfer: Transfer,
  chunk: number,
  peer: PeerInfo,
  grantId: number | undefined,
  context: RequestContext,
): void {
  openRequest(transfer, chunk, peer.id, grantId, context);
  context.commands.push({
    type: 'request',
    version: transfer.version,
    chunk,
    peer,
    have: transfer.have.size,
    urgent: grantId !== undefined,
  });
}

function openRequest(
  transfer: Transfer,
  chunk: number,
  peer: string | undefined,
  grantId: number | undefined,
  context: RequestContext,
): void {
  const { now, limits } = context;
  const patience = timeoutFor(transfer, peer, grantId, limits);
  transfer.requests.set(chunk, { chunk, peer, requestedAt: now, deadline: now + patience, grantId });
  const neighbour = peer === undefined ? undefined : transfer.neighbours.get(peer);
  if (neighbour !== undefined) neighbour.outstanding++;
  if (grantId === undefined) context.inFlight++;
}

/** Timeout of a request. It is longer for grants, because no other machine may fetch the chunk meanwhile. */
function timeoutFor(
  transfer: Transfer,
  peer: string | undefined,
  grantId: number | undefined,
  limits: DistributionLimits,
): number {
  if (peer === undefined) return limits.originFetchTimeout;
  if (grantId !== undefined || transfer.smoothedResponseTime === 0) return limits.firstRequestTimeout;
  return Math.max(limits.requestTimeoutFloor, transfer.smoothedResponseTime * limits.requestTimeoutFactor);
}

/** Closes an open request and cancels it at the peer, if it was sent to one. */
export function closeRequest(transfer: Transfer, request: RequestRow, context: RequestContext): void {
  removeRequest(transfer, request);
  if (request.grantId === undefined) context.inFlight--;
  if (request.peer === undefined) return;
  const { chunk, peer } = request;
  context.commands.push({ type: 'cancel', version: transfer.version, chunk, peer });
}

/** Closes an open request and ends its grant, if any, as failed. */
export function abandonRequest(transfer: Transfer, request: RequestRow, context: RequestContext): void {
  closeRequest(transfer, request, context);
  const { chunk, grantId } = request;
  if (grantId === undefined) return;
  context.commands.push({ type: 'grantEnded', version: transfer.version, grantId, chunk, succeeded: false });
}

/** Removes an open request from the transfer's state. */
export function removeRequest(transfer: Transfer, request: RequestRow): void {
  transfer.requests.delete(request.chunk);
  const neighbour = request.peer === undefined ? undefined : transfer.neighbours.get(request.peer);
  if (neighbour !== undefined) neighbour.outstanding--;
}

function canBeAsked(neighbour: NeighbourRow, context: RequestContext): boolean {
  if (neighbour.suspendedUntil > context.now) return false;
  return neighbour.outstanding < context.limits.requestsPerPeer;
}

function rarestOffered(transfer: Transfer, context: RequestContext): number | undefined {
  const offered = new Uint32Array(transfer.have.words.length);
  for (const neighbour of transfer.neighbours.values()) {
    if (!canBeAsked(neighbour, context)) continue;
    const words = neighbour.have.words;
    for (let word = 0; word < words.length; word++) offered[word] |= words[word];
  }
  return rarest(transfer, context.random, (chunk) => ((offered[chunk >>> 5] >>> (chunk & 31)) & 1) === 1);
}

function rarestMissing(transfer: Transfer, random: Random): number | undefined {
  return rarest(transfer, random, () => true);
}

function rarest(
  transfer: Transfer,
  random: Random,
  eligible: (chunk: number) => boolean,
): number | undefined {
  let best: number | undefined;
  let bestAvailability = Number.POSITIVE_INFINITY;
  let ties = 0;
  for (let chunk = 0; chunk < transfer.have.capacity; chunk++) {
    const availability = transfer.availability[chunk];
    if (availability > bestAvailability || !eligible(chunk)) continue;
    if (transfer.have.has(chunk) || transfer.requests.has(chunk)) continue;
    ties = availability < bestAvailability ? 1 : ties + 1;
    bestAvailability = availability;
    if (ties === 1 || random.below(ties) === 0) best = chunk;
  }
  return best;
}

function leastBusyHolder(
  transfer: Transfer,
  chunk: number,
  context: RequestContext,
): NeighbourRow | undefined {
  let best: NeighbourRow | undefined;
  let bestLoad = Number.POSITIVE_INFINITY;
  let ties = 0;
  for (const neighbour of transfer.neighbours.values()) {
    if (!neighbour.have.has(chunk) || !canBeAsked(neighbour, context)) continue;
    const load = neighbour.queueLength + neighbour.outstanding;
    if (load > bestLoad) continue;
    ties = load < bestLoad ? 1 : ties + 1;
    bestLoad = load;
    if (ties === 1 || context.random.below(ties) === 0) best = neighbour;
  }
  return best;
}
