/** The connections of an entry to other entries, maintained according to the entry topology. */
import { setMaxListeners } from 'node:events';
import type { Startable } from '../model/startable.js';
import { type Connection, type ConnectionContext, connect } from '../protocol/connection.js';
import type { Message } from '../protocol/messages.js';
import { type ConfiguredEntry, entriesToDial, isFirstOfZone, isLinkedTo } from '../systems/entry-topology.js';

/** Interval between reviews of the connections, in milliseconds. */
const REVIEW_INTERVAL = 250;
/** Time for which an entry that could not be reached is skipped in favour of others in its zone, in milliseconds. */
const UNREACHABLE_RETRY_DELAY = 2_000;
/** Time after the start for entries of the own zone to connect before other zones are dialled, in milliseconds. */
const OWN_ZONE_TIMEOUT = 1_500;

/** Callbacks of the links. */
export interface MeshLinkEvents {
  onOpen(link: MeshLink): void;
  onMessage(link: MeshLink, message: Message): void;
  onLost(link: MeshLink): void;
  /** Called at every review interval. */
  onReview(): void;
}

/** A connection to another entry. */
export interface MeshLink {
  /** Identity of the other process. */
  id: string;
  entry: ConfiguredEntry;
  /** Whether the other entry is in the same zone. */
  near: boolean;
  /** Whether this entry opened the connection. */
  dialled: boolean;
  connection: Connection;
}

/** All links of one entry. */
export class MeshLinks implements Startable {
  readonly #self: ConfiguredEntry;
  readonly #configured: readonly ConfiguredEntry[];
  readonly #context: ConnectionContext;
  readonly #events: MeshLinkEvents;
  readonly #links = new Map<string, MeshLink>();
  readonly #dialling = new Map<string, ConfiguredEntry>();
  readonly #unreachable = new Map<string, number>();
  readonly #stopping = new AbortController();
  #startedAt = performance.now();
  /** Whether links may have changed since a review last found nothing to dial. */
  #mayHaveToDial = true;
  #timer: NodeJS.Timeout | undefined;

  constructor(
    self: ConfiguredEntry,
    configured: readonly ConfiguredEntry[],
    context: ConnectionContext,
    events: MeshLinkEvents,
  ) {
    this.#self = self;
    this.#configured = configured;
    this.#context = context;
    this.#events = events;
    // Every connection attempt adds a listener to the signal.
    setMaxListeners(0, this.#stopping.signal);
  }

  /** Whether this entry sorts first among the connected entries of its zone. */
  get isFirstOfZone(): boolean {
    return isFirstOfZone(this.#self, this.#connected());
  }

  async start(): Promise<void> {
    this.#startedAt = performance.now();
    this.#timer = setInterval(() => this.#review(), REVIEW_INTERVAL);
    this.#review();
  }

  async stop(): Promise<void> {
    clearInterval(this.#timer);
    this.#stopping.abort();
    for (const { connection } of this.#links.values()) connection.close();
  }

  /** Accepts a connection that another entry opened. */
  accept(connection: Connection): void {
    this.#add(connection, false);
  }

  /** Sends over one link; does nothing if the link is closed. */
  send(id: string, message: Message): void {
    this.#links.get(id)?.connection.send(message);
  }

  /** Sends to the connected entries of the own zone. */
  sendNear(message: Message): void {
    for (const link of this.#links.values()) {
      if (link.near) link.connection.send(message);
    }
  }

  /** Sends to the connected entries of other zones. */
  sendFar(message: Message): void {
    for (const link of this.#links.values()) {
      if (!link.near) link.connection.send(message);
    }
  }

  /** Closes links to other zones that another entry of this zone is responsible for, once that zone is heard through it. */
  closeRedundant(isHeard: (zone: string, without: MeshLink) => boolean): void {
    for (const link of this.#links.values()) {
      const isRequired =
        link.near || !link.dialled || isLinkedTo(link.entry.zone, this.#self, this.#connected());
      if (!isRequired && isHeard(link.entry.zone, link)) link.connection.close();
    }
  }

  #add(connection: Connection, dialled: boolean): void {
    const { id, address, zone } = connection.remote.peer;
    this.#links.get(id)?.connection.close();
    const near = zone === this.#self.zone;
    const link: MeshLink = { id, entry: { address, zone }, near, dialled, connection };
    this.#links.set(id, link);
    connection.onClose = () => this.#lost(link);
    this.#events.onOpen(link);
    connection.handleMessages((message) => this.#events.onMessage(link, message));
  }

  #connected(): ConfiguredEntry[] {
    return [...this.#links.values()].map((link) => link.entry);
  }

  #isZoneConnected(): boolean {
    const connected = new Set(this.#connected().map((entry) => entry.address));
    const ownZone = this.#configured.filter((entry) => entry.zone === this.#self.zone);
    return ownZone.every((entry) => connected.has(entry.address));
  }

  #review(): void {
    const now = performance.now();
    for (const [address, until] of this.#unreachable) {
      if (until <= now) this.#unreachable.delete(address);
    }
    if (this.#mayHaveToDial) this.#dialMissing(now);
    this.#events.onReview();
  }

  #dialMissing(now: number): void {
    const connected = [...this.#connected(), ...this.#dialling.values()];
    const unreachable = new Set(this.#unreachable.keys());
    const knowsOwnZone = now - this.#startedAt >= OWN_ZONE_TIMEOUT || this.#isZoneConnected();
    const view = { self: this.#self, configured: this.#configured, connected, unreachable, knowsOwnZone };
    const missing = entriesToDial(view);
    this.#mayHaveToDial = missing.length > 0 || !knowsOwnZone || this.#dialling.size > 0;
    for (const entry of missing) void this.#dial(entry);
  }

  async #dial(entry: ConfiguredEntry): Promise<void> {
    this.#dialling.set(entry.address, entry);
    const outcome = await connect(entry.address, this.#context, this.#stopping.signal);
    this.#dialling.delete(entry.address);
    if (outcome.ok) this.#add(outcome.value, true);
    else this.#unreachable.set(entry.address, performance.now() + UNREACHABLE_RETRY_DELAY);
  }

  #lost(link: MeshLink): void {
    if (this.#links.get(link.id) !== link) return;
    this.#links.delete(link.id);
    this.#mayHaveToDial = true;
    // Links closed because this entry is stopping are not reported as lost.
    if (!this.#stopping.signal.aborted) this.#events.onLost(link);
  }
}
