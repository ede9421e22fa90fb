/**
 * A TCP relay in front of a server of a test. Its open connections can be made silent for good, without an end or a reset,
 * while new ones go on working.
 */
import { type AddressInfo, connect, createServer, type Server, type Socket } from 'node:net';

/** One relayed connection. */
interface Relayed {
  caller: Socket;
  server: Socket;
}

/** The relay, at a free port. */
export class SilentProxy {
  /** Connections accepted so far. */
  accepted = 0;
  readonly #open = new Set<Relayed>();
  readonly #target: string;
  #server: Server | undefined;

  /** @param target - `host:port` */
  constructor(target: string) {
    this.#target = target;
  }

  get address(): string {
    return `127.0.0.1:${(this.#server!.address() as AddressInfo).port}`;
  }

  /** Connections that are open at the callers' side, silent ones among them. */
  get open(): number {
    return this.#open.size;
  }

  async start(): Promise<this> {
    const server = createServer((caller) => this.#relay(caller));
    await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve));
    this.#server = server;
    return this;
  }

  /** Nothing passes over the connections that are open now, in either direction. */
  silence(): void {
    for (const { caller, server } of this.#open) {
      caller.unpipe(server);
      server.unpipe(caller);
      // Read and dropped, so that the end of the caller's side is still seen here.
      caller.resume();
      server.resume();
    }
  }

  async stop(): Promise<void> {
    for (const { caller, server } of this.#open) {
      caller.destroy();
      server.destroy();
    }
    await new Promise((resolve) => this.#server?.close(resolve));
  }

  #relay(caller: Socket): void {
    this.accepted++;
    const [host, port] = this.#target.split(':');
    const server = connect(Number(port), host);
    const relayed = { caller, server };
    this.#open.add(relayed);
    caller
      .on('error', () => {})
      .on('close', () => {
        this.#open.delete(relayed);
        server.destroy();
      });
    server.on('error', () => {}).on('close', () => caller.destroy());
    caller.pipe(server);
    server.pipe(caller);
  }
}
