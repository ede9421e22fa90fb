/**
 * Handles connections of an HTTP server on which a malformed request arrived. Earlier requests on the connection are still
 * answered; then the connection closes.
 */
import type { Server, ServerResponse } from 'node:http';
import type { Duplex } from 'node:stream';

/** Handles the client errors of one server. */
export class ClientErrorHandler {
  readonly #failedSockets = new WeakSet<Duplex>();
  /** Responses that have not been closed, in the order of their requests. */
  readonly #responses = new Set<ServerResponse>();

  /**
   * @param reject - closes a connection that has no pending response
   */
  constructor(server: Server, reject: (error: Error, socket: Duplex) => void) {
    server.on('request', (_request, response) => this.#add(response));
    server.on('clientError', (error, socket) => {
      this.#failedSockets.add(socket);
      if (!this.#announceClose(socket)) reject(error, socket);
    });
  }

  #add(response: ServerResponse): void {
    this.#responses.add(response);
    response.once('close', () => {
      this.#responses.delete(response);
      const { socket } = response.req;
      if (this.#failedSockets.has(socket) && !this.#announceClose(socket)) socket.destroy();
    });
  }

  /**
   * Sends `Connection: close` with the last pending response on `socket`, unless its headers have been sent. Returns false if
   * no response is pending.
   */
  #announceClose(socket: Duplex): boolean {
    const pending = [...this.#responses].filter(({ req }) => req.socket === socket && req.complete);
    const last = pending.at(-1);
    if (last === undefined) return false;
    if (!last.headersSent) last.shouldKeepAlive = false;
    return true;
  }
}
