/** Serves the metrics of a process. */
import Router from '@koa/router';
import type { Startable } from '../model/startable.js';
import { createRequestListener, httpServer } from '../server/http-server.js';
import type { Metrics } from './metrics.js';

/** Creates a server of `metrics` at `address` (`host:port`) and `path`. */
export function metricsServer(address: string, path: string, metrics: Metrics): Startable {
  const router = new Router();
  router.get(path, async (context) => {
    context.type = 'text/plain; version=0.0.4';
    context.body = await metrics.text();
  });
  return httpServer(address, createRequestListener(router));
}
