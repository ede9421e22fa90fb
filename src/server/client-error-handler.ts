/**
 * Connections of an HTTP server from which nothing more can be read, as what came there is no request. What was asked there
 * before is still answered; then the connection closes.
 */
import type { Server, ServerResponse } from 'node:http';
import type { Duplex } from 'node:stream';

/** The connections of one server. */
export class ClientErrorHandler {
  readonly #failedSockets = new WeakSet<Duplex>();
  /** Responses that have not closed, in the order of their requests. */
  readonly #openResponses = new Set<ServerResponse>();

  /**
   * @param reject - ends a connection on which nothing is owed
   */
  constructor(server: Server, reject: (error: Error, socket: Duplex) => void) {
    server.on('request', (_request, response) => this.#add(response));
    server.on('clientError', (error, socket) => {
      this.#failedSockets.add(socket);
      if (!this.#closeAfterLastResponse(socket)) reject(error, socket);
    });
  }

  #add(response: ServerResponse): void {
    this.#openResponses.add(response);
    response.once('close', () => {
      this.#openResponses.delete(response);
      const { socket } = response.req;
      if (this.#failedSockets.has(socket) && !this.#closeAfterLastResponse(socket)) socket.destroy();
    });
  }

  /**
   * Tells the caller with the last answer that is owed on `socket` that the connection closes, where its head is still to be
   * written; returns false where none is owed.
   */
  #closeAfterLastResponse(socket: Duplex): boolean {
    const pending = [...this.#openResponses].filter(({ req }) => req.socket === socket && req.complete);
    const last = pending.at(-1);
    if (last === undefined) return false;
    if (!last.headersSent) last.shouldKeepAlive = false;
    return true;
  }
}
