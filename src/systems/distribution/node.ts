/**
 * The chunk exchange of one machine: event handlers that update its state, and a tick that derives commands from it.
 * It does no I/O and reads no clock, so agents, the simulation and the processes of scale tests share it.
 *
 * @example
 * ```ts
 * const node = new DistributionNode({ limits, random });
 * node.startTransfer({ version, chunkCount: 256, priority: 0, allowedPlaces }, now);
 * node.addNeighbour(version, peerInfo);
 * for (const command of node.tick(now)) execute(command);
 * ```
 */
import { ChunkSet } from '../../model/chunk-set.js';
import type { Digest } from '../../model/manifest.js';
import type { Random } from '../../model/random.js';
import { announceChunks, reportProgress } from './announcing.js';
import type { DistributionCommand, RefusalReason } from './commands.js';
import type { DistributionLimits } from './limits.js';
import { expireRequests } from './request-expiry.js';
import { applyGrants, type RequestContext, removeRequest, selectRequests } from './request-selection.js';
import {
  createNeighbour,
  createTransfer,
  type Grant,
  noteAvailable,
  type PeerId,
  type PeerInfo,
  type RequestRow,
  removeNeighbour,
  type Transfer,
  type TransferInit,
} from './transfer.js';
import { selectUploads, type UploadRow, type UploadTable } from './upload-selection.js';

/** Weight of the latest response time in the exponentially smoothed one. */
const RESPONSE_TIME_WEIGHT = 0.1;

/** Parameters of a node. */
export interface DistributionNodeInit {
  limits: DistributionLimits;
  random: Random;
}

/** A peer's request for a chunk. */
export interface ChunkRequest {
  version: Digest;
  chunk: number;
  /** Number of chunks the peer has. */
  have: number;
  urgent: boolean;
}

/** The chunk exchange of one machine. */
export class DistributionNode {
  readonly transfers = new Map<Digest, Transfer>();
  readonly uploads: UploadTable = { queued: [], active: 0 };
  readonly #limits: DistributionLimits;
  readonly #random: Random;
  #commands: DistributionCommand[] = [];

  constructor(init: DistributionNodeInit) {
    this.#limits = init.limits;
    this.#random = init.random;
  }

  /** Starts a transfer, or updates the priority and allowed places of a running one. */
  startTransfer(init: TransferInit, now: number): Transfer {
    const running = this.transfers.get(init.version);
    if (running !== undefined) {
      running.priority = init.priority;
      running.allowedPlaces = init.allowedPlaces;
      this.#dropDisallowedNeighbours(running, now);
      this.#refuseDisallowedUploads(running);
      return running;
    }
    const transfer = createTransfer(init, now);
    this.transfers.set(init.version, transfer);
    return transfer;
  }

  /** Stops a transfer: cancels its open requests and refuses its queued uploads. */
  stopTransfer(version: Digest): void {
    const transfer = this.transfers.get(version);
    if (transfer === undefined) return;
    for (const { chunk, peer } of transfer.requests.values()) {
      if (peer !== undefined) this.#commands.push({ type: 'cancel', version, chunk, peer });
    }
    this.transfers.delete(version);
    for (const row of this.#takeQueued((upload) => upload.version === version)) {
      this.#refuse(row.peer, version, row.chunk, 'absent');
    }
  }

  /** Adds a peer to request chunks from and greets it. Peers in places not allowed for the version are ignored. */
  addNeighbour(version: Digest, info: PeerInfo): void {
    const transfer = this.transfers.get(version);
    if (transfer === undefined || !transfer.allowedPlaces.has(info.place)) return;
    if (transfer.neighbours.has(info.id)) return;
    transfer.neighbours.set(info.id, createNeighbour(transfer, info));
    this.#commands.push({ type: 'greet', version, peer: info, have: transfer.have.toBytes() });
  }

  /** Handles a greeting that lists all chunks of a peer. A peer that is not a neighbour yet is greeted in return. */
  onGreeting(info: PeerInfo, version: Digest, have: Uint8Array): void {
    this.addNeighbour(version, info);
    const transfer = this.transfers.get(version);
    const neighbour = transfer?.neighbours.get(info.id);
    if (transfer === undefined || neighbour === undefined) return;
    for (const chunk of ChunkSet.fromBytes(transfer.have.capacity, have).values()) {
      noteAvailable(transfer, neighbour, chunk);
    }
  }

