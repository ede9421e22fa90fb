/** The connections between entries: each tells the others of itself and of the agents it is home to. */
import type { Startable } from '../model/startable.js';
import { type Connection, type ConnectionContext, connect } from '../protocol/connection.js';
import type { EntryInfo, Message } from '../protocol/messages.js';
import type { AgentDirectory } from './agent-directory.js';

/** Time between two rounds of news to the other entries, in milliseconds. */
const NEWS_INTERVAL = 250;

/** What the mesh works with. */
export interface EntryMeshComponents {
  context: ConnectionContext;
  directory: AgentDirectory;
  /** What this entry says of itself. */
  self: () => EntryInfo;
  /** The revision of the configuration in force here. */
  revision: () => number;
  /** Another entry has this revision in force. */
  onRevision: (revision: number) => void;
}

/** The mesh as one entry sees it. */
export class EntryMesh implements Startable {
  /** Other entries by identity. */
  readonly entries = new Map<string, EntryInfo>();
  /** Called when an entry came, changed or went. */
  onChange: () => void = () => {};
  readonly #addresses: readonly string[];
  readonly #components: EntryMeshComponents;
  readonly #connections = new Map<string, Connection>();
  readonly #stopping = new AbortController();
  /** Agents that are news to the others, and agents that are gone. */
  readonly #changed = new Set<string>();
  readonly #gone = new Set<string>();
  #timer: NodeJS.Timeout | undefined;
  #dialling = new Set<string>();

  constructor(addresses: readonly string[], components: EntryMeshComponents) {
    this.#addresses = addresses;
    this.#components = components;
  }

  async start(): Promise<void> {
    this.#timer = setInterval(() => this.#round(), NEWS_INTERVAL);
    this.#round();
  }

  async stop(): Promise<void> {
    clearInterval(this.#timer);
    this.#stopping.abort();
    for (const connection of this.#connections.values()) connection.close();
  }

  /** Takes over a connection that another entry opened. */
  accept(connection: Connection): void {
    const { id } = connection.remote.peer;
    this.#connections.get(id)?.close();
    this.#connections.set(id, connection);
    connection.handleMessages((message) => this.#onMessage(id, message));
    connection.onClose = () => this.#lost(id, connection);
    this.#sendSelf(connection);
    const statuses = this.#components.directory.homedAt(this.#components.self().id);
    connection.send({ type: 'agents', statuses, gone: [] });
  }

  /** Notes that an agent homed here has changed. */
  agentChanged(id: string): void {
    this.#gone.delete(id);
    this.#changed.add(id);
  }

  /** Notes that an agent homed here is gone. */
  agentGone(id: string): void {
    this.#changed.delete(id);
    this.#gone.add(id);
  }

  /** Tells the others at once of a change of this entry itself. */
  announceSelf(): void {
    for (const connection of this.#connections.values()) this.#sendSelf(connection);
  }

  #round(): void {
    this.#components.directory.expire(performance.now());
    this.#dialMissing();
    this.#sendNews();
  }

  /** Of two entries the one with the lower address dials, so that there is one connection. */
  #dialMissing(): void {
    const own = this.#components.self().address;
    const connected = new Set([...this.#connections.values()].map((open) => open.remote.peer.address));
    for (const address of this.#addresses) {
      if (address <= own || connected.has(address) || this.#dialling.has(address)) continue;
      this.#dialling.add(address);
      void connect(address, this.#components.context, this.#stopping.signal).then((outcome) => {
        this.#dialling.delete(address);
        if (outcome.ok) this.accept(outcome.value);
      });
    }
  }

  #sendNews(): void {
    if (this.#changed.size === 0 && this.#gone.size === 0) return;
    const { directory } = this.#components;
    const statuses = [...this.#changed].flatMap((id) => directory.rows.get(id)?.status ?? []);
    const message: Message = { type: 'agents', statuses, gone: [...this.#gone] };
    this.#changed.clear();
    this.#gone.clear();
    for (const connection of this.#connections.values()) connection.send(message);
  }

  #sendSelf(connection: Connection): void {
    connection.send({
      type: 'entryStatus',
      entry: this.#components.self(),
      revision: this.#components.revision(),
    });
  }

  #onMessage(from: string, message: Message): void {
    if (message.type === 'entryStatus') {
      this.#components.onRevision(message.revision);
      const changed = JSON.stringify(this.entries.get(from)) !== JSON.stringify(message.entry);
      this.entries.set(from, message.entry);
      if (changed) this.onChange();
    }
    if (message.type !== 'agents') return;
    for (const status of message.statuses) this.#components.directory.update(status, from);
    for (const id of message.gone) this.#components.directory.remove(id, from);
  }

  #lost(id: string, connection: Connection): void {
    if (this.#connections.get(id) !== connection) return;
    this.#connections.delete(id);
    this.entries.delete(id);
    this.#components.directory.homeLost(id, performance.now());
    this.onChange();
  }
}
