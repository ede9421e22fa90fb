/** An HTTP server on a given address that can be stopped at once. */
import { createServer, type RequestListener, type Server } from 'node:http';
import type Router from '@koa/router';
import Koa from 'koa';
import type { Startable } from '../model/startable.js';

/** Creates a server of `handler` at `address` (`host:port`). */
export function httpServer(address: string, handler: RequestListener): Startable {
  let server: Server | undefined;
  return {
    async start() {
      const [host, port] = address.split(':');
      const created = createServer(handler);
      await new Promise<void>((resolve, reject) => {
        created.once('error', reject);
        created.listen(Number(port), host, resolve);
      });
      server = created;
    },
    async stop() {
      server?.closeAllConnections();
      await new Promise<void>((resolve) =>
        server === undefined ? resolve() : server.close(() => resolve()),
      );
      server = undefined;
    },
  };
}

/** Creates a koa application that answers every failure of a handler with status 500 and its text. */
export function application(): Koa {
  const app = new Koa();
  app.silent = true;
  return app;
}

/** What answers requests by the routes of `router`. */
export function listenerOf(router: Router): RequestListener {
  const app = application();
  app.use(router.routes());
  return app.callback();
}

/** Reads the whole body of a request. */
export async function readBody(context: Koa.Context): Promise<Buffer> {
  const parts: Buffer[] = [];
  for await (const part of context.req) parts.push(part as Buffer);
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
