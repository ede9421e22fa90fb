/**
 * Brings calls that may not be repeated to the owner of their key, and to nobody else. The entry never hands
 * such a call over a second time; where it cannot prove that the key has not run, it says so.
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

/** Time for which an entry waits for a key's owner to be settled, in milliseconds. */
const OWNER_WAIT = 1_500;
const OWNER_CHECK_INTERVAL = 25;
/** Time after which a caller may come back when the owner cannot be reached, in milliseconds. */
const OWNER_RETRY_AFTER = 1_000;
/** By this much, and this share, an owner must have been one for longer than the caller has tried. */
const CLOCK_MARGIN = 100;
const CLOCK_DRIFT_SHARE = 0.01;

/** A call with a key. */
export interface OnceCallInput {
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
  /** Time for the whole answer, in milliseconds. */
  deadline: number;
}

/** Counts of one router, for metrics. */
export interface OnceRouterCounters {
  routed: number;
  answered: number;
  refusedNotRun: number;
  unknown: number;
}

/** What the router works with. */
export interface OnceRouterComponents {
  configuration: Configuration;
  directory: AgentDirectory;
  links: CallLinks;
}

/** The owner of a key and the list by which it is. */
interface Owner {
  row: AgentRow;
  epoch: number;
}

/** The router of one entry. */
export class OnceRouter {
  readonly counters: OnceRouterCounters = { routed: 0, answered: 0, refusedNotRun: 0, unknown: 0 };
  readonly #components: OnceRouterComponents;

  constructor(components: OnceRouterComponents) {
    this.#components = components;
  }

  /** Routes a call; returns once the whole answer has gone to `sink`, or what is known of the key. */
  async route(call: OnceCallInput, sink: AnswerSink, signal: AbortSignal): Promise<Result<void, CallError>> {
    this.counters.routed++;
    const outcome = await this.#tryUntilSettled(call, sink, signal);
    if (outcome.type === 'answered') {
      this.counters.answered++;
      return success(undefined);
    }
    const error = errorOf(outcome);
    if (error.ran === 'no') this.counters.refusedNotRun++;
    else this.counters.unknown++;
    return failure(error);
  }

  /** Asks the owner; while the owner is not settled, asks again. Only refusals as not the owner are repeated. */
  async #tryUntilSettled(
    call: OnceCallInput,
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
        const mayAskAgain =
          last.type === 'refused' && (last.reason === 'notOwner' || last.reason === 'unreachable');
        if (!mayAskAgain) return last;
      }
      await pause(OWNER_CHECK_INTERVAL);
    }
    return last.type === 'refused' ? unreachable(call) : last;
  }

  async #attempt(
    call: OnceCallInput,
    callId: string,
    attempt: number,
    owner: Owner,
    sink: AnswerSink,
    signal: AbortSignal,
  ): Promise<AttemptOutcome> {
    const link = await this.#components.links.to(owner.row.status.info);
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

  /** The process that owns the call's key under the list in force here, if it follows that list. */
  #ownerOf(call: OnceCallInput): Owner | undefined {
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
   * Whether the owner has been the only one that could take the key since before the caller's first attempt.
   * The owner's time is a lower bound: what it said, and the time since that came here. What happens to the
   * message from now on does not matter, since the connection leads to that process alone.
   */
  #isFresh(call: OnceCallInput, { row }: Owner): boolean {
    const now = performance.now();
    const ownedFor = (row.status.ownership?.heldFor ?? 0) + (now - row.receivedAt);
    const triedFor = call.elapsed + (now - call.receivedAt);
    return triedFor * (1 + CLOCK_DRIFT_SHARE) + CLOCK_MARGIN < ownedFor;
  }
}

/** A first attempt that nobody was asked about has not run; of a later one this entry knows nothing. */
function unreachable(call: OnceCallInput): AttemptOutcome {
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
