/**
 * A connection from an agent to an entry that is re-established when it is lost. The next entry in the agent's order is
 * tried after a short random delay, so that the agents of a failed entry do not all reconnect at the same time.
 */
import type { Random } from '../model/random.js';
import type { Startable } from '../model/startable.js';
import { type Connection, type ConnectionContext, connect } from '../protocol/connection.js';
import type { Message } from '../protocol/messages.js';

/** Minimum delay before the next attempt to connect, in milliseconds. */
const MIN_RETRY_DELAY = 100;
/** Upper bound of the random time added to it, in milliseconds. */
const RETRY_JITTER = 400;

/** Parameters of a link. */
export interface EntryLinkInit {
  context: ConnectionContext;
  random: Random;
  /** Addresses of the entries to try, in order of preference; called for each attempt. */
  candidates: () => string[];
  /** Called when a connection is open, before its first message; `dialledAt` is the time at which the attempt began. */
  onOpen: (address: string, dialledAt: number) => void;
  onMessage: (message: Message) => void;
  /** Called when the entry has answered a heartbeat that was sent at the given time. */
  onConfirmed?: (sentAt: number) => void;
}

/** A connection to one of several entries. */
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

  /** Address of the connected entry, if any. */
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

  /** Closes the connection, so that another one is opened. */
  reconnect(): void {
    this.#connection?.close();
  }

  /** Sends a message. Returns false if no entry is connected; the message is then dropped. */
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
    connection.onPong = this.#init.onConfirmed ?? (() => {});
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
