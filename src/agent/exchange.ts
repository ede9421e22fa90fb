/**
 * The chunk exchange of an agent: executes the commands of its {@link DistributionNode}. It verifies every chunk before
 * it passes it to the node, and limits chunk traffic to the link's rate.
 */
import { setMaxListeners } from 'node:events';
import type { Origin } from '../clients/origin.js';
import { ChunkSet } from '../model/chunk-set.js';
import { type Digest, digestOf, type Manifest } from '../model/manifest.js';
import { Pacer } from '../model/pacer.js';
import { seededRandom } from '../model/random.js';
import type { Startable } from '../model/startable.js';
import type { Log } from '../observability/log.js';
import type { Timeline } from '../observability/timeline.js';
import type { Connection, ConnectionContext } from '../protocol/connection.js';
import { type Assignment, type Message, type TransferKey, transferKeyOf } from '../protocol/messages.js';
import type { DistributionCommand } from '../systems/distribution/commands.js';
import { DEFAULT_DISTRIBUTION_LIMITS } from '../systems/distribution/limits.js';
import { DistributionNode } from '../systems/distribution/node.js';
import type { Grant, PeerInfo } from '../systems/distribution/transfer.js';
import type { ChunkStore } from './chunk-store.js';
import { PeerLinks } from './peer-links.js';

/** Time between two ticks while a transfer runs and no message causes one, in milliseconds. */
const TICK_INTERVAL = 50;
/** Time limit for fetching a chunk from the origin, in milliseconds. */
const ORIGIN_TIMEOUT = 30_000;
/**
 * Number of consecutive chunks without an open request that are accepted from a peer, as they may answer requests that
 * were cancelled too late. Further ones are dropped.
 */
const MAX_UNREQUESTED_CHUNKS = 16;

/** A running transfer. */
interface ActiveTransfer {
  version: Digest;
  manifest: Manifest;
}

/** Events of an exchange. */
export interface ExchangeEvents {
  /** A missing chunk has been received and matches its digest. */
  onVerified(version: Digest, chunk: number, data: Buffer): void;
  /** All chunks of a version are in memory and verified. */
  onComplete(version: Digest): void;
  /** A message is to be sent to the coordinator of the version's burst. */
  onCoordinatorMessage(version: Digest, message: Message): void;
}

/** Counters of one exchange, for metrics and benchmarks. */
export interface ExchangeCounters {
  chunksFromPeers: number;
  chunksFromOrigin: number;
  /** Bytes of chunks received from machines in other regions. */
  crossRegionBytes: number;
  corruptChunks: number;
  /** Requests refused because the requesting machine is in a place that is not allowed for the version. */
  placeRefusals: number;
}

/** Components of an exchange. */
export interface ExchangeComponents {
  context: ConnectionContext;
  store: ChunkStore;
  origin: Origin;
  timeline: Timeline;
  log: Log;
}

/** Link rate and random seed of an exchange. */
export interface ExchangeInit {
  linkBytesPerSecond: number;
  linkDuplex: 'shared' | 'full';
  seed: number;
}

/** The chunk exchange of one agent. */
export class Exchange implements Startable {
  readonly node: DistributionNode;
  readonly counters: ExchangeCounters = {
    chunksFromPeers: 0,
    chunksFromOrigin: 0,
    crossRegionBytes: 0,
    corruptChunks: 0,
    placeRefusals: 0,
  };
  readonly #transfers = new Map<TransferKey, ActiveTransfer>();
  readonly #links: PeerLinks;
  readonly #components: ExchangeComponents;
  readonly #events: ExchangeEvents;
  readonly #region: string;
  readonly #outgoing: Pacer;
  readonly #incoming: Pacer;
  readonly #stopping = new AbortController();
  readonly #unrequestedChunks = new Map<string, number>();
  #timer: NodeJS.Timeout | undefined;
  #tickQueued = false;

