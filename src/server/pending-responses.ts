/** The responses of a server that have not been closed, by connection: callers may send a request before the answer to another. */
import type { Server, ServerResponse } from 'node:http';
import type { Duplex } from 'node:stream';

export class PendingResponses {
  readonly #bySocket = new WeakMap<Duplex, Set<ServerResponse>>();

  constructor(server: Server) {
    // Before the listener that handles requests, which may answer at once.
    server.prependListener('request', (_request, response) => this.#add(response));
  }

  /** The pending responses of a connection, in the order of their requests. */
  of(socket: Duplex): readonly ServerResponse[] {
    return [...(this.#bySocket.get(socket) ?? [])];
  }

  /** Whether no further request has been read on the connection of `response`. */
  isLast(response: ServerResponse): boolean {
    const last = this.of(response.req.socket).at(-1);
    return last === undefined || last === response;
  }

  #add(response: ServerResponse): void {
    const { socket } = response.req;
    const pending = this.#bySocket.get(socket) ?? new Set();
    this.#bySocket.set(socket, pending.add(response));
    response.once('close', () => pending.delete(response));
  }
}
