/**
 * Kept connections to one back end. The client library takes an answer without a length for whole when its connection is
 * reset, which it is not: whether a connection is being interrupted can be asked here while the library tells of an end.
 */
import { buildConnector, Pool } from 'undici';

/** Idle connections are kept this long where the back end says nothing, and at most, in milliseconds. */
const IDLE_TIME = 20_000;
const LONGEST_IDLE_TIME = 60_000;
/** Time after which the client library gives a new connection up; requests give up sooner. */
const CONNECT_LIMIT = 1_500;
/** Most connections; what is in flight bounds them further. */
const MOST_CONNECTIONS = 128;

/** The connections. */
export class BackEndConnections {
  readonly pool: Pool;
  #isInterrupted = false;

  /** @param address - `host:port` */
  constructor(address: string) {
    const connector = buildConnector({ timeout: CONNECT_LIMIT });
    this.pool = new Pool(`http://${address}`, {
      connections: MOST_CONNECTIONS,
      pipelining: 1,
      keepAliveTimeout: IDLE_TIME,
      keepAliveMaxTimeout: LONGEST_IDLE_TIME,
      headersTimeout: 0,
      bodyTimeout: 0,
      connect: (options, callback) =>
        connector(options, (error, socket) => {
          if (socket === null || error !== null) return callback(error as Error, null);
          socket.prependListener('error', () => this.#noteInterruption());
          callback(null, socket);
        }),
    });
  }

  /** True while the library handles the error of a connection: an answer that ends now is not whole. */
  get isInterrupted(): boolean {
    return this.#isInterrupted;
  }

  /** Idle connections close at once; requests in flight end first. */
  async close(): Promise<void> {
    await this.pool.close();
  }

  async destroy(): Promise<void> {
    await this.pool.destroy();
  }

  /** All listeners of an error run before the next tick. */
  #noteInterruption(): void {
    this.#isInterrupted = true;
    process.nextTick(() => {
      this.#isInterrupted = false;
    });
  }
}
