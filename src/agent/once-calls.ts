/**
 * Calls with an idempotency key, which must not be repeated. A key runs at most once in this process, and only while
 * this process owns it. A run continues after its caller has disconnected, and its outcome is kept for later calls with
 * the same key.
 */
import { type HttpStream, neverConnected } from '../clients/http.js';
import type { Connection } from '../protocol/connection.js';
import type { CallRefusal, OnceCall } from '../protocol/messages.js';
import { type KeptOutcome, OnceLedger } from '../systems/once-ledger.js';
import { type BackEnd, type CallRequest, clampedTimeLeft, refuseCall } from './calls.js';
import type { KeyOwnership } from './key-ownership.js';

/** Time limit of a run, in milliseconds; needed because a run does not end when its caller disconnects. */
const RUN_TIMEOUT = 60_000;
/** Size of the largest answer that is kept for later calls with the same key, in bytes. */
const MAX_KEPT_ANSWER_BYTES = 64 * 1_024;

/** Calls with idempotency keys by outcome, for metrics. */
export interface OnceCounters {
  run: number;
  repeatedAnswers: number;
  unknown: number;
  refusedNotRun: number;
}

/** Components of {@link OnceCalls}. */
export interface OnceCallsComponents {
  backEnd: BackEnd;
  /** Undefined if this agent serves an engine, whose agents own no keys. */
  ownership: KeyOwnership | undefined;
  onChange: () => void;
}

/** The calls with idempotency keys of one agent. */
export class OnceCalls {
  readonly counters: OnceCounters = { run: 0, repeatedAnswers: 0, unknown: 0, refusedNotRun: 0 };
  readonly #components: OnceCallsComponents;
  readonly #ledger = new OnceLedger();
  #active = 0;

  constructor(components: OnceCallsComponents) {
    this.#components = components;
  }

  /** Number of runs in progress. */
  get active(): number {
    return this.#active;
  }

  /** Answers a call. `refusal` is the reason why no new run may start; undefined if one may. */
  async run(
    connection: Connection,
    call: CallRequest,
    once: OnceCall,
    refusal: CallRefusal | undefined,
  ): Promise<void> {
    const owns = this.#components.ownership?.owns(once.key, once.epoch) ?? false;
    // An earlier attempt may have run at the owner, so only a first attempt provably has not run.
    if (!owns) return this.#refuse(connection, call, 'notOwner', once.attempt === 1);
    if (refusal !== undefined && !this.#ledger.knows(once.key)) {
      return this.#refuse(connection, call, refusal, this.#ledger.refuse(once, performance.now()));
    }
    const verdict = this.#ledger.admit(once, performance.now());
    switch (verdict.type) {
      case 'run':
        return this.#startRun(connection, call, once);
      case 'ran':
        return this.#replay(connection, call, verdict.outcome);
      case 'running':
        return this.#awaitRunning(connection, call, once, verdict.wait);
      case 'unknown':
        return this.#answerUnknown(
          connection,
          call,
          'an earlier attempt may have run at a process that is gone',
        );
      case 'refusedBefore':
        return this.#refuse(connection, call, 'overloaded', true);
      case 'full':
        return this.#refuse(connection, call, 'overloaded', once.fresh);
    }
  }

  async #startRun(connection: Connection, call: CallRequest, once: OnceCall): Promise<void> {
    this.#active++;
    this.#components.onChange();
    this.counters.run++;
    try {
      const outcome = await this.#runAtBackEnd(call);
      if (outcome === undefined) {
        this.#ledger.withdraw(once, performance.now());
        return this.#refuse(connection, call, 'backEndUnreachable', true);
      }
      this.#ledger.finish(once.key, outcomeToKeep(outcome), performance.now());
      this.#answer(connection, call, outcome);
    } finally {
      this.#active--;
      this.#components.onChange();
    }
  }

  /** Runs the call and returns its outcome; undefined if it provably did not reach the back end. */
  async #runAtBackEnd(call: CallRequest): Promise<KeptOutcome | undefined> {
    let stream: HttpStream;
    try {
      stream = await this.#components.backEnd.run(call, AbortSignal.timeout(RUN_TIMEOUT));
    } catch (cause) {
      return neverConnected(cause)
        ? undefined
        : { type: 'unanswered', ran: 'unknown', reason: String(cause) };
    }
    try {
      const body = Buffer.from(await stream.body.arrayBuffer());
      const contentType = String(stream.headers['content-type'] ?? 'application/octet-stream');
      return { type: 'answered', status: stream.statusCode, contentType, body };
    } catch (cause) {
      return { type: 'unanswered', ran: 'yes', reason: String(cause) };
    }
  }

  async #awaitRunning(
    connection: Connection,
    call: CallRequest,
    once: OnceCall,
    wait: Promise<KeptOutcome | undefined>,
  ): Promise<void> {
    const outcome = await Promise.race([wait, timeoutAfter(clampedTimeLeft(call))]);
    if (outcome === 'timeout')
      return this.#answerUnknown(connection, call, 'an earlier attempt is still running');
    if (outcome !== undefined) return this.#replay(connection, call, outcome);
    const notRun = this.#ledger.refuse(once, performance.now());
    this.#refuse(connection, call, 'backEndUnreachable', notRun);
  }

  #replay(connection: Connection, call: CallRequest, outcome: KeptOutcome): void {
    this.counters.repeatedAnswers++;
    this.#answer(connection, call, outcome);
  }

  #answer(connection: Connection, call: CallRequest, outcome: KeptOutcome): void {
    const { callId, attempt } = call;
    if (outcome.type === 'unanswered') {
      const { reason, ran } = outcome;
      connection.send({ type: 'callFailed', callId, attempt, reason, ran });
      return;
    }
    const { status, contentType, body } = outcome;
    connection.send({ type: 'callHead', callId, attempt, status, contentType });
    connection.send({ type: 'callData', callId, attempt, sequence: 0, data: body });
    connection.send({ type: 'callEnd', callId, attempt, frames: 1 });
  }

  #answerUnknown(connection: Connection, call: CallRequest, reason: string): void {
    this.counters.unknown++;
    const { callId, attempt } = call;
    connection.send({ type: 'callFailed', callId, attempt, reason, ran: 'unknown' });
  }

  #refuse(connection: Connection, call: CallRequest, reason: CallRefusal, notRun: boolean): void {
    if (notRun) this.counters.refusedNotRun++;
    else this.counters.unknown++;
    refuseCall(connection, call, reason, notRun, this.#components.backEnd.backoffLeft?.());
  }
}

/** The outcome to keep: an answer that is too large is replaced by a statement that the call ran. */
function outcomeToKeep(outcome: KeptOutcome): KeptOutcome {
  if (outcome.type === 'unanswered' || outcome.body.byteLength <= MAX_KEPT_ANSWER_BYTES) return outcome;
  return { type: 'unanswered', ran: 'yes', reason: 'the answer was too large to be kept' };
}

function timeoutAfter(milliseconds: number): Promise<'timeout'> {
  return new Promise((resolve) => {
    setTimeout(() => resolve('timeout'), milliseconds).unref();
  });
}
