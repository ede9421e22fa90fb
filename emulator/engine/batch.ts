/** Continuous batching: each step gives one token to every request of the batch whose prompt has been read. */
import { PrefixCache } from './prefix-cache.js';

/** A request as the stand-in engine runs it. */
export interface EngineRequest {
  id: string;
  version: string;
  prompt: string[];
  maxTokens: number;
  /** Higher goes first. */
  priority: number;
}

/** How far a request is. */
export interface RunningRequest extends EngineRequest {
  prefillLeft: number;
  tokens: string[];
  state: 'queued' | 'running' | 'finished' | 'cancelled';
  /** Called at each new token and at the end. */
  listeners: Set<() => void>;
}

/** Finished requests kept for resuming. */
const FINISHED_KEPT = 1_000;

/** What a batch is created from. */
export interface BatchInit {
  size: number;
  stepMilliseconds: number;
  prefillTokensPerMillisecond: number;
  prefixCacheTokens: number;
}

/** The requests of one engine. */
export class Batch {
  readonly requests = new Map<string, RunningRequest>();
  readonly cache: PrefixCache;
  readonly #init: BatchInit;
  #timer: NodeJS.Timeout | undefined;

  constructor(init: BatchInit) {
    this.#init = init;
    this.cache = new PrefixCache(init.prefixCacheTokens);
  }

  get active(): number {
    let count = 0;
    for (const request of this.requests.values()) {
      if (request.state === 'queued' || request.state === 'running') count++;
    }
    return count;
  }

  /** Takes a request in, with the tokens that it has already if it was imported. */
  add(request: EngineRequest, tokens: string[] = []): RunningRequest {
    const imported = tokens.length > 0;
    const prefillLeft = imported ? 0 : request.prompt.length - this.cache.use(request.prompt);
    const running: RunningRequest = {
      ...request,
      prefillLeft,
      tokens,
      state: 'queued',
      listeners: new Set(),
    };
    this.requests.set(request.id, running);
    this.#forgetOldest();
    this.#timer ??= setInterval(() => this.#step(), this.#init.stepMilliseconds);
    return running;
  }

  /** Ends a request at once; its tokens so far stay. */
  cancel(id: string): boolean {
    const request = this.requests.get(id);
    if (request === undefined || request.state === 'finished') return false;
    this.#end(request, 'cancelled');
    return true;
  }

  stop(): void {
    clearInterval(this.#timer);
    this.#timer = undefined;
  }

  #step(): void {
    const waiting = [...this.requests.values()].filter((r) => r.state === 'queued' || r.state === 'running');
    if (waiting.length === 0) return this.stop();
    waiting.sort((a, b) => b.priority - a.priority);
    let prefillBudget = this.#init.prefillTokensPerMillisecond * this.#init.stepMilliseconds;
    for (const request of waiting.slice(0, this.#init.size)) {
      request.state = 'running';
      const read = Math.min(prefillBudget, request.prefillLeft);
      prefillBudget -= read;
      request.prefillLeft -= read;
      if (request.prefillLeft === 0) this.#decode(request);
    }
  }

  #decode(request: RunningRequest): void {
    const topic = request.prompt.at(-1) ?? 'nothing';
    request.tokens.push(`${topic}-${request.tokens.length} `);
    if (request.tokens.length >= request.maxTokens) this.#end(request, 'finished');
    else for (const listener of request.listeners) listener();
  }

  #end(request: RunningRequest, state: 'finished' | 'cancelled'): void {
    request.state = state;
    for (const listener of request.listeners) listener();
    request.listeners.clear();
  }

  #forgetOldest(): void {
    for (const [id, request] of this.requests) {
      if (this.requests.size <= FINISHED_KEPT) return;
      if (request.state === 'finished' || request.state === 'cancelled') this.requests.delete(id);
    }
  }
}
