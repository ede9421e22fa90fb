/**
 * One connection to a back end, for one request at a time. It tracks whether anything was received since the latest
 * request was sent, because a kept connection may be dead without having been closed or reset, while new connections
 * work.
 */
import type { Socket } from 'node:net';
import { Client, type Dispatcher } from 'undici';
import { CONNECTION_RESET, resetAwareConnector } from '../clients/reset-aware-connector.js';

/** Time for which an idle connection is kept if the back end does not specify one, and its upper bound, in milliseconds. */
const IDLE_TIME = 20_000;
const MAX_IDLE_TIME = 60_000;
/** Timeout of the client library for opening a connection, in milliseconds; requests time out earlier. */
const CONNECT_TIMEOUT = 1_500;

/** How a back end ended a connection that this process did not close: unannounced, or by accepting none. */
export type ConnectionLoss = 'closed' | 'refused';

/** Error codes of connections that the other side has closed or reset. */
const CLOSED_CODES: ReadonlySet<string | undefined> = new Set(['UND_ERR_SOCKET', CONNECTION_RESET, 'EPIPE']);
const REFUSED_CODE = 'ECONNREFUSED';

/** Callbacks for the state changes of a connection. */
export interface BackEndConnectionListener {
  /** The connection can take another request. */
  onIdle(connection: BackEndConnection): void;
  /** The connection has closed, could not be opened or takes no further requests. */
  onClosed(connection: BackEndConnection): void;
  /** The back end has closed the connection unannounced, or refused it. */
  onLost(loss: ConnectionLoss): void;
}

/** A connection that is opened by its first request. */
export class BackEndConnection {
  readonly #client: Client;
  readonly #listener: BackEndConnectionListener;
  #socket: Socket | undefined;
  #requests = 0;
  #bytesReadBefore = 0;
  #bytesSentBefore = 0;
  #idleSince = Number.NEGATIVE_INFINITY;

  /** @param address - `host:port` */
  constructor(address: string, listener: BackEndConnectionListener) {
    this.#listener = listener;
    this.#client = new Client(`http://${address}`, {
      pipelining: 1,
      keepAliveTimeout: IDLE_TIME,
      keepAliveMaxTimeout: MAX_IDLE_TIME,
      headersTimeout: 0,
      bodyTimeout: 0,
      connect: resetAwareConnector(CONNECT_TIMEOUT, (socket) => {
        this.#socket = socket;
      }),
    });
    this.#client.on('drain', () => this.#onFree());
    this.#client.on('disconnect', (_origin, _targets, { code }) => {
      this.#onDisconnected();
      if (CLOSED_CODES.has(code)) listener.onLost('closed');
    });
    this.#client.on('connectionError', (_origin, _targets, { code }) => {
      listener.onClosed(this);
      if (code === REFUSED_CODE) listener.onLost('refused');
    });
  }

  /** When the connection last became idle, in milliseconds of the monotonic clock. At that time it was still working. */
  get idleSince(): number {
    return this.#idleSince;
  }

  /** Whether the connection was used before the latest request and nothing has been received since that was sent. */
  get isSilent(): boolean {
    return (
      this.#requests > 1 && this.#socket !== undefined && this.#socket.bytesRead === this.#bytesReadBefore
    );
  }

  /** Number of requests sent on this connection so far. */
  get requests(): number {
    return this.#requests;
  }

  /** Port of this process; undefined before the connection is open. */
  get localPort(): number | undefined {
    return this.#socket?.localPort;
  }

  /** Sends a request. No other request may be in progress. */
  dispatch(options: Dispatcher.DispatchOptions, handler: Dispatcher.DispatchHandler): void {
    this.#requests++;
    this.#bytesReadBefore = this.#socket?.bytesRead ?? 0;
    this.#bytesSentBefore = this.#socket?.bytesWritten ?? 0;
    this.#client.dispatch(options, handler);
    // A request that the library rejects ends at once, without an event of the connection.
    if (this.#isFree) queueMicrotask(() => this.#onFree());
  }

  /** Takes no further requests; closes once the request in progress has ended. */
  retire(): void {
    this.#listener.onClosed(this);
  }

  /** Closes the connection once the request in progress has ended. */
  async close(): Promise<void> {
    if (!this.#client.closed) await this.#client.close();
  }

  async destroy(): Promise<void> {
    if (!this.#client.destroyed) await this.#client.destroy();
  }

  get #isFree(): boolean {
    return this.#client.stats.size === 0;
  }

  /**
   * If the request was sent, it has ended or was aborted. The client is then destroyed: after an abort, the library
   * would otherwise open a new connection before it finds that there is nothing left to send. A request that was not
   * sent yet is sent by the library on a new connection.
   */
  #onDisconnected(): void {
    const isSent = this.#socket !== undefined && this.#socket.bytesWritten > this.#bytesSentBefore;
    if (isSent) void this.destroy().catch(() => {});
    this.#listener.onClosed(this);
  }

  #onFree(): void {
    if (!this.#isFree || this.#client.closed) return;
    const isOpen = this.#socket !== undefined && !this.#socket.destroyed;
    if (!isOpen) return this.#listener.onClosed(this);
    this.#idleSince = performance.now();
    this.#listener.onIdle(this);
  }
}
