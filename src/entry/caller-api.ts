/**
 * HTTP API for callers: OpenAI-compatible chat completions for models, pass-through for services, and discovery of
 * entries. The header `x-thistleway-tenant` names the tenant.
 */
import Router from '@koa/router';
import type Koa from 'koa';
import type { Result } from '../model/result.js';
import type { EntryInfo } from '../protocol/messages.js';
import type { ModelDeployment, Service } from '../resources/schemas.js';
import { readBody } from '../server/http-server.js';
import type { AdmissionRefusal } from '../systems/admission.js';
import type { Admission } from './admission.js';
import type { AnswerSink } from './attempt.js';
import type { CallRouter, RoutedCall } from './call-router.js';
import type { Configuration } from './configuration.js';
import { discover } from './discovery.js';
import { CALL_ERROR_STATUS, type CallError } from './errors.js';
import type { NonRepeatableRouter } from './non-repeatable-router.js';

const TENANT_HEADER = 'x-thistleway-tenant';
/** Header with the caller's time limit for the complete answer, in milliseconds. */
const DEADLINE_HEADER = 'x-thistleway-deadline';
/** Headers of non-repeatable calls: key, attempt number from 1, and milliseconds since the first attempt. */
const KEY_HEADER = 'idempotency-key';
const ATTEMPT_HEADER = 'idempotency-attempt';
const ELAPSED_HEADER = 'idempotency-elapsed';
const MAX_KEY_LENGTH = 200;
/** Retry delay returned to callers refused by admission, in milliseconds. */
const ADMISSION_RETRY_AFTER: Record<AdmissionRefusal, number> = {
  tenantLimit: 1_000,
  entryFull: 1_000,
  shed: 2_000,
  queueTime: 2_000,
};
/** Retry delay returned by an entry that has no configuration yet, in milliseconds. */
const NOT_CONFIGURED_RETRY_AFTER = 1_000;
/** Minimum prompt length for prefix-cache affinity, and the maximum number of characters compared. */
const MIN_PREFIX_CHARACTERS = 256;
const MAX_PREFIX_CHARACTERS = 1_024;
/** Abort reason for a disconnected caller. Shared, since creating an error per request costs as much as routing it. */
const CALLER_DISCONNECTED = new Error('the caller has gone');
const SAFE_METHODS = new Set(['GET', 'HEAD']);

export interface CallerApiComponents {
  configuration: Configuration;
  router: CallRouter;
  nonRepeatableRouter: NonRepeatableRouter;
  self: () => EntryInfo;
  /** All known entries, including this one. */
  entries: () => EntryInfo[];
  addressLifetimeSeconds: number;
  defaultDeadline: number;
  admission: Admission;
}

/** A request with the attributes that admission control uses. */
interface AdmittedCall extends RoutedCall {
  tenant: string;
  priority: number;
}

/** The caller-facing routes of one entry. */
export class CallerApi {
  readonly #components: CallerApiComponents;
  #inProgress = 0;

  constructor(components: CallerApiComponents) {
    this.#components = components;
  }

  /** Number of requests between arrival and the end of the answer, including those whose body is still being received. */
  get inProgress(): number {
    return this.#inProgress;
  }

