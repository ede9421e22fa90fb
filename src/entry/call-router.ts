/**
 * Brings a request to a back end and its answer back. A request is handed to another back end only when it
 * provably did not run, or when it may be repeated and nothing of an answer has reached the caller.
 */
import { randomUUID } from 'node:crypto';
import type { Random } from '../model/random.js';
import { failure, type Result, success } from '../model/result.js';
import type { CallMessage } from '../protocol/messages.js';
import { chooseRoute, type ReplicaRow } from '../systems/routing.js';
import type { AgentDirectory, AgentRow } from './agent-directory.js';
import type { CallLinks } from './call-links.js';
import type { CallError } from './errors.js';

/** Attempts for one request, the first included. */
const MAX_ATTEMPTS = 4;
/** Retries of a repeatable request whose back end was lost: it may be the request that ends them. */
const MAX_RETRIES_AFTER_LOSS = 1;
/** Time for which a back end that failed is not used, in milliseconds. */
const SUSPENSION = 1_000;
/** Time after which a caller may come back when nothing has room, in milliseconds. */
const NO_CAPACITY_RETRY_AFTER = 1_000;

/** A request to be routed. */
export interface RoutedCall {
  /** Where weights may lie and answers may travel. */
  places: readonly string[];
  /** Versions that may answer, or undefined for a plain service. */
  versions: readonly string[] | undefined;
  /** Which agents may serve it, besides place and version. */
  eligible: (agent: AgentRow) => boolean;
  /** Whether it may run more than once. */
  repeatable: boolean;
  method: string;
  path: string;
  contentType: string;
  body: Buffer;
  /** Time for the whole answer, in milliseconds. */
  deadline: number;
}

/** Where an answer goes. */
export interface AnswerSink {
  head(status: number, contentType: string, agent: string): void;
  data(data: Uint8Array): void;
}

/** Counts of one router, for metrics. */
export interface CallRouterCounters {
  routed: number;
  answered: number;
  attempts: number;
  retries: number;
  failed: number;
  refused: number;
}

/** What the router works with. */
export interface CallRouterComponents {
  directory: AgentDirectory;
  links: CallLinks;
  random: Random;
}

type AttemptOutcome =
  | { type: 'answered' }
  /** It did not run. */
  | { type: 'notRun'; agent: string; retryAfter: number }
  | { type: 'failed'; agent: string; ran: 'no' | 'yes' | 'unknown'; reason: string; headSent: boolean };

/** The router of one entry. */
export class CallRouter {
  readonly counters: CallRouterCounters = {
    routed: 0,
    answered: 0,
    attempts: 0,
    retries: 0,
    failed: 0,
    refused: 0,
  };
  readonly #components: CallRouterComponents;
  readonly #ownActive = new Map<string, number>();
  readonly #suspended = new Map<string, number>();

  constructor(components: CallRouterComponents) {
    this.#components = components;
  }

  /** Routes a request; returns once the whole answer has gone to `sink`, or why there is none. */
  async route(call: RoutedCall, sink: AnswerSink, signal: AbortSignal): Promise<Result<void, CallError>> {
    this.counters.routed++;
    const callId = randomUUID();
    const endsAt = performance.now() + call.deadline;
    const excluded = new Set<string>();
    let losses = 0;
    let error: CallError = { type: 'noCapacity', ran: 'no', retryAfter: NO_CAPACITY_RETRY_AFTER };
    for (let attempt = 1; attempt <= MAX_ATTEMPTS && !signal.aborted; attempt++) {
      const outcome = await this.#attempt(call, callId, attempt, endsAt, excluded, sink, signal);
      if (outcome === undefined) break;
      if (outcome.type === 'answered') {
        this.counters.answered++;
        return success(undefined);
      }
      excluded.add(outcome.agent);
      if (outcome.type === 'notRun') continue;
      error = { type: 'backEndFailed', ran: outcome.ran, reason: outcome.reason };
      const mayRepeat = outcome.ran === 'no' || call.repeatable;
      if (outcome.ran !== 'no') losses++;
      if (outcome.headSent || !mayRepeat || losses > MAX_RETRIES_AFTER_LOSS) break;
      this.counters.retries++;
    }
    if (error.ran === 'no') this.counters.refused++;
    else this.counters.failed++;
    return failure(error);
  }

