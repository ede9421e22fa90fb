/**
 * The stand-in for a model engine: an HTTP server that batches requests, streams answers as server-sent
 * events, and takes fenced orders. `GET /audit` tells what truly ran.
 */
import Router from '@koa/router';
import type Koa from 'koa';
import type { Startable } from '../../src/model/startable.js';
import { createApplication, delay, httpServer, readBody, readJson } from '../../src/server/http-server.js';
import type { EngineEmulatorSettings } from '../../src/settings/schemas.js';
import { Shedder } from '../shedder.js';
import { Batch, type EngineRequest, type RunningRequest } from './batch.js';
import { EngineWeights, type Fence } from './weights.js';

/** An order of the agent. */
interface Order {
  kind: 'load' | 'unload' | 'role';
  version: string;
  role?: string;
  fence: Fence;
}

/** A request in the shape of the OpenAI chat completions, with the engine's own additions. */
interface CompletionCall {
  request_id: string;
  version: string;
  model: string;
  messages: Array<{ role: string; content: string }>;
  max_tokens?: number;
  priority?: number;
  stream?: boolean;
}

/** What truly ran. */
export interface EngineRun {
  id: string;
  version: string;
  runs: number;
  /** When it last began, in milliseconds since 1970. */
  at: number;
  state: string;
  tokens: number;
}

const DEFAULT_MAX_TOKENS = 32;

/** Creates the stand-in. */
export function engineEmulator(settings: EngineEmulatorSettings): Startable {
  const engine = new EngineEmulator(settings);
  const server = httpServer(settings.listen, engine.callback());
  return {
    start: () => server.start(),
    async stop() {
      engine.stop();
      await server.stop();
    },
  };
}

class EngineEmulator {
  readonly #settings: EngineEmulatorSettings;
  readonly #weights: EngineWeights;
  readonly #batch: Batch;
  readonly #shedder: Shedder;
  readonly #runs = new Map<string, { runs: number; at: number }>();
  #role = 'serving';
  /** Loads of the past, so that an old one can be reported. */
  readonly #loadHistory: Array<{ at: number; active: number }> = [];
  readonly #sampler: NodeJS.Timeout;