  constructor(components: ExchangeComponents, init: ExchangeInit, events: ExchangeEvents) {
    this.#components = components;
    this.#events = events;
    this.node = new DistributionNode({
      limits: DEFAULT_DISTRIBUTION_LIMITS,
      random: seededRandom(init.seed),
    });
    // Every chunk that waits for the link's rate adds a listener.
    setMaxListeners(0, this.#stopping.signal);
    this.#region = components.context.hello().peer.region;
    this.#outgoing = new Pacer(init.linkBytesPerSecond);
    this.#incoming = init.linkDuplex === 'shared' ? this.#outgoing : new Pacer(init.linkBytesPerSecond);
    this.#links = new PeerLinks(components.context, {
      onMessage: (peer, message) => this.#onPeerMessage(peer, message),
      onLost: (peer) => this.#updateNode(() => this.node.onPeerLost(peer, performance.now())),
    });
  }

  /** Does nothing: ticks start with the first transfer. */
  async start(): Promise<void> {}

  async stop(): Promise<void> {
    clearTimeout(this.#timer);
    this.#stopping.abort();
    this.#links.closeAll();
  }

  /** Registers a connection opened by another agent. */
  accept(connection: Connection): void {
    this.#links.accept(connection);
  }

  /** Starts to fetch a version, or updates its running transfer. Returns false if it does not fit the memory budget. */
  begin(assignment: Assignment, manifest: Manifest): boolean {
    const { version, priority } = assignment;
    const allowedPlaces = new Set(assignment.places);
    const running = this.#transfers.has(transferKeyOf(version));
    if (!running && !this.#components.store.pin(manifest)) return false;
    const have = this.#chunksInStore(manifest);
    const chunkCount = manifest.chunks.length;
    this.#transfers.set(transferKeyOf(version), { version, manifest });
    this.#updateNode(() =>
      this.node.startTransfer({ version, chunkCount, priority, allowedPlaces, have }, performance.now()),
    );
    if (running) return true;
    this.#components.timeline.record({
      type: 'transferStarted',
      version,
      chunks: chunkCount,
      alreadyHeld: have.size,
    });
    if (have.complete) this.#complete(version);
    return true;
  }

  /** Stops the transfer of a version. It is neither fetched nor served any more, and its memory may be reused. */
  end(version: Digest): void {
    const transfer = this.#transfers.get(transferKeyOf(version));
    if (transfer === undefined) return;
    this.#transfers.delete(transferKeyOf(version));
    this.#components.store.unpin(transfer.manifest);
    this.#components.timeline.record({ type: 'transferStopped', version });
    this.#updateNode(() => this.node.stopTransfer(version));
  }

  /** The chunks held of a running transfer; undefined if there is no transfer. */
  held(version: Digest): ChunkSet | undefined {
    return this.node.transfers.get(version)?.have;
  }

  /** The manifest of a running transfer; undefined if there is no transfer. */
  manifest(version: Digest): Manifest | undefined {
    return this.#transfers.get(transferKeyOf(version))?.manifest;
  }

  /** Handles the coordinator's list of peers to exchange chunks with. */
  onNeighbours(key: TransferKey, peers: readonly PeerInfo[]): void {
    const transfer = this.#transfers.get(key);
    if (transfer === undefined) return;
    this.#updateNode(() => {
      for (const peer of peers) this.node.addNeighbour(transfer.version, peer);
    });
  }

  /** Handles the coordinator's grant to fetch a chunk from the origin or from another region. */
  onGrant(key: TransferKey, grant: Grant): void {
    const transfer = this.#transfers.get(key);
    if (transfer !== undefined) this.#updateNode(() => this.node.onGrant(transfer.version, grant));
  }

  #chunksInStore(manifest: Manifest): ChunkSet {
    const have = new ChunkSet(manifest.chunks.length);
    for (const [index, chunk] of manifest.chunks.entries()) {
      if (this.#components.store.get(chunk.digest) !== undefined) have.add(index);
    }
    return have;
  }

  /** Runs a handler that changes the node's state, and schedules a tick unless one is pending. */
  #updateNode(handle: () => void): void {
    handle();
    if (this.#tickQueued) return;
    this.#tickQueued = true;
    setImmediate(() => {
      this.#tickQueued = false;
      this.#tick();
    });
  }

  /** Whether ticks are needed without messages: a transfer or announcement is incomplete, or an upload is queued. */
  get #isBusy(): boolean {
    const { transfers, uploads } = this.node;
    const isTransferring = [...transfers.values()].some(
      (row) => !row.have.complete || row.unannounced.length > 0,
    );
    return isTransferring || uploads.queued.length > 0;
  }

  #tick(): void {
    if (this.#stopping.signal.aborted) return;
    for (const command of this.node.tick(performance.now())) this.#execute(command);
    if (this.#timer !== undefined || !this.#isBusy) return;
    this.#timer = setTimeout(() => {
      this.#timer = undefined;
      this.#tick();
    }, TICK_INTERVAL);
  }

  #execute(command: DistributionCommand): void {
    const transfer = transferKeyOf(command.version);
    switch (command.type) {
      case 'greet':
        return this.#links.send(command.peer, { type: 'greet', transfer, have: command.have });
      case 'request': {
        const { chunk, have, urgent } = command;
        return this.#links.send(command.peer, { type: 'request', transfer, chunk, have, urgent });
      }
      case 'cancel':
        return void this.#links.sendIfConnected(command.peer, {
          type: 'cancel',
          transfer,
          chunk: command.chunk,
        });
      case 'refuse': {
        const { chunk, reason, queueLength } = command;
        if (reason === 'place') this.#recordPlaceRefusal(command);
        return void this.#links.sendIfConnected(command.peer, {
          type: 'refuse',
          transfer,
          chunk,
          reason,
          queueLength,
        });
      }
      case 'announce': {
        const { chunks, queueLength } = command;
        for (const peer of command.peers) {
          this.#links.sendIfConnected(peer, { type: 'announce', transfer, chunks, queueLength });
        }
        return;
      }
      case 'send':
        return void this.#sendChunk(command);
      case 'draw':
        return void this.#fetchFromOrigin(command.version, command.chunk);
      case 'report': {
        const { version, have, starving } = command;
        return this.#events.onCoordinatorMessage(version, { type: 'report', transfer, have, starving });
      }
      case 'grantEnded': {
        const { version, grantId, chunk, succeeded } = command;
        const message: Message = { type: 'grantEnded', transfer, grantId, chunk, succeeded };
        return this.#events.onCoordinatorMessage(version, message);
      }
    }
  }

  #recordPlaceRefusal({ version, chunk, peer, reason }: DistributionCommand & { type: 'refuse' }): void {
    this.counters.placeRefusals++;
    this.#components.timeline.record({ type: 'chunkRefused', version, chunk, peer, reason });
  }

  async #sendChunk(upload: DistributionCommand & { type: 'send' }): Promise<void> {
    const { version, chunk, peer, queueLength } = upload;
    const data = this.#chunkData(version, chunk);
    if (data !== undefined) {
      await this.#outgoing.take(data.byteLength, this.#stopping.signal);
      const transfer = transferKeyOf(version);
      if (this.node.confirmUpload(upload))
        this.#links.sendIfConnected(peer, { type: 'chunk', transfer, chunk, queueLength, data });
    }
    this.#updateNode(() => this.node.onUploadEnded());
  }

  #chunkData(version: Digest, chunk: number): Buffer | undefined {
    const manifest = this.manifest(version);
    const entry = manifest?.chunks[chunk];
    return entry === undefined ? undefined : this.#components.store.get(entry.digest);
  }

  async #fetchFromOrigin(version: Digest, chunk: number): Promise<void> {
    const entry = this.manifest(version)?.chunks[chunk];
    if (entry === undefined) return;
    const fetched = await this.#components.origin.chunk(entry.digest, AbortSignal.timeout(ORIGIN_TIMEOUT));
    if (!fetched.ok) return this.#updateNode(() => this.node.onOriginFetchFailed(version, chunk));
    this.counters.chunksFromOrigin++;
    await this.#incoming.take(fetched.value.byteLength, this.#stopping.signal);
    this.#verifyChunk(version, chunk, undefined, fetched.value, 0);
  }

  #onPeerMessage(peer: PeerInfo, message: Message): void {
    if (!('transfer' in message)) return;
    const transfer = this.#transfers.get(message.transfer);
    if (transfer === undefined) return this.#refuseUnknownTransfer(peer, message);
    const { version } = transfer;
    const now = performance.now();
    switch (message.type) {
      case 'greet':
        return this.#updateNode(() => this.node.onGreeting(peer, version, message.have));
      case 'announce':
        return this.#updateNode(() =>
          this.node.onAnnounce(version, peer.id, message.chunks, message.queueLength),
        );
      case 'request':
        return this.#updateNode(() => this.node.onRequest(peer, { ...message, version }, now));
      case 'cancel':
        return this.#updateNode(() => this.node.onCancel(peer.id, version, message.chunk));
      case 'refuse': {
        const { chunk, reason, queueLength } = message;
        return this.#updateNode(() => this.node.onRefused(peer.id, version, chunk, reason, queueLength, now));
      }
      case 'chunk':
        return void this.#onChunkMessage(peer, version, message);
      default:
    }
  }

  #refuseUnknownTransfer(peer: PeerInfo, message: Message): void {
    if (message.type !== 'request') return;
    const { transfer, chunk } = message;
    const refusal: Message = { type: 'refuse', transfer, chunk, reason: 'absent', queueLength: 0 };
    this.#links.sendIfConnected(peer.id, refusal);
  }

  async #onChunkMessage(
    peer: PeerInfo,
    version: Digest,
    message: Message & { type: 'chunk' },
  ): Promise<void> {
    const expected = this.node.transfers.get(version)?.requests.get(message.chunk);
    if (expected?.peer === peer.id) this.#unrequestedChunks.delete(peer.id);
    else if (!this.#acceptsUnrequested(peer)) return;
    // Copied because the data may be a slice of a larger buffer, which would be kept in memory with it.
    const data = Buffer.from(message.data);
    this.counters.chunksFromPeers++;
    if (peer.region !== this.#region) this.counters.crossRegionBytes += data.byteLength;
    await this.#incoming.take(data.byteLength, this.#stopping.signal);
    this.#verifyChunk(version, message.chunk, peer.id, data, message.queueLength);
  }

  #acceptsUnrequested(peer: PeerInfo): boolean {
    const count = (this.#unrequestedChunks.get(peer.id) ?? 0) + 1;
    this.#unrequestedChunks.set(peer.id, count);
    return count <= MAX_UNREQUESTED_CHUNKS;
  }

  #verifyChunk(
    version: Digest,
    chunk: number,
    from: string | undefined,
    data: Buffer,
    queueLength: number,
  ): void {
    const entry = this.manifest(version)?.chunks[chunk];
    if (entry === undefined) return;
    if (digestOf(data) !== entry.digest) {
      this.counters.corruptChunks++;
      this.#components.timeline.record({ type: 'corruptChunk', version, chunk, from: from ?? 'origin' });
      this.#components.log.warn('corrupt chunk dropped', { version, chunk, from: from ?? 'origin' });
      return this.#updateNode(() => this.node.onCorruptChunk(version, chunk, from, performance.now()));
    }
    this.#components.store.put(entry.digest, data);
    let isNew = false;
    this.#updateNode(() => {
      isNew = this.node.onChunk(version, chunk, from, queueLength, performance.now());
    });
    if (!isNew) return;
    this.#events.onVerified(version, chunk, data);
    if (this.held(version)?.complete) this.#complete(version);
  }

  #complete(version: Digest): void {
    this.#components.timeline.record({ type: 'transferCompleted', version });
    this.#events.onComplete(version);
  }
}
