/**
 * Connections of an HTTP server from which nothing more can be read, as what came there is no request. What was asked there
 * before is still answered; then the connection closes.
 */
import type { Server, ServerResponse } from 'node:http';
import type { Duplex } from 'node:stream';

/** The connections of one server. */
export class UnreadableConnections {
  readonly #unreadable = new WeakSet<Duplex>();
  /** Responses that have not closed, in the order of their requests. */
  readonly #responses = new Set<ServerResponse>();

  /**
   * @param reject - ends a connection on which nothing is owed
   */
  constructor(server: Server, reject: (error: Error, socket: Duplex) => void) {
    server.on('request', (_request, response) => this.#add(response));
    server.on('clientError', (error, socket) => {
      this.#unreadable.add(socket);
      if (!this.#announceClose(socket)) reject(error, socket);
    });
  }

  #add(response: ServerResponse): void {
    this.#responses.add(response);
    response.once('close', () => {
      this.#responses.delete(response);
      const { socket } = response.req;
      if (this.#unreadable.has(socket) && !this.#announceClose(socket)) socket.destroy();
    });
  }

  /**
   * Tells the caller with the last answer that is owed on `socket` that the connection closes, where its head is still to be
   * written; returns false where none is owed.
   */
  #announceClose(socket: Duplex): boolean {
    const owed = [...this.#responses].filter(({ req }) => req.socket === socket && req.complete);
    const last = owed.at(-1);
    if (last === undefined) return false;
    if (!last.headersSent) last.shouldKeepAlive = false;
    return true;
  }
}
