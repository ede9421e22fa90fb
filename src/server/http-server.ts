/** HTTP servers that can be stopped immediately, and helpers for their handlers. */
import { createServer, type RequestListener, type Server, STATUS_CODES } from 'node:http';
import type { Duplex } from 'node:stream';
import type Router from '@koa/router';
import Koa from 'koa';
import type { Startable } from '../model/startable.js';
import { ClientErrorHandler } from './client-error-handler.js';
import { closeIdleConnectionsOnceRead } from './idle-connections.js';
import { listen } from './listen.js';
import { RequestRemainders } from './request-remainders.js';
import { socketsRead } from './sockets-read.js';

const BAD_REQUEST = 400;
const BODY_TOO_LARGE = 413;
/** Largest body of a request that is kept, in bytes: what one frame between processes holds. */
export const MAX_BODY_BYTES = 83_886_080;
/** Statuses for errors of Node's HTTP parser, as in the default error handling of Node's server. */
const STATUS_OF_ERROR: Readonly<Record<string, number>> = {
  HPE_HEADER_OVERFLOW: 431,
  HPE_CHUNK_EXTENSIONS_OVERFLOW: 413,
  ERR_HTTP_REQUEST_TIMEOUT: 408,
};

/** Creates a server of `handler` at `address` (`host:port`). */
export function httpServer(address: string, handler: RequestListener): Startable {
  let server: Server | undefined;
  return {
    async start() {
      const created = createServer(handler);
      new ClientErrorHandler(created, rejectMalformedRequest);
      closeIdleConnectionsOnceRead(created);
      new RequestRemainders(created);
      await listen(created, address);
      server = created;
    },
    async stop() {
      if (server === undefined) return;
      const stopping = server;
      server = undefined;
      // Requests that have arrived are read, and get an answer if that takes no time.
      await socketsRead();
      const closed = new Promise<void>((resolve) => stopping.close(() => resolve()));
      stopping.closeAllConnections();
      await closed;
    },
  };
}

/** Answers a malformed request like the default error handling of Node's server, and closes the connection. */
function rejectMalformedRequest(error: Error & { code?: string }, socket: Duplex): void {
  const status = STATUS_OF_ERROR[error.code ?? ''] ?? BAD_REQUEST;
  if (socket.writable)
    socket.write(`HTTP/1.1 ${status} ${STATUS_CODES[status]}\r\nConnection: close\r\n\r\n`);
  socket.destroy(error);
}

/** Creates a Koa application that does not print errors of handlers; Koa answers them with status 500. */
export function createApplication(): Koa {
  const app = new Koa();
  app.silent = true;
  return app;
}

/** Creates a request listener for the routes of `router`. */
export function createRequestListener(router: Router): RequestListener {
  const app = createApplication();
  app.use(router.routes());
  return app.callback();
}

/** Reads the whole body of a request; one that is longer than {@link MAX_BODY_BYTES} is answered with status 413. */
export async function readBody(context: Koa.Context): Promise<Buffer> {
  const parts: Buffer[] = [];
  let bytes = 0;
  // The request is not destroyed with the loop, so that its answer can be written.
  for await (const part of context.req.iterator({ destroyOnReturn: false })) {
    bytes += (part as Buffer).byteLength;
    if (bytes > MAX_BODY_BYTES) context.throw(BODY_TOO_LARGE, `body of more than ${MAX_BODY_BYTES} bytes`);
    parts.push(part as Buffer);
  }
  return Buffer.concat(parts);
}

/** Reads the body of a request as JSON. */
export async function readJson<T>(context: Koa.Context): Promise<T> {
  return JSON.parse((await readBody(context)).toString('utf8')) as T;
}

/** Waits for `milliseconds`. */
export function delay(milliseconds: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, milliseconds));
}
