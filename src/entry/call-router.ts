/**
 * Brings a request to a back end and its answer back. A request is handed to another back end only when it
 * provably did not run, or when it may be repeated and nothing of an answer has reached the caller.
 */
import { randomUUID } from 'node:crypto';
import type { Random } from '../model/random.js';
import { failure, type Result, success } from '../model/result.js';
import { RetryBudget } from '../systems/retry-budget.js';
import { chooseRoute, type ReplicaRow } from '../systems/routing.js';
import type { AgentDirectory, AgentRow } from './agent-directory.js';
import { type AnswerSink, type AttemptOutcome, attemptCall, type CallHandOver } from './attempt.js';
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
  /** Beginning of the prompt, where it is long enough to be worth finding in a cache. */
  prefix: string | undefined;
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
  readonly #budget = new RetryBudget();
  readonly #ownActive = new Map<string, number>();
  readonly #suspended = new Map<string, number>();

  constructor(components: CallRouterComponents) {
    this.#components = components;
  }

  /** Routes a request; returns once the whole answer has gone to `sink`, or why there is none. */
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
      const hand = {
        type: 'call',
        callId,
        attempt,
        method,
        path,
        contentType,
        body,
        once: undefined,
      } as const;
      const outcome = await this.#attempt(call, hand, endsAt, excluded, sink, signal);
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
    hand: Omit<CallHandOver, 'version' | 'timeLeft'>,
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
    const link = await this.#components.links.to(
      this.#components.directory.rows.get(replica.id)!.status.info,
    );
    if (!link.ok) {
      this.#suspended.set(replica.id, performance.now() + SUSPENSION);
      return { type: 'refused', reason: 'unreachable', notRun: true, retryAfter: SUSPENSION };
    }
    this.counters.attempts++;
    this.#ownActive.set(replica.id, (this.#ownActive.get(replica.id) ?? 0) + 1);
    try {
      return await attemptCall(link.value, { ...hand, version, timeLeft: timeLeft() }, sink, signal);
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
