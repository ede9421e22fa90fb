/** The links of an agent to burst coordinators: one for each transfer, to the entry that coordinates it. */
import type { ChunkSet } from '../model/chunk-set.js';
import type { Digest } from '../model/manifest.js';
import { type Random, rendezvousOrder } from '../model/random.js';
import type { Timeline } from '../observability/timeline.js';
import type { ConnectionContext } from '../protocol/connection.js';
import type { Assignment, Message } from '../protocol/messages.js';
import { EntryLink } from './entry-link.js';
import type { Exchange } from './exchange.js';

/** Components of the links. */
export interface BurstLinksComponents {
  context: ConnectionContext;
  random: Random;
  timeline: Timeline;
  exchange: Exchange;
  /** Returns the addresses of the entries that may coordinate a burst. */
  coordinators: () => string[];
}

/** The burst links of one agent. */
export class BurstLinks {
  readonly #links = new Map<Digest, EntryLink>();
  readonly #components: BurstLinksComponents;

  constructor(components: BurstLinksComponents) {
    this.#components = components;
  }

  /** Joins the burst of a version, and joins again whenever the link is re-established, as the coordinator may have changed. */
  join(assignment: Assignment): void {
    const { version, objective } = assignment;
    if (this.#links.has(version)) return;
    const { context, random, timeline, exchange, coordinators } = this.#components;
    const link = new EntryLink({
      context,
      random,
      candidates: () => rendezvousOrder(version, coordinators()),
      onOpen: (coordinator) => {
        const have = exchange.held(version);
        if (have === undefined) return;
        timeline.record({ type: 'burstJoined', version, coordinator });
        link.send(joinMessage(version, objective, have));
      },
      onMessage: (message) => this.#onMessage(message),
    });
    this.#links.set(version, link);
    void link.start();
  }

  /** Leaves the burst of a version. */
  leave(version: Digest): void {
    const link = this.#links.get(version);
    if (link === undefined) return;
    this.#links.delete(version);
    link.send({ type: 'leave', version });
    void link.stop();
  }

  /** Sends a message to the coordinator of a version. */
  send(version: Digest, message: Message): void {
    this.#links.get(version)?.send(message);
  }

  async stop(): Promise<void> {
    for (const link of this.#links.values()) await link.stop();
    this.#links.clear();
  }

  #onMessage(message: Message): void {
    const { exchange } = this.#components;
    if (message.type === 'neighbours') exchange.onNeighbours(message.transfer, message.peers);
    if (message.type === 'grant') exchange.onGrant(message.transfer, message.grant);
  }
}

function joinMessage(version: Digest, objective: Assignment['objective'], have: ChunkSet): Message {
  return { type: 'join', version, chunkCount: have.capacity, objective, have: have.toBytes() };
}
