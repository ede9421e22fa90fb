/** The connections of an agent to other agents: opened when first needed and shared by all transfers. */

import { type Connection, type ConnectionContext, connect } from '../protocol/connection.js';
import type { Message } from '../protocol/messages.js';
import type { PeerId, PeerInfo } from '../systems/distribution/transfer.js';

/** Maximum number of messages queued for a peer while its connection is being opened; further ones are dropped. */
const MAX_QUEUED_MESSAGES = 256;

/** A connection to a peer; `connection` is undefined while it is being opened. */
interface PeerLink {
  connection: Connection | undefined;
  waiting: Message[];
}

/** Events of the links. */
export interface PeerLinkEvents {
  onMessage(peer: PeerInfo, message: Message): void;
  onLost(peer: PeerId): void;
}

/** The peer connections of one agent. */
export class PeerLinks {
  readonly #links = new Map<PeerId, PeerLink>();
  readonly #context: ConnectionContext;
  readonly #events: PeerLinkEvents;
  readonly #closing = new AbortController();

  constructor(context: ConnectionContext, events: PeerLinkEvents) {
    this.#context = context;
    this.#events = events;
  }

  /** Registers a connection opened by a peer. */
  accept(connection: Connection): void {
    this.#register(connection);
  }

  /** Sends a message to a peer; opens a connection first if there is none. */
  send(peer: PeerInfo, message: Message): void {
    const link = this.#links.get(peer.id) ?? this.#dial(peer);
    if (link.connection !== undefined) link.connection.send(message);
    else if (link.waiting.length < MAX_QUEUED_MESSAGES) link.waiting.push(message);
  }

  /** Sends a message to a peer if it is connected; returns false if not. */
  sendIfConnected(peer: PeerId, message: Message): boolean {
    return this.#links.get(peer)?.connection?.send(message) ?? false;
  }

  closeAll(): void {
    this.#closing.abort();
    for (const link of [...this.#links.values()]) link.connection?.close();
  }

  #dial(peer: PeerInfo): PeerLink {
    const link: PeerLink = { connection: undefined, waiting: [] };
    this.#links.set(peer.id, link);
    void connect(peer.address, this.#context, this.#closing.signal).then((outcome) => {
      // A new process at the same address is another peer.
      if (outcome.ok && outcome.value.remote.peer.id === peer.id) return this.#register(outcome.value);
      if (outcome.ok) outcome.value.close();
      if (this.#links.get(peer.id) !== link) return;
      this.#links.delete(peer.id);
      this.#events.onLost(peer.id);
    });
    return link;
  }

  #register(connection: Connection): void {
    const { peer } = connection.remote;
    const earlier = this.#links.get(peer.id);
    const waiting = earlier?.connection === undefined ? (earlier?.waiting ?? []) : [];
    const replaced = earlier?.connection;
    this.#links.set(peer.id, { connection, waiting: [] });
    connection.handleMessages((message) => this.#events.onMessage(peer, message));
    connection.onClose = () => this.#onClosed(peer.id, connection);
    for (const message of waiting) connection.send(message);
    // Both sides may have opened a connection: the earlier one stays open for messages in transit on it.
    if (replaced?.open) replaced.onClose = () => {};
  }

  #onClosed(peer: PeerId, connection: Connection): void {
    if (this.#links.get(peer)?.connection !== connection) return;
    this.#links.delete(peer);
    this.#events.onLost(peer);
  }
}
