/**
 * Handles connections of an HTTP server on which a malformed request arrived. Earlier requests on the connection are still
 * answered; then the connection closes.
 */
import type { Server, ServerResponse } from 'node:http';
import type { Duplex } from 'node:stream';
import { PendingResponses } from './pending-responses.js';

/** Handles the client errors of one server. */
export class ClientErrorHandler {
  readonly #failedSockets = new WeakSet<Duplex>();
  readonly #pending: PendingResponses;

  /**
   * @param reject - closes a connection that has no pending response
   */
  constructor(server: Server, reject: (error: Error, socket: Duplex) => void) {
    this.#pending = new PendingResponses(server);
    server.on('request', (_request, response) => this.#add(response));
    server.on('clientError', (error, socket) => {
      this.#failedSockets.add(socket);
      if (!this.#announceClose(socket)) reject(error, socket);
    });
  }

  #add(response: ServerResponse): void {
    response.once('close', () => {
      const { socket } = response.req;
      if (this.#failedSockets.has(socket) && !this.#announceClose(socket)) socket.destroy();
    });
  }

  /**
   * Sends `Connection: close` with the last pending response on `socket`, unless its headers have been sent. Returns false if
   * no response is pending.
   */
  #announceClose(socket: Duplex): boolean {
    const last = this.#pending.of(socket).findLast(({ req }) => req.complete);
    if (last === undefined) return false;
    if (!last.headersSent) last.shouldKeepAlive = false;
    return true;
  }
}