  /** Handles a neighbour's announcement of new chunks. */
  onAnnounce(version: Digest, peer: PeerId, chunks: readonly number[], queueLength: number): void {
    const transfer = this.transfers.get(version);
    const neighbour = transfer?.neighbours.get(peer);
    if (transfer === undefined || neighbour === undefined) return;
    neighbour.queueLength = queueLength;
    for (const chunk of chunks) noteAvailable(transfer, neighbour, chunk);
  }

  /** Handles a peer's request for a chunk. Only machines in allowed places are served. */
  onRequest(peer: PeerInfo, request: ChunkRequest, now: number): void {
    const { version, chunk } = request;
    const transfer = this.transfers.get(version);
    if (transfer === undefined || !transfer.have.has(chunk))
      return this.#refuse(peer.id, version, chunk, 'absent');
    if (!transfer.allowedPlaces.has(peer.place)) return this.#refuse(peer.id, version, chunk, 'place');
    if (this.uploads.queued.length >= this.#limits.uploadQueue && !request.urgent) {
      return this.#refuse(peer.id, version, chunk, 'busy');
    }
    this.uploads.queued.push({
      peer: peer.id,
      place: peer.place,
      version,
      chunk,
      peerHave: request.have,
      urgent: request.urgent,
      priority: transfer.priority,
      queuedAt: now,
    });
  }

  /** Handles the cancellation of a peer's request. */
  onCancel(peer: PeerId, version: Digest, chunk: number): void {
    this.#takeQueued((row) => row.peer === peer && row.version === version && row.chunk === chunk);
  }

  /** Handles a peer's refusal to send a requested chunk. */
  onRefused(
    peer: PeerId,
    version: Digest,
    chunk: number,
    reason: RefusalReason,
    queueLength: number,
    now: number,
  ): void {
    const transfer = this.transfers.get(version);
    const request = transfer?.requests.get(chunk);
    if (transfer === undefined || request === undefined || request.peer !== peer) return;
    this.#endRequest(transfer, request, false);
    const neighbour = transfer.neighbours.get(peer);
    if (neighbour === undefined) return;
    neighbour.queueLength = queueLength;
    if (reason === 'busy') neighbour.suspendedUntil = now + this.#limits.busyBackoff;
    else removeNeighbour(transfer, peer, now);
  }

  /** Handles a complete chunk that matches its digest. Returns false if it is no longer needed. */
  onChunk(
    version: Digest,
    chunk: number,
    peer: PeerId | undefined,
    queueLength: number,
    now: number,
  ): boolean {
    const transfer = this.transfers.get(version);
    if (transfer === undefined) return false;
    const neighbour = peer === undefined ? undefined : transfer.neighbours.get(peer);
    if (neighbour !== undefined) {
      neighbour.queueLength = queueLength;
      neighbour.stalls = 0;
    }
    const request = transfer.requests.get(chunk);
    if (request !== undefined) this.#completeRequest(transfer, request, peer, now);
    if (!transfer.have.add(chunk)) return false;
    transfer.unannounced.push(chunk);
    return true;
  }