  async #attempt(
    call: RoutedCall,
    callId: string,
    attempt: number,
    endsAt: number,
    excluded: Set<string>,
    sink: AnswerSink,
    signal: AbortSignal,
  ): Promise<AttemptOutcome | undefined> {
    const timeLeft = Math.ceil(endsAt - performance.now());
    const query = { places: call.places, versions: call.versions, excluded, now: performance.now() };
    const route = chooseRoute(this.#replicas(call), query, this.#components.random);
    if (route === undefined || timeLeft <= 0) return undefined;
    const agent = route.replica.id;
    const row = this.#components.directory.rows.get(agent);
    if (row === undefined) return { type: 'notRun', agent, retryAfter: 0 };
    const link = await this.#components.links.to(row.status.info);
    if (!link.ok) {
      this.#suspended.set(agent, performance.now() + SUSPENSION);
      return { type: 'notRun', agent, retryAfter: SUSPENSION };
    }
    this.counters.attempts++;
    this.#ownActive.set(agent, (this.#ownActive.get(agent) ?? 0) + 1);
    const { method, path, contentType, body } = call;
    const { version } = route;
    const message = {
      type: 'call',
      callId,
      attempt,
      version,
      method,
      path,
      contentType,
      body,
      timeLeft,
    } as const;
    try {
      return await new Promise<AttemptOutcome>((resolve) => {
        const answer = new AttemptAnswer(message, agent, sink, resolve);
        const cancel = () => answer.cancel();
        signal.addEventListener('abort', cancel, { once: true });
        answer.onSettled = () => {
          signal.removeEventListener('abort', cancel);
          link.value.end(callId, attempt, answer.mustCancel);
        };
        if (!link.value.start(message, answer)) answer.notSent();
      });
    } finally {
      this.#ownActive.set(agent, (this.#ownActive.get(agent) ?? 1) - 1);
    }
  }

  #replicas(call: RoutedCall): ReplicaRow[] {
    const rows = [...this.#components.directory.rows.values()].filter(call.eligible);
    return rows.map(({ status }) => ({
      id: status.info.id,
      place: status.info.place,
      zone: status.info.zone,
      leaving: status.leaving,
      ready: status.versions.filter((version) => version.ready).map((version) => version.version),
      reportedActive: status.active,
      ownActive: this.#ownActive.get(status.info.id) ?? 0,
      capacity: status.capacity,
      suspendedUntil: this.#suspended.get(status.info.id) ?? 0,
    }));
  }
}

/** Puts the frames of one attempt together; an answer is whole only when its end names all of them. */
class AttemptAnswer {
  mustCancel = false;
  onSettled: () => void = () => {};
  readonly #agent: string;
  readonly #sink: AnswerSink;
  readonly #resolve: (outcome: AttemptOutcome) => void;
  readonly #timer: NodeJS.Timeout;
  #frames = 0;
  #headSent = false;
  #settled = false;

  constructor(
    call: CallMessage & { type: 'call' },
    agent: string,
    sink: AnswerSink,
    resolve: (outcome: AttemptOutcome) => void,
  ) {
    this.#agent = agent;
    this.#sink = sink;
    this.#resolve = resolve;
    this.#timer = setTimeout(() => this.#abandon('the deadline has passed'), call.timeLeft);
  }

  onFrame(message: CallMessage): void {
    if (this.#settled) return;
    switch (message.type) {
      case 'callHead':
        this.#headSent = true;
        return this.#sink.head(message.status, message.contentType, this.#agent);
      case 'callData':
        if (message.sequence !== this.#frames) return this.#abandon('a frame of the answer is missing');
        this.#frames++;
        return this.#sink.data(message.data);
      case 'callEnd':
        if (message.frames !== this.#frames) return this.#abandon('frames of the answer are missing');
        return this.#settle({ type: 'answered' });
      case 'callRefused':
        return this.#settle({ type: 'notRun', agent: this.#agent, retryAfter: message.retryAfter });
      case 'callFailed':
        return this.#fail(message.ran, message.reason);
      default:
    }
  }

  onLost(): void {
    this.#fail('unknown', 'the connection to the back end was lost');
  }

  /** The caller has gone. */
  cancel(): void {
    this.#abandon('the caller has gone');
  }

  /** Nothing was sent: the connection was gone before. */
  notSent(): void {
    this.#settle({ type: 'notRun', agent: this.#agent, retryAfter: 0 });
  }

  #abandon(reason: string): void {
    this.mustCancel = true;
    this.#fail('unknown', reason);
  }

  #fail(ran: 'no' | 'yes' | 'unknown', reason: string): void {
    this.#settle({ type: 'failed', agent: this.#agent, ran, reason, headSent: this.#headSent });
  }

  #settle(outcome: AttemptOutcome): void {
    if (this.#settled) return;
    this.#settled = true;
    clearTimeout(this.#timer);
    this.onSettled();
    this.#resolve(outcome);
  }
}