  constructor(settings: EngineEmulatorSettings) {
    this.#settings = settings;
    this.#weights = new EngineWeights(settings.checksFences);
    this.#shedder = new Shedder(settings);
    this.#batch = new Batch({
      size: settings.batch,
      stepMilliseconds: settings.stepMilliseconds,
      prefillTokensPerMillisecond: settings.prefillTokensPerMillisecond,
      prefixCacheTokens: settings.prefixCacheTokens,
    });
    this.#sampler = setInterval(() => this.#sampleLoad(), 100);
  }

  stop(): void {
    clearInterval(this.#sampler);
    this.#batch.stop();
  }

  callback() {
    const router = new Router();
    router.get('/v1/state', (context) => {
      context.body = this.#state();
    });
    router.post('/v1/claims', async (context) => {
      const { epoch } = await readJson<{ epoch: number }>(context);
      context.status = this.#weights.claim(epoch) ? 200 : 409;
      context.body = this.#weights.fence;
    });
    router.put('/v1/weights/:version/chunks/:index', async (context) => {
      this.#weights.stage(context.params.version, Number(context.params.index), await readBody(context));
      context.status = 204;
    });
    router.post('/v1/orders', (context) => this.#order(context));
    router.post('/v1/chat/completions', (context) => this.#complete(context));
    router.get('/v1/requests/:id/stream', (context) => this.#resume(context));
    router.delete('/v1/requests/:id', (context) => {
      context.status = this.#batch.cancel(context.params.id) ? 204 : 404;
    });
    router.post('/v1/kv/export', (context) => this.#export(context));
    router.post('/v1/kv/import', (context) => this.#import(context));
    router.get('/v1/cache-events', (context) => {
      context.body = this.#cacheEvents(Number(context.query.since ?? 0));
    });
    router.get('/audit', (context) => {
      const { refused } = this.#shedder;
      context.body = { weights: this.#weights.audit, runs: this.#auditRuns(), refused };
    });
    const app = createApplication();
    app.use(router.routes());
    return app.callback();
  }

  #sampleLoad(): void {
    const now = performance.now();
    this.#loadHistory.push({ at: now, active: this.#batch.active });
    while (this.#loadHistory.length > 1 && this.#loadHistory[1].at <= now - this.#settings.loadReportLag) {
      this.#loadHistory.shift();
    }
  }

  #state() {
    const versions = [...this.#weights.versions.values()];
    const reported = this.#loadHistory[0]?.active ?? 0;
    return { versions, fence: this.#weights.fence, role: this.#role, active: reported };
  }

  async #order(context: Koa.Context): Promise<void> {
    const order = await readJson<Order>(context);
    if (!this.#weights.admits(order.fence)) {
      context.status = 409;
      context.body = { fence: this.#weights.fence };
      return;
    }
    context.body = { accepted: true };
    if (order.kind === 'unload') return this.#weights.unload(order.version);
    if (order.kind === 'role') {
      this.#role = order.role ?? this.#role;
      return;
    }
    this.#weights.beginLoad(order.version);
    setTimeout(() => this.#weights.endLoad(order.version), this.#settings.loadMilliseconds);
  }

  async #complete(context: Koa.Context): Promise<void> {
    const call = await readJson<CompletionCall>(context);
    if (this.#weights.serving(call.version) === undefined) {
      context.status = 409;
      context.body = { error: 'versionNotLoaded' };
      return;
    }
    if (this.#shedder.refuses(context)) return;
    const request: EngineRequest = {
      id: call.request_id,
      version: call.version,
      prompt: call.messages.flatMap((message) => message.content.split(/\s+/)),
      maxTokens: call.max_tokens ?? DEFAULT_MAX_TOKENS,
      priority: call.priority ?? 0,
    };
    this.#runs.set(request.id, { runs: (this.#runs.get(request.id)?.runs ?? 0) + 1, at: Date.now() });
    await this.#answer(context, this.#batch.add(request), call.stream === true, 0);
  }

  async #resume(context: Koa.Context): Promise<void> {
    const request = this.#batch.requests.get(context.params.id);
    if (request === undefined) {
      context.status = 404;
      return;
    }
    await this.#answer(context, request, true, Number(context.query.from ?? 0));
  }

  async #export(context: Koa.Context): Promise<void> {
    const { request_id } = await readJson<{ request_id: string }>(context);
    const request = this.#batch.requests.get(request_id);
    if (request === undefined) {
      context.status = 404;
      return;
    }
    const { id, version, prompt, maxTokens, priority, tokens } = request;
    context.body = { id, version, prompt, maxTokens, priority, tokens };
  }

  async #import(context: Koa.Context): Promise<void> {
    const { tokens, ...request } = await readJson<EngineRequest & { tokens: string[] }>(context);
    if (this.#weights.serving(request.version) === undefined) {
      context.status = 409;
      return;
    }
    this.#batch.add(request, tokens);
    context.status = 204;
  }

  async #answer(context: Koa.Context, request: RunningRequest, stream: boolean, from: number): Promise<void> {
    if (!stream) return this.#answerWhole(context, request);
    context.respond = false;
    const { res } = context;
    res.writeHead(200, { 'content-type': 'text/event-stream' });
    let sent = from;
    const push = () => {
      while (sent < request.tokens.length) res.write(this.#event(request, request.tokens[sent++], null));
      if (request.state === 'cancelled') res.destroy();
      if (request.state !== 'finished') return;
      res.write(this.#event(request, '', 'length'));
      res.end('data: [DONE]\n\n');
    };
    request.listeners.add(push);
    res.once('close', () => request.listeners.delete(push));
    push();
  }

  async #answerWhole(context: Koa.Context, request: RunningRequest): Promise<void> {
    while (request.state === 'queued' || request.state === 'running')
      await delay(this.#settings.stepMilliseconds);
    if (request.state === 'cancelled') {
      context.status = 499;
      return;
    }
    const message = { role: 'assistant', content: request.tokens.join('') };
    const { id, version } = request;
    const choices = [{ index: 0, message, finish_reason: 'length' }];
    context.body = { id, object: 'chat.completion', system_fingerprint: version, choices };
  }

  #event(request: RunningRequest, content: string, finishReason: string | null): string {
    const { id, version } = request;
    const choices = [{ index: 0, delta: { content }, finish_reason: finishReason }];
    const data = { id, object: 'chat.completion.chunk', system_fingerprint: version, choices };
    return `data: ${JSON.stringify(data)}\n\n`;
  }

  /** Cache events since `since`, some of them lost, the latest ones not out yet. */
  #cacheEvents(since: number) {
    const { cacheEventLoss, cacheEventLag } = this.#settings;
    const visibleUntil = performance.now() - cacheEventLag;
    return this.#batch.cache.events
      .filter(({ sequence, at }) => sequence > since && at <= visibleUntil)
      .filter(() => Math.random() >= cacheEventLoss);
  }

  #auditRuns(): EngineRun[] {
    return [...this.#runs].map(([id, { runs, at }]) => {
      const request = this.#batch.requests.get(id);
      const { version = '', state = 'forgotten', tokens = [] } = request ?? {};
      return { id, version, runs, at, state, tokens: tokens.length };
    });
  }
}
