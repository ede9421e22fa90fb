/**
 * A TCP proxy in front of a test's server. Its open connections can be made permanently silent, without FIN or RST, while new
 * ones keep working.
 */
import { type AddressInfo, connect, createServer, type Server, type Socket } from 'node:net';

/** One relayed connection. */
interface RelayedConnection {
  client: Socket;
  server: Socket;
}

/** The proxy, listening on a free port. */
export class SilentProxy {
  /** Connections accepted so far. */
  accepted = 0;
  readonly #open = new Set<RelayedConnection>();
  readonly #target: string;
  #server: Server | undefined;

  /** @param target - `host:port` */
  constructor(target: string) {
    this.#target = target;
  }

  get address(): string {
    return `127.0.0.1:${(this.#server!.address() as AddressInfo).port}`;
  }

  /** Number of connections open on the client side, including silent ones. */
  get open(): number {
    return this.#open.size;
  }

  async start(): Promise<this> {
    const server = createServer((client) => this.#relay(client));
    await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve));
    this.#server = server;
    return this;
  }

  /** Stops forwarding in both directions on the connections that are open now. */
  silence(): void {
    for (const { client, server } of this.#open) {
      client.unpipe(server);
      server.unpipe(client);
      // Data is read and discarded, so that the proxy still notices when the client closes its side.
      client.resume();
      server.resume();
    }
  }

  async stop(): Promise<void> {
    for (const { client, server } of this.#open) {
      client.destroy();
      server.destroy();
    }
    await new Promise((resolve) => this.#server?.close(resolve));
  }

  #relay(client: Socket): void {
    this.accepted++;
    const [host, port] = this.#target.split(':');
    const server = connect(Number(port), host);
    const relayed = { client, server };
    this.#open.add(relayed);
    client
      .on('error', () => {})
      .on('close', () => {
        this.#open.delete(relayed);
        server.destroy();
      });
    server.on('error', () => {}).on('close', () => client.destroy());
    client.pipe(server);
    server.pipe(client);
  }
}
