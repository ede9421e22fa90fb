/**
 * Kept connections to one back end. The client library takes an answer without a length for whole when its connection is
 * reset, which it is not: whether a connection is being interrupted can be asked here while the library tells of an end.
 */
import type { Dispatcher } from 'undici';
import { BackEndConnection } from './back-end-connection.js';

/** Most connections; what is in flight bounds them further. */
const MOST_CONNECTIONS = 128;

/** The connections. */
export class BackEndConnections {
  readonly #address: string;
  readonly #all = new Set<BackEndConnection>();
  /** The latest used last: it is taken first, so that those that are not needed close. */
  #idle: BackEndConnection[] = [];
  #isInterrupted = false;
  #isClosed = false;
  readonly #mostKept: () => number;

  /**
   * @param address - `host:port`
   * @param mostKept - with more connections than this, one that is free is closed; asked at each
   */
  constructor(address: string, mostKept: () => number = () => MOST_CONNECTIONS) {
    this.#address = address;
    this.#mostKept = mostKept;
  }

  /** True while the library handles the error of a connection: an answer that ends now is not whole. */
  get isInterrupted(): boolean {
    return this.#isInterrupted;
  }

  /**
   * Sends a request over an idle connection or a new one; returns it, or undefined, without a word to the handler, where
   * no more are allowed.
   */
  dispatch(
    options: Dispatcher.DispatchOptions,
    handler: Dispatcher.DispatchHandler,
  ): BackEndConnection | undefined {
    const connection = this.#idle.pop() ?? this.#open();
    connection?.dispatch(options, handler);
    return connection;
  }

  /** Closes connections that have been idle since `time` or longer, in milliseconds of the steady clock. */
  closeIdleSince(time: number): void {
    const suspect = this.#idle.filter(({ idleSince }) => idleSince <= time);
    this.#idle = this.#idle.filter(({ idleSince }) => idleSince > time);
    for (const connection of suspect) this.#discard(connection);
  }

  /** Idle connections close at once; requests in flight end first. */
  async close(): Promise<void> {
    this.#isClosed = true;
    await Promise.all([...this.#all].map((connection) => connection.close()));
  }

  async destroy(): Promise<void> {
    this.#isClosed = true;
    await Promise.all([...this.#all].map((connection) => connection.destroy()));
  }

  #open(): BackEndConnection | undefined {
    if (this.#isClosed || this.#all.size >= MOST_CONNECTIONS) return undefined;
    const connection = new BackEndConnection(this.#address, {
      onIdle: (idle) => this.#keep(idle),
      onClosed: (closed) => this.#discard(closed),
      onInterruption: () => this.#noteInterruption(),
    });
    this.#all.add(connection);
    return connection;
  }

  #keep(connection: BackEndConnection): void {
    if (!this.#all.has(connection) || this.#idle.includes(connection)) return;
    if (this.#all.size > this.#mostKept()) this.#discard(connection);
    else this.#idle.push(connection);
  }

  #discard(connection: BackEndConnection): void {
    this.#all.delete(connection);
    this.#idle = this.#idle.filter((idle) => idle !== connection);
    void connection.close().catch(() => {});
  }

  /** All listeners of an error run before the next tick. */
  #noteInterruption(): void {
    this.#isInterrupted = true;
    process.nextTick(() => {
      this.#isInterrupted = false;
    });
  }
}