  /** Handles a chunk that does not match its digest: it is discarded, and its sender is suspended or removed. */
  onCorruptChunk(version: Digest, chunk: number, peer: PeerId | undefined, now: number): void {
    const transfer = this.transfers.get(version);
    if (transfer === undefined) return;
    const request = transfer.requests.get(chunk);
    if (request !== undefined && request.peer === peer) this.#endRequest(transfer, request, false);
    const neighbour = peer === undefined ? undefined : transfer.neighbours.get(peer);
    if (neighbour === undefined) return;
    neighbour.corruptChunks++;
    neighbour.suspendedUntil = now + this.#limits.stallBackoff;
    if (neighbour.corruptChunks >= this.#limits.maxCorruptChunks)
      removeNeighbour(transfer, neighbour.info.id, now);
  }

  /** Handles a failed fetch from the origin. */
  onOriginFetchFailed(version: Digest, chunk: number): void {
    const transfer = this.transfers.get(version);
    const request = transfer?.requests.get(chunk);
    if (transfer === undefined || request === undefined || request.peer !== undefined) return;
    this.#endRequest(transfer, request, false);
  }

  /** Handles a grant of the coordinator to fetch a chunk from a given peer or from the origin. */
  onGrant(version: Digest, grant: Grant): void {
    const transfer = this.transfers.get(version);
    if (transfer !== undefined && this.#isAllowedSource(transfer, grant)) {
      transfer.grants.push(grant);
      return;
    }
    const { grantId, chunk } = grant;
    this.#commands.push({ type: 'grantEnded', version, grantId, chunk, succeeded: false });
  }

  /** Handles a lost or failed connection to a peer. */
  onPeerLost(peer: PeerId, now: number): void {
    this.#takeQueued((row) => row.peer === peer);
    for (const transfer of this.transfers.values()) {
      for (const request of [...transfer.requests.values()]) {
        if (request.peer === peer) this.#endRequest(transfer, request, false);
      }
      removeNeighbour(transfer, peer, now);
    }
  }

  /** Whether an upload may still be sent after it has waited for the link; refuses it if not. */
  confirmUpload({
    version,
    chunk,
    peer,
    place,
  }: Pick<UploadRow, 'version' | 'chunk' | 'peer' | 'place'>): boolean {
    const transfer = this.transfers.get(version);
    if (transfer?.allowedPlaces.has(place)) return true;
    this.#refuse(peer, version, chunk, transfer === undefined ? 'absent' : 'place');
    return false;
  }

  /** Handles the end of an upload started by a `send` command, whether or not it was complete. */
  onUploadEnded(): void {
    this.uploads.active--;
  }

  /** Derives the next commands from the state; `now` is in milliseconds. */
  tick(now: number): DistributionCommand[] {
    const commands = this.#commands;
    this.#commands = [];
    const context: RequestContext = {
      now,
      limits: this.#limits,
      random: this.#random,
      inFlight: this.#requestsInFlight(),
      commands,
    };
    for (const transfer of this.#byPriority()) {
      expireRequests(transfer, context);
      applyGrants(transfer, context);
      if (!transfer.have.complete) selectRequests(transfer, context);
      announceChunks(transfer, now, this.#limits, this.uploads.queued.length, commands);
      reportProgress(transfer, now, this.#limits, commands);
    }
    selectUploads(this.uploads, this.#limits, commands);
    return commands;
  }

  #isAllowedSource(transfer: Transfer, grant: Grant): boolean {
    return grant.source.type === 'origin' || transfer.allowedPlaces.has(grant.source.peer.place);
  }

  #byPriority(): Transfer[] {
    const transfers = [...this.transfers.values()];
    return transfers.length < 2 ? transfers : transfers.sort((a, b) => b.priority - a.priority);
  }

  #requestsInFlight(): number {
    let count = 0;
    for (const transfer of this.transfers.values()) {
      for (const request of transfer.requests.values()) {
        if (request.grantId === undefined) count++;
      }
    }
    return count;
  }

  #completeRequest(transfer: Transfer, request: RequestRow, peer: PeerId | undefined, now: number): void {
    if (request.peer === peer && request.grantId === undefined) {
      const responseTime = now - request.requestedAt;
      const usual = transfer.smoothedResponseTime === 0 ? responseTime : transfer.smoothedResponseTime;
      transfer.smoothedResponseTime = usual + RESPONSE_TIME_WEIGHT * (responseTime - usual);
    }
    if (request.peer !== undefined && request.peer !== peer) {
      this.#commands.push({
        type: 'cancel',
        version: transfer.version,
        chunk: request.chunk,
        peer: request.peer,
      });
    }
    this.#endRequest(transfer, request, true);
  }

  #endRequest(transfer: Transfer, request: RequestRow, succeeded: boolean): void {
    removeRequest(transfer, request);
    const { chunk, grantId } = request;
    if (grantId === undefined) return;
    this.#commands.push({ type: 'grantEnded', version: transfer.version, grantId, chunk, succeeded });
  }

  #dropDisallowedNeighbours(transfer: Transfer, now: number): void {
    for (const { info } of [...transfer.neighbours.values()]) {
      if (!transfer.allowedPlaces.has(info.place)) removeNeighbour(transfer, info.id, now);
    }
  }

  #refuseDisallowedUploads({ version, allowedPlaces }: Transfer): void {
    const disallowed = this.#takeQueued((row) => row.version === version && !allowedPlaces.has(row.place));
    for (const { peer, chunk } of disallowed) this.#refuse(peer, version, chunk, 'place');
  }

  #refuse(peer: PeerId, version: Digest, chunk: number, reason: RefusalReason): void {
    const queueLength = this.uploads.queued.length;
    this.#commands.push({ type: 'refuse', version, chunk, peer, reason, queueLength });
  }

  #takeQueued(matches: (row: UploadTable['queued'][number]) => boolean): UploadTable['queued'] {
    const taken = this.uploads.queued.filter(matches);
    if (taken.length > 0) this.uploads.queued = this.uploads.queued.filter((row) => !matches(row));
    return taken;
  }
}
