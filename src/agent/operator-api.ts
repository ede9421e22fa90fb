/** The agent's HTTP API for operators: metrics, status, timeline and drain. */
import Router from '@koa/router';
import Koa from 'koa';
import type { TimelineEntry } from '../observability/timeline.js';

/** Sources and actions of the API. */
export interface OperatorApiComponents {
  metrics: () => Promise<string>;
  status: () => object;
  timeline: () => TimelineEntry[];
  drain: () => void;
}

/** Creates the API. */
export function operatorApi(components: OperatorApiComponents): Koa {
  const router = new Router();
  router.get('/metrics', async (context) => {
    context.type = 'text/plain; version=0.0.4';
    context.body = await components.metrics();
  });
  router.get('/status', (context) => {
    context.body = components.status();
  });
  router.get('/timeline', (context) => {
    context.body = components.timeline();
  });
  router.post('/drain', (context) => {
    components.drain();
    context.status = 202;
    context.body = { leaving: true };
  });
  const app = new Koa();
  app.use(router.routes());
  return app;
}
