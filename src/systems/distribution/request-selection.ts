/**
 * Chooses which chunk to ask of whom: the rarest chunk among those that a peer with room offers, ties broken
 * at random, and for it the peer with the shortest queue.
 */
import type { Random } from '../../model/random.js';
import type { DistributionCommand } from './commands.js';
import type { DistributionLimits } from './limits.js';
import type { Grant, NeighbourRow, PeerInfo, RequestRow, Transfer } from './transfer.js';

/** State that the request systems share in one tick. */
export interface RequestContext {
  now: number;
  limits: DistributionLimits;
  random: Random;
  /** Open requests over all transfers; the systems keep it up to date. */
  inFlight: number;
  commands: DistributionCommand[];
}

/** Turns grants into requests, before any other request. */
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

/** Fills the free request slots of this machine. */
export function selectRequests(transfer: Transfer, context: RequestContext): void {
  while (context.inFlight < context.limits.requestsInFlight) {
    const chunk = rarestOffered(transfer, context);
    if (chunk === undefined) return reassignOverdueRequests(transfer, context);
    const neighbour = leastBusyHolder(transfer, chunk, context);
    if (neighbour === undefined) return;
    requestFrom(transfer, chunk, neighbour.info, undefined, context);
  }
}

/** Asks others for chunks that were asked for long ago, once every missing chunk has been asked for. */
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

/** How long to wait for a chunk; what only one machine may fetch is waited for longer. */
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

/** Gives an open request up and tells the peer, if one was asked. */
export function closeRequest(transfer: Transfer, request: RequestRow, context: RequestContext): void {
  removeRequest(transfer, request);
  if (request.grantId === undefined) context.inFlight--;
  if (request.peer === undefined) return;
  const { chunk, peer } = request;
  context.commands.push({ type: 'cancel', version: transfer.version, chunk, peer });
}

/** Gives an open request up, and returns the grant that it used. */
export function abandonRequest(transfer: Transfer, request: RequestRow, context: RequestContext): void {
  closeRequest(transfer, request, context);
  const { chunk, grantId } = request;
  if (grantId === undefined) return;
  context.commands.push({ type: 'grantEnded', version: transfer.version, grantId, chunk, succeeded: false });
}

/** Removes an open request from the tables. */
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
