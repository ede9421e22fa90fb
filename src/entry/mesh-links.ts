/** The connections of an entry to other entries, kept as the topology says. */
import type { Startable } from '../model/startable.js';
import { type Connection, type ConnectionContext, connect } from '../protocol/connection.js';
import type { Message } from '../protocol/messages.js';
import { type ConfiguredEntry, entriesToDial, isRelay } from '../systems/entry-topology.js';

/** Time between two reviews of the connections, in milliseconds. */
const REVIEW_INTERVAL = 250;
/** Time for which an entry that took no connection is passed over for others of its zone, in milliseconds. */
const UNREACHABLE_TIME = 2_000;

/** What the links tell. */
export interface MeshLinkEvents {
  onOpen(link: MeshLink): void;
  onMessage(link: MeshLink, message: Message): void;
  onLost(link: MeshLink): void;
  /** A while has passed. */
  onReview(): void;
}

/** A connection to another entry. */
export interface MeshLink {
  /** Identity of the other process. */
  id: string;
  entry: ConfiguredEntry;
  /** True for an entry of the own zone. */
  near: boolean;
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
  }

  /** True when this entry connects its zone to the others. */
  get isRelay(): boolean {
    return isRelay(this.#self, this.#connected());
  }

  async start(): Promise<void> {
    this.#timer = setInterval(() => this.#review(), REVIEW_INTERVAL);
    this.#review();
  }

  async stop(): Promise<void> {
    clearInterval(this.#timer);
    this.#stopping.abort();
    for (const { connection } of this.#links.values()) connection.close();
  }

  /** Takes over a connection that another entry opened, or that was dialled. */
  accept(connection: Connection): void {
    const { id, address, zone } = connection.remote.peer;
    this.#links.get(id)?.connection.close();
    const link: MeshLink = { id, entry: { address, zone }, near: zone === this.#self.zone, connection };
    this.#links.set(id, link);
    connection.onClose = () => this.#lost(link);
    this.#events.onOpen(link);
    connection.handleMessages((message) => this.#events.onMessage(link, message));
  }

  /** Sends to the entries of the own zone, but for one. */
  sendNear(message: Message, except?: MeshLink): void {
    for (const link of this.#links.values()) {
      if (link.near && link !== except) link.connection.send(message);
    }
  }

  /** Sends to the entries of other zones that are connected here: none, unless this entry is a relay. */
  sendFar(message: Message): void {
    for (const link of this.#links.values()) {
      if (!link.near) link.connection.send(message);
    }
  }

  /** True when this entry has links to other zones: as the relay, or because it was reached in its place. */
  get hasFarLinks(): boolean {
    return [...this.#links.values()].some((link) => !link.near);
  }

  /** The links to other zones. */
  get farLinks(): MeshLink[] {
    return [...this.#links.values()].filter((link) => !link.near);
  }

  /** Whether an entry of the zone is linked here. */
  hasLinkTo(zone: string): boolean {
    return [...this.#links.values()].some((link) => link.entry.zone === zone);
  }

  #connected(): ConfiguredEntry[] {
    return [...this.#links.values()].map((link) => link.entry);
  }

  #review(): void {
    const now = performance.now();
    for (const [address, until] of this.#unreachable) {
      if (until <= now) this.#unreachable.delete(address);
    }
    const connected = [...this.#connected(), ...this.#dialling.values()];
    const unreachable = new Set(this.#unreachable.keys());
    const view = { self: this.#self, configured: this.#configured, connected, unreachable };
    for (const entry of entriesToDial(view)) void this.#dial(entry);
    this.#events.onReview();
  }

  async #dial(entry: ConfiguredEntry): Promise<void> {
    this.#dialling.set(entry.address, entry);
    const outcome = await connect(entry.address, this.#context, this.#stopping.signal);
    this.#dialling.delete(entry.address);
    if (outcome.ok) this.accept(outcome.value);
    else this.#unreachable.set(entry.address, performance.now() + UNREACHABLE_TIME);
  }

  #lost(link: MeshLink): void {
    if (this.#links.get(link.id) !== link) return;
    this.#links.delete(link.id);
    // What this entry loses because it stops itself is no news.
    if (!this.#stopping.signal.aborted) this.#events.onLost(link);
  }
}
