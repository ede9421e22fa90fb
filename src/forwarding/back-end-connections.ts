/** Connections to one back end. */
import type { Dispatcher } from 'undici';
import { BackEndConnection, type ConnectionLoss } from './back-end-connection.js';

/** Maximum number of connections. The number of requests in flight is limited separately. */
const MAX_CONNECTIONS = 128;

/** The connections to one back end. */
export class BackEndConnections {
  readonly #address: string;
  readonly #all = new Set<BackEndConnection>();
  /**
   * Idle connections, the most recently used last. That one is used first, so that surplus connections reach their
   * idle timeout.
   */
  #idle: BackEndConnection[] = [];
  #isClosed = false;
  readonly #maxKept: () => number;
  readonly #onLost: (loss: ConnectionLoss) => void;

  /**
   * @param address - `host:port`
   * @param maxKept - maximum number of connections above which one that becomes idle is closed; called each time
   * @param onLost - called for each connection that the back end closes unannounced or refuses
   */
  constructor(
    address: string,
    maxKept: () => number = () => MAX_CONNECTIONS,
    onLost: (loss: ConnectionLoss) => void = () => {},
  ) {
    this.#address = address;
    this.#maxKept = maxKept;
    this.#onLost = onLost;
  }

  /**
   * Sends a request over an idle or new connection and returns the connection. Returns undefined without calling the
   * handler if no more connections are allowed.
   * @param excluded - connections that must not be used
   */
  dispatch(
    options: Dispatcher.DispatchOptions,
    handler: Dispatcher.DispatchHandler,
    excluded: ReadonlySet<BackEndConnection> = new Set(),
  ): BackEndConnection | undefined {
    const connection = this.#takeIdle(excluded) ?? this.#open();
    connection?.dispatch(options, handler);
    return connection;
  }

  /** Closes connections that have been idle since `time` or earlier, in milliseconds of the monotonic clock. */
  closeIdleSince(time: number): void {
    const suspect = this.#idle.filter(({ idleSince }) => idleSince <= time);
    this.#idle = this.#idle.filter(({ idleSince }) => idleSince > time);
    for (const connection of suspect) this.#discard(connection);
  }

  /** Closes idle connections at once and the others when their requests have ended. */
  async close(): Promise<void> {
    this.#isClosed = true;
    await Promise.all([...this.#all].map((connection) => connection.close()));
  }

  async destroy(): Promise<void> {
    this.#isClosed = true;
    await Promise.all([...this.#all].map((connection) => connection.destroy()));
  }

  #takeIdle(excluded: ReadonlySet<BackEndConnection>): BackEndConnection | undefined {
    const index = this.#idle.findLastIndex((connection) => !excluded.has(connection));
    return index < 0 ? undefined : this.#idle.splice(index, 1)[0];
  }

  #open(): BackEndConnection | undefined {
    if (this.#isClosed || this.#all.size >= MAX_CONNECTIONS) return undefined;
    const connection = new BackEndConnection(this.#address, {
      onIdle: (idle) => this.#keep(idle),
      onClosed: (closed) => this.#discard(closed),
      onLost: (loss) => this.#onLost(loss),
    });
    this.#all.add(connection);
    return connection;
  }

  #keep(connection: BackEndConnection): void {
    if (!this.#all.has(connection) || this.#idle.includes(connection)) return;
    if (this.#all.size > this.#maxKept()) this.#discard(connection);
    else this.#idle.push(connection);
  }

  #discard(connection: BackEndConnection): void {
    this.#all.delete(connection);
    this.#idle = this.#idle.filter((idle) => idle !== connection);
    void connection.close().catch(() => {});
  }
}