  routes(): Router {
    const router = new Router();
    router.use((context, next) => this.#trackInProgress(context, next));
    router.use('/v1', (context, next) => this.#requireConfiguration(context, next));
    router.use('/services', (context, next) => this.#requireConfiguration(context, next));
    router.get('/v1/entries', (context) => this.#discover(context));
    router.get('/v1/models', (context) => this.#listModels(context));
    router.post('/v1/chat/completions', (context) => this.#completeChat(context));
    router.all(/^\/services\/([^/]+)(\/.*)?$/, (context) => this.#callService(context));
    return router;
  }

  async #trackInProgress(context: Koa.Context, next: Koa.Next): Promise<void> {
    this.#inProgress++;
    context.res.once('close', () => this.#inProgress--);
    await next();
    this.#closeConnectionIfLeaving(context);
  }

  /** While the entry is leaving, asks the caller to close its connection. Must be called before the response head is sent. */
  #closeConnectionIfLeaving({ res }: Koa.Context): void {
    if (this.#components.self().leaving && !res.headersSent) res.setHeader('connection', 'close');
  }

  /** Refuses requests until a configuration is loaded: an answer such as "not found" could turn out to be wrong. */
  async #requireConfiguration(context: Koa.Context, next: Koa.Next): Promise<void> {
    if (this.#components.configuration.revision > 0) return next();
    this.#refuse(context, { type: 'notConfigured', ran: 'no', retryAfter: NOT_CONFIGURED_RETRY_AFTER });
  }

  #discover(context: Koa.Context): void {
    const { configuration, entries, addressLifetimeSeconds } = this.#components;
    const tenant = context.get(TENANT_HEADER);
    const model = typeof context.query.model === 'string' ? context.query.model : undefined;
    const deployment = configuration
      .deployments()
      .find(({ value }) => value.spec.model === model && value.spec.tenant === tenant);
    const places = deployment?.value.spec.places;
    context.body = discover(entries(), places, addressLifetimeSeconds);
  }

  #listModels(context: Koa.Context): void {
    const tenant = context.get(TENANT_HEADER);
    const own = this.#components.configuration
      .deployments()
      .filter(({ value }) => value.spec.tenant === tenant);
    const data = own.map(({ value }) => ({ id: value.spec.model, object: 'model', owned_by: tenant }));
    context.body = { object: 'list', data };
  }

  async #completeChat(context: Koa.Context): Promise<void> {
    const body = await readBody(context);
    const prompt = promptOf(body);
    if (prompt === undefined) {
      return this.#refuse(context, { type: 'malformedRequest', ran: 'no', reason: 'no "model" in the body' });
    }
    const tenant = context.get(TENANT_HEADER);
    const found = this.#components.configuration
      .deployments()
      .find(({ value }) => value.spec.tenant === tenant && value.spec.model === prompt.model);
    if (found === undefined) return this.#refuse(context, { type: 'unknownModel', ran: 'no' });
    await this.#route(context, this.#modelCall(context, found.value, body, prompt.prefix));
  }

  #modelCall(
    context: Koa.Context,
    deployment: ModelDeployment,
    body: Buffer,
    prefix: string | undefined,
  ): AdmittedCall {
    const placement = this.#components.configuration.placement(deployment.metadata.name)?.value;
    const { version, pool, places, tenant, priority } = deployment.spec;
    const versions = [version, placement?.version, placement?.previousVersion].filter((v) => v !== undefined);
    return {
      tenant,
      priority,
      places,
      versions,
      prefix,
      eligible: ({ status }) => status.backEnd === 'engine' && status.pool === pool,
      repeatable: true,
      method: 'POST',
      path: '/v1/chat/completions',
      contentType: 'application/json',
      body,
      deadline: this.#deadlineOf(context),
    };
  }

  async #callService(context: Koa.Context): Promise<void> {
    const [, name, path = '/'] = /^\/services\/([^/]+)(\/.*)?$/.exec(context.path) ?? [];
    const tenant = context.get(TENANT_HEADER);
    const found = this.#components.configuration
      .services()
      .find(({ value }) => value.metadata.name === name && value.spec.tenant === tenant);
    if (found === undefined) return this.#refuse(context, { type: 'unknownService', ran: 'no' });
    const receivedAt = performance.now();
    const body = await readBody(context);
    const call = this.#serviceCall(context, found.value, path, body);
    if (call.repeatable) return this.#route(context, call);
    const key = context.get(KEY_HEADER);
    if (key === '' || key.length > MAX_KEY_LENGTH) {
      const reason = `this call may not be repeated: it needs a header ${KEY_HEADER} of 1 to ${MAX_KEY_LENGTH} characters`;
      return this.#refuse(context, { type: 'malformedRequest', ran: 'no', reason });
    }
    await this.#routeNonRepeatable(context, call, { service: found.value.metadata.name, key, receivedAt });
  }

  #serviceCall(context: Koa.Context, service: Service, path: string, body: Buffer): AdmittedCall {
    const { places, repeatable, tenant, priority } = service.spec;
    const query = context.querystring === '' ? '' : `?${context.querystring}`;
    return {
      tenant,
      priority,
      places,
      versions: undefined,
      prefix: undefined,
      eligible: ({ status }) => status.backEnd === 'service' && status.pool === service.metadata.name,
      repeatable: SAFE_METHODS.has(context.method) || repeatable.some((prefix) => path.startsWith(prefix)),
      method: context.method,
      path: `${path}${query}`,
      contentType: context.get('content-type'),
      body,
      deadline: this.#deadlineOf(context),
    };
  }

  #route(context: Koa.Context, call: AdmittedCall): Promise<void> {
    const { router } = this.#components;
    return this.#admit(context, call, 'no', (sink, signal) => router.route(call, sink, signal));
  }

