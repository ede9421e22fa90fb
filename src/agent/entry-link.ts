/**
 * A connection from an agent to an entry that is kept up: when it breaks, the next entry of the agent's order
 * is tried, after a short random wait so that the agents of a lost entry do not all come at once.
 */
import type { Random } from '../model/random.js';
import type { Startable } from '../model/startable.js';
import { type Connection, type ConnectionContext, connect } from '../protocol/connection.js';
import type { Message } from '../protocol/messages.js';

/** Shortest and longest wait before the next try, in milliseconds. */
const MIN_RETRY_DELAY = 100;
const RETRY_JITTER = 400;

/** What a link is created from. */
export interface EntryLinkInit {
  context: ConnectionContext;
  random: Random;
  /** The entries to try, the preferred one first; read anew for each try. */
  candidates: () => string[];
  /** A connection that began to be made at the given time is open; its messages come after this. */
  onOpen: (address: string, dialledAt: number) => void;
  onMessage: (message: Message) => void;
  /** The entry has answered a sign of life that was sent at the given time. */
  onConfirmed?: (sentAt: number) => void;
}

/** One kept connection. */
export class EntryLink implements Startable {
  readonly #init: EntryLinkInit;
  readonly #stopping = new AbortController();
  #connection: Connection | undefined;
  #address: string | undefined;
  #attempt = 0;
  #timer: NodeJS.Timeout | undefined;

  constructor(init: EntryLinkInit) {
    this.#init = init;
  }

  /** Address of the entry that is connected, if one is. */
  get address(): string | undefined {
    return this.#connection === undefined ? undefined : this.#address;
  }

  async start(): Promise<void> {
    void this.#connect();
  }

  async stop(): Promise<void> {
    this.#stopping.abort();
    clearTimeout(this.#timer);
    this.#connection?.close();
  }

  /** Ends the connection, so that another is made. */
  reconnect(): void {
    this.#connection?.close();
  }

  /** Sends a message; it is lost when no entry is connected. */
  send(message: Message): boolean {
    return this.#connection?.send(message) ?? false;
  }

  async #connect(): Promise<void> {
    const candidates = this.#init.candidates();
    if (candidates.length === 0) return this.#scheduleRetry();
    const address = candidates[this.#attempt % candidates.length];
    const dialledAt = performance.now();
    const outcome = await connect(address, this.#init.context, this.#stopping.signal);
    if (this.#stopping.signal.aborted) return outcome.ok ? outcome.value.close() : undefined;
    if (!outcome.ok) {
      this.#attempt++;
      return this.#scheduleRetry();
    }
    const connection = outcome.value;
    this.#connection = connection;
    this.#address = address;
    this.#attempt = 0;
    connection.onClose = () => this.#onClosed(connection);
    connection.onConfirmed = this.#init.onConfirmed ?? (() => {});
    this.#init.onOpen(address, dialledAt);
    connection.handleMessages(this.#init.onMessage);
  }

  #onClosed(connection: Connection): void {
    if (this.#connection !== connection) return;
    this.#connection = undefined;
    if (this.#stopping.signal.aborted) return;
    this.#attempt++;
    this.#scheduleRetry();
  }

  #scheduleRetry(): void {
    const wait = MIN_RETRY_DELAY + this.#init.random.fraction() * RETRY_JITTER;
    this.#timer = setTimeout(() => void this.#connect(), wait);
  }
}
