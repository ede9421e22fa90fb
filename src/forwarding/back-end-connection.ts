/**
 * One connection to a back end, for one request at a time. It knows whether anything has come on it since a request was
 * sent: a kept connection may have gone silent for good, without an end or a reset, while new ones work.
 */
import type { Socket } from 'node:net';
import { buildConnector, Client, type Dispatcher } from 'undici';

/** Idle connections are kept this long where the back end says nothing, and at most, in milliseconds. */
const IDLE_TIME = 20_000;
const LONGEST_IDLE_TIME = 60_000;
/** Time after which the client library gives a new connection up, in milliseconds; requests give up sooner. */
const CONNECT_LIMIT = 1_500;

const connector = buildConnector({ timeout: CONNECT_LIMIT });

/** What becomes of a connection. */
export interface BackEndConnectionListener {
  /** It can take a request again. */
  onIdle(connection: BackEndConnection): void;
  /** It is closed, or was never there. */
  onClosed(connection: BackEndConnection): void;
  /** It breaks: while the library handles this, an answer that ends is not whole. */
  onInterruption(): void;
}

/** A connection, which opens with its first request. */
export class BackEndConnection {
  readonly #client: Client;
  readonly #listener: BackEndConnectionListener;
  #socket: Socket | undefined;
  #requests = 0;
  #bytesBefore = 0;
  #bytesSentBefore = 0;
  #idleSince = Number.NEGATIVE_INFINITY;

  /** @param address - `host:port` */
  constructor(address: string, listener: BackEndConnectionListener) {
    this.#listener = listener;
    this.#client = new Client(`http://${address}`, {
      pipelining: 1,
      keepAliveTimeout: IDLE_TIME,
      keepAliveMaxTimeout: LONGEST_IDLE_TIME,
      headersTimeout: 0,
      bodyTimeout: 0,
      connect: (options, callback) =>
        connector(options, (error, socket) => {
          if (socket === null || error !== null) return callback(error as Error, null);
          this.#socket = socket as Socket;
          socket.prependListener('error', () => listener.onInterruption());
          callback(null, socket);
        }),
    });
    this.#client.on('drain', () => this.#onFree());
    this.#client.on('disconnect', () => this.#onDisconnected());
    this.#client.on('connectionError', () => listener.onClosed(this));
  }

  /** Since when it has been idle, in milliseconds of the steady clock; then something came on it last. */
  get idleSince(): number {
    return this.#idleSince;
  }

  /** True where it had served a request before the latest, and nothing has come on it since that was sent. */
  get isSilent(): boolean {
    return this.#requests > 1 && this.#socket !== undefined && this.#socket.bytesRead === this.#bytesBefore;
  }

  /** Sends a request; there is no other in progress. */
  dispatch(options: Dispatcher.DispatchOptions, handler: Dispatcher.DispatchHandler): void {
    this.#requests++;
    this.#bytesBefore = this.#socket?.bytesRead ?? 0;
    this.#bytesSentBefore = this.#socket?.bytesWritten ?? 0;
    this.#client.dispatch(options, handler);
    // A request that the library does not take ends at once, without another word of the connection.
    if (this.#isFree) queueMicrotask(() => this.#onFree());
  }

  /** Closes once the request in progress has ended. */
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
   * A request that went out has ended, or was given up: for one that was given up the library would open a new connection
   * before it finds that nothing is left to send. One that has not gone out does so on a new connection.
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