  #routeNonRepeatable(
    context: Koa.Context,
    call: AdmittedCall,
    once: { service: string; key: string; receivedAt: number },
  ): Promise<void> {
    const attempt = Math.max(1, Math.floor(Number(context.get(ATTEMPT_HEADER)) || 1));
    const named = context.get(ELAPSED_HEADER);
    const elapsed = attempt === 1 ? 0 : named === '' ? Number.POSITIVE_INFINITY : Math.max(0, Number(named));
    const { method, path, contentType, body, deadline } = call;
    const input = { ...once, attempt, elapsed, method, path, contentType, body, deadline };
    // This entry knows nothing about earlier attempts, so even a call that it refuses itself may have run.
    const ran = attempt === 1 ? 'no' : 'unknown';
    const { nonRepeatableRouter } = this.#components;
    return this.#admit(context, call, ran, (sink, signal) => nonRepeatableRouter.route(input, sink, signal));
  }

  async #admit(
    context: Koa.Context,
    call: AdmittedCall,
    ran: 'no' | 'unknown',
    route: (sink: AnswerSink, signal: AbortSignal) => Promise<Result<void, CallError>>,
  ): Promise<void> {
    const { self, entries, admission, addressLifetimeSeconds } = this.#components;
    if (!call.places.includes(self().place)) {
      const allowed = discover(entries(), call.places, addressLifetimeSeconds).entries;
      const addresses = allowed.map((entry) => entry.address);
      return this.#refuse(context, { type: 'placeNotAllowed', ran, entries: addresses });
    }
    const gone = new AbortController();
    context.res.once('close', () => gone.abort(CALLER_DISCONNECTED));
    const admitted = await admission.admit(call.tenant, call.priority, gone.signal);
    if (admitted.type === 'refused') {
      const retryAfter = ADMISSION_RETRY_AFTER[admitted.reason];
      return this.#refuse(context, { type: 'noCapacity', ran, retryAfter });
    }
    try {
      await this.#relay(context, route, gone.signal);
    } finally {
      admitted.finish();
    }
  }

  async #relay(
    context: Koa.Context,
    route: (sink: AnswerSink, signal: AbortSignal) => Promise<Result<void, CallError>>,
    signal: AbortSignal,
  ): Promise<void> {
    const { res } = context;
    const sink = {
      head: (status: number, contentType: string, agent: string) => {
        context.respond = false;
        this.#closeConnectionIfLeaving(context);
        res.writeHead(status, { 'content-type': contentType, 'x-thistleway-agent': agent });
      },
      data: (data: Uint8Array) => {
        if (res.write(data)) return undefined;
        return new Promise<void>((resolve) => res.once('drain', resolve));
      },
    };
    const outcome = await route(sink, signal);
    if (outcome.ok) return void res.end();
    // A truncated answer must not look complete: the connection is destroyed without the end of the body.
    if (res.headersSent) return void res.destroy();
    this.#refuse(context, outcome.error);
  }

  #refuse(context: Koa.Context, error: CallError): void {
    context.status = CALL_ERROR_STATUS[error.type];
    if ('retryAfter' in error) context.set('retry-after', String(Math.ceil(error.retryAfter / 1_000)));
    context.body = { error: { ...error, notRun: error.ran === 'no' } };
  }

  #deadlineOf(context: Koa.Context): number {
    const asked = Number(context.get(DEADLINE_HEADER));
    return Number.isFinite(asked) && asked > 0 ? asked : this.#components.defaultDeadline;
  }
}

/** Extracts the model name and prompt prefix from a completion request; undefined if the body is not valid. */
function promptOf(body: Buffer): { model: string; prefix: string | undefined } | undefined {
  try {
    const { model, messages } = JSON.parse(body.toString('utf8')) as { model?: unknown; messages?: unknown };
    return typeof model === 'string' ? { model, prefix: prefixOf(messages) } : undefined;
  } catch {
    return undefined;
  }
}

/** The start of the first message, if it is long enough for prefix-cache affinity. */
function prefixOf(messages: unknown): string | undefined {
  const first = Array.isArray(messages) ? (messages[0] as { content?: unknown } | undefined) : undefined;
  if (typeof first?.content !== 'string' || first.content.length < MIN_PREFIX_CHARACTERS) return undefined;
  return first.content.slice(0, MAX_PREFIX_CHARACTERS);
}
