/**
 * Handles requests that are answered before their body has been read. The rest of the body is read and discarded within bounds.
 * The connection can then take the next request; or it is closed without a reset, which could destroy the answer before the
 * caller has read it.
 */
import type { IncomingMessage, Server, ServerResponse } from 'node:http';
import { Socket } from 'node:net';

/** Bounds of what is discarded of one body. */
export interface DiscardLimits {
  bytes: number;
  /** Time since the answer, in milliseconds. */
  time: number;
}

/** Above the size of the bodies that deployments allow, and above the time that such a body takes on a slow link. */
const DISCARD_LIMITS: DiscardLimits = { bytes: 8_388_608, time: 30_000 };

/** How the rest of a body ended. */
export type RemainderOutcome = 'discarded' | 'tooLong' | 'tooSlow' | 'brokenOff';

/** Whether the rest of a body is known to exceed what is discarded, so that its connection cannot take another request. */
export function isRemainderTooLong({ headers, complete }: IncomingMessage): boolean {
  return !complete && Number(headers['content-length'] ?? 0) > DISCARD_LIMITS.bytes;
}

/** The requests of one server that are answered before their body has been read. */
export class RequestRemainders {
  readonly #counts: Record<RemainderOutcome, number> = { discarded: 0, tooLong: 0, tooSlow: 0, brokenOff: 0 };
  readonly #limits: DiscardLimits;

  constructor(server: Server, limits = DISCARD_LIMITS) {
    this.#limits = limits;
    server.on('request', (request, response) => this.#watch(request, response));
  }

  /** Rests of bodies since the start, by how they ended. */
  get counts(): Readonly<Record<RemainderOutcome, number>> {
    return this.#counts;
  }

  #watch(request: IncomingMessage, response: ServerResponse): void {
    const { socket } = request;
    // Before the listener of Node's server, which removes the listeners of a request that nobody has read.
    response.prependOnceListener('finish', () => {
      if (!request.complete || request.readableLength > 0) this.#discard(request);
    });
    // Node's server calls this after an answer with `Connection: close`.
    socket.destroySoon = () => {
      if (request.complete || request.destroyed) return Socket.prototype.destroySoon.call(socket);
      socket.end();
      request.once('close', () => socket.destroy());
    };
  }

  #discard(request: IncomingMessage): void {
    const { socket } = request;
    let outcome: RemainderOutcome = 'discarded';
    let bytes = 0;
    const breakOff = (reason: RemainderOutcome) => {
      outcome = reason;
      socket.destroy();
    };
    const timer = setTimeout(() => breakOff('tooSlow'), this.#limits.time);
    timer.unref();
    request.removeAllListeners('data');
    request.on('data', (part: Buffer) => {
      bytes += part.byteLength;
      if (bytes > this.#limits.bytes) breakOff('tooLong');
    });
    const end = () => {
      clearTimeout(timer);
      request.off('close', end);
      socket.off('close', end);
      if (outcome === 'discarded' && !request.complete) outcome = 'brokenOff';
      this.#counts[outcome]++;
    };
    // Node does not tell a request that has been answered that its connection has closed.
    request.once('close', end);
    socket.once('close', end);
    request.on('error', () => {});
    // Marks the request as read.
    request.read();
    request.resume();
  }
}
