/**
 * Routes non-repeatable calls, each only to the agent that owns its idempotency key. A call that an owner may have
 * accepted is never sent again; if the entry cannot prove that the key has not run, the error says so.
 */
import { randomUUID } from 'node:crypto';
import { setTimeout as pause } from 'node:timers/promises';
import { failure, type Result, success } from '../model/result.js';
import { type OwnersRow, ownerOf } from '../systems/ownership.js';
import type { AgentDirectory, AgentRow } from './agent-directory.js';
import { type AnswerSink, type AttemptOutcome, attemptCall } from './attempt.js';
import type { CallLinks } from './call-links.js';
import { type Configuration, TABLES } from './configuration.js';
import type { CallError } from './errors.js';

/** Maximum wait for a key to have a settled owner, in milliseconds. */
const OWNER_WAIT = 1_500;
const OWNER_CHECK_INTERVAL = 25;
/** Retry delay returned to callers when the owner cannot be reached, in milliseconds. */
const OWNER_RETRY_AFTER = 1_000;
/** Absolute margin (ms) and relative margin by which the ownership must be older than the caller's first attempt. */
const CLOCK_MARGIN = 100;
const CLOCK_DRIFT_SHARE = 0.01;

/** A call with an idempotency key. */
export interface NonRepeatableCall {
  service: string;
  key: string;
  /** Number of the caller's attempt, from 1. */
  attempt: number;
  /** Time since the caller's first attempt began, by the caller's clock, in milliseconds. */
  elapsed: number;
  /** When this entry received the call, by its own clock. */
  receivedAt: number;
  method: string;
  path: string;
  contentType: string;
  body: Buffer;
  /** Time limit for the complete answer, in milliseconds. */
  deadline: number;
}

/** Counts of non-repeatable calls, for metrics. */
export interface NonRepeatableRouterCounters {
  routed: number;
  answered: number;
  refusedNotRun: number;
  unknown: number;
}

export interface NonRepeatableRouterComponents {
  configuration: Configuration;
  directory: AgentDirectory;
  links: CallLinks;
}

/** The agent that owns a key, and the epoch of the owners' list that says so. */
interface Owner {
  row: AgentRow;
  epoch: number;
}

/** Routes non-repeatable calls to the owners of their keys. */
export class NonRepeatableRouter {
  readonly counters: NonRepeatableRouterCounters = { routed: 0, answered: 0, refusedNotRun: 0, unknown: 0 };
  readonly #components: NonRepeatableRouterComponents;

  constructor(components: NonRepeatableRouterComponents) {
    this.#components = components;
  }

  /** Routes a call; resolves when the complete answer has been passed to `sink`, or with what is known about the key. */
  async route(
    call: NonRepeatableCall,
    sink: AnswerSink,
    signal: AbortSignal,
  ): Promise<Result<void, CallError>> {
    this.counters.routed++;
    const outcome = await this.#askOwnerUntilSettled(call, sink, signal);
    if (outcome.type === 'answered') {
      this.counters.answered++;
      return success(undefined);
    }
    const error = errorOf(outcome);
    if (error.ran === 'no') this.counters.refusedNotRun++;
    else this.counters.unknown++;
    return failure(error);
  }

  /** Sends the call to the key's owner. Repeats only if the owner could not be reached or refused as not being the owner. */
  async #askOwnerUntilSettled(
    call: NonRepeatableCall,
    sink: AnswerSink,
    signal: AbortSignal,
  ): Promise<AttemptOutcome> {
    const giveUpAt = performance.now() + Math.min(OWNER_WAIT, call.deadline);
    const callId = randomUUID();
    let last: AttemptOutcome = unreachable(call);
    for (let attempt = 1; performance.now() < giveUpAt && !signal.aborted; attempt++) {
      const owner = this.#ownerOf(call);
      if (owner !== undefined) {
        last = await this.#attempt(call, callId, attempt, owner, sink, signal);
        const mayRetry =
          last.type === 'refused' && (last.reason === 'notOwner' || last.reason === 'unreachable');
        if (!mayRetry) return last;
      }
      await pause(OWNER_CHECK_INTERVAL);
    }
    return last.type === 'refused' ? unreachable(call) : last;
  }

  async #attempt(
    call: NonRepeatableCall,
    callId: string,
    attempt: number,
    owner: Owner,
    sink: AnswerSink,
    signal: AbortSignal,
  ): Promise<AttemptOutcome> {
    const link = await this.#components.links.getLink(owner.row.status.info);
    if (!link.ok) return unreachable(call);
    const { method, path, contentType, body, key, deadline, receivedAt } = call;
    const timeLeft = Math.ceil(deadline - (performance.now() - receivedAt));
    if (timeLeft <= 0) return unreachable(call);
    const once = { key, attempt: call.attempt, fresh: this.#isFresh(call, owner), epoch: owner.epoch };
    if (call.attempt === 1 && !once.fresh)
      return { ...unreachable(call), reason: 'notOwner' } as AttemptOutcome;
    const message = {
      type: 'call',
      callId,
      attempt,
      version: '',
      method,
      path,
      contentType,
      body,
      timeLeft,
      once,
    } as const;
    return attemptCall(link.value, message, sink, signal);
  }

  /** The agent that owns the call's key under the owners' list known here, if the agent has adopted the same epoch. */
  #ownerOf(call: NonRepeatableCall): Owner | undefined {
    const { configuration, directory } = this.#components;
    const owners = configuration.row(TABLES.owners, call.service)?.value as OwnersRow | undefined;
    const address = owners === undefined ? undefined : ownerOf(call.key, owners.owners);
    for (const row of directory.rows.values()) {
      const { info, ownership, pool } = row.status;
      if (info.address !== address || pool !== call.service) continue;
      return ownership?.epoch === owners?.epoch ? { row, epoch: owners!.epoch } : undefined;
    }
    return undefined;
  }

  /**
   * Whether the owner has been the only agent that could accept the key since before the caller's first attempt.
   * The time of ownership is a lower bound: what the agent reported plus the time since the report arrived here.
   * Later delays of the message do not matter, since the connection leads only to that process.
   */
  #isFresh(call: NonRepeatableCall, { row }: Owner): boolean {
    const now = performance.now();
    const ownedFor = (row.status.ownership?.heldFor ?? 0) + (now - row.receivedAt);
    const triedFor = call.elapsed + (now - call.receivedAt);
    return triedFor * (1 + CLOCK_DRIFT_SHARE) + CLOCK_MARGIN < ownedFor;
  }
}

/** A first attempt that was sent to no agent has not run; about an earlier attempt elsewhere this entry knows nothing. */
function unreachable(call: NonRepeatableCall): AttemptOutcome {
  return {
    type: 'refused',
    reason: 'unreachable',
    notRun: call.attempt === 1,
    retryAfter: OWNER_RETRY_AFTER,
  };
}

function errorOf(outcome: Exclude<AttemptOutcome, { type: 'answered' }>): CallError {
  if (outcome.type === 'failed') return { type: 'backEndFailed', ran: outcome.ran, reason: outcome.reason };
  const { notRun, retryAfter, reason } = outcome;
  if (notRun) return { type: 'noCapacity', ran: 'no', retryAfter };
  return { type: 'outcomeUnknown', ran: 'unknown', retryAfter, reason };
}
