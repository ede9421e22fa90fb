/**
 * Routes a request to a back end and relays the answer. A request is retried on another back end only if it
 * provably did not run, or if it is repeatable and no part of an answer has reached the caller.
 */
import { randomUUID } from 'node:crypto';
import type { Random } from '../model/random.js';
import { failure, type Result, success } from '../model/result.js';
import { RetryBudget } from '../systems/retry-budget.js';
import { chooseRoute, type ReplicaRow } from '../systems/routing.js';
import type { AgentDirectory, AgentRow } from './agent-directory.js';
import { type AnswerSink, type AttemptOutcome, attemptCall, type CallRequest } from './attempt.js';
import type { CallLinks } from './call-links.js';
import type { CallError } from './errors.js';

/** Maximum attempts for one request, including the first. */
const MAX_ATTEMPTS = 4;
/** Maximum retries of a repeatable request whose back end was lost: the request itself may crash its back ends. */
const MAX_RETRIES_AFTER_LOSS = 1;
/** Time for which a back end that could not be reached is not used, in milliseconds. */
const SUSPENSION = 1_000;
/** Retry delay returned to callers when no back end has capacity, in milliseconds. */
const NO_CAPACITY_RETRY_AFTER = 1_000;

/** A request to be routed. */
export interface RoutedCall {
  /** Places in which the request may be served and its answer sent. */
  places: readonly string[];
  /** Model versions that may answer, or undefined for a plain service. */
  versions: readonly string[] | undefined;
  /** Start of the prompt, if it is long enough for prefix-cache affinity. */
  prefix: string | undefined;
  /** Filters the agents that may serve the request; place and version are checked separately. */
  eligible: (agent: AgentRow) => boolean;
  /** Whether the request may run more than once. */
  repeatable: boolean;
  method: string;
  path: string;
  contentType: string;
  body: Buffer;
  /** Time limit for the complete answer, in milliseconds. */
  deadline: number;
}

/** Counts of requests, for metrics. */
export interface CallRouterCounters {
  routed: number;
  answered: number;
  attempts: number;
  retries: number;
  failed: number;
  refused: number;
}

export interface CallRouterComponents {
  directory: AgentDirectory;
  links: CallLinks;
  random: Random;
}

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
  readonly #budget = new RetryBudget();
  readonly #ownActive = new Map<string, number>();
  readonly #suspended = new Map<string, number>();

  constructor(components: CallRouterComponents) {
    this.#components = components;
  }

  /** Routes a request; resolves when the complete answer has been passed to `sink`, or with the reason why there is none. */
  async route(call: RoutedCall, sink: AnswerSink, signal: AbortSignal): Promise<Result<void, CallError>> {
    this.counters.routed++;
    this.#budget.earn();
    const callId = randomUUID();
    const { method, path, contentType, body } = call;
    const endsAt = performance.now() + call.deadline;
    const excluded = new Set<string>();
    let losses = 0;
    let error: CallError = { type: 'noCapacity', ran: 'no', retryAfter: NO_CAPACITY_RETRY_AFTER };
    for (let attempt = 1; attempt <= MAX_ATTEMPTS && !signal.aborted; attempt++) {
      const message = {
        type: 'call',
        callId,
        attempt,
        method,
        path,
        contentType,
        body,
        once: undefined,
      } as const;
      const outcome = await this.#attempt(call, message, endsAt, excluded, sink, signal);
      if (outcome === undefined) break;
      if (outcome.type === 'answered') {
        this.counters.answered++;
        return success(undefined);
      }
      if (outcome.type === 'refused') continue;
      error = { type: 'backEndFailed', ran: outcome.ran, reason: outcome.reason };
      const mayRepeat = outcome.ran === 'no' || call.repeatable;
      if (outcome.ran !== 'no') losses++;
      if (outcome.headSent || !mayRepeat || losses > MAX_RETRIES_AFTER_LOSS || !this.#budget.spend()) break;
      this.counters.retries++;
    }
    if (error.ran === 'no') this.counters.refused++;
    else this.counters.failed++;
    return failure(error);
  }

  async #attempt(
    call: RoutedCall,
    message: Omit<CallRequest, 'version' | 'timeLeft'>,
    endsAt: number,
    excluded: Set<string>,
    sink: AnswerSink,
    signal: AbortSignal,
  ): Promise<AttemptOutcome | undefined> {
    const timeLeft = () => Math.ceil(endsAt - performance.now());
    const query = {
      places: call.places,
      versions: call.versions,
      excluded,
      prefix: call.prefix,
      now: performance.now(),
    };
    const route = chooseRoute(this.#replicas(call), query, this.#components.random);
    if (route === undefined || timeLeft() <= 0) return undefined;
    const { replica, version } = route;
    excluded.add(replica.id);
    const link = await this.#components.links.getLink(
      this.#components.directory.rows.get(replica.id)!.status.info,
    );
    if (!link.ok) {
      this.#suspended.set(replica.id, performance.now() + SUSPENSION);
      return { type: 'refused', reason: 'unreachable', notRun: true, retryAfter: SUSPENSION };
    }
    this.counters.attempts++;
    this.#ownActive.set(replica.id, (this.#ownActive.get(replica.id) ?? 0) + 1);
    try {
      return await attemptCall(link.value, { ...message, version, timeLeft: timeLeft() }, sink, signal);
    } finally {
      this.#ownActive.set(replica.id, (this.#ownActive.get(replica.id) ?? 1) - 1);
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
