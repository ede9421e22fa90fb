/**
 * Calls that may not be repeated: a key runs at most once in this process, and only while this process owns it.
 * A run goes on when its caller has gone, and its outcome is kept for whoever asks with the same key.
 */
import { type HttpStream, neverConnected } from '../clients/http.js';
import type { Connection } from '../protocol/connection.js';
import type { CallRefusal, OnceCall } from '../protocol/messages.js';
import { type KeptOutcome, OnceLedger } from '../systems/once-ledger.js';
import { type BackEnd, type CallRequest, clampedTimeLeft, refuseCall } from './calls.js';
import type { KeyOwnership } from './key-ownership.js';

/** Longest time that a run may take, in milliseconds; it does not end with its caller. */
const RUN_TIMEOUT = 60_000;
/** Largest answer that is kept for repetition, in bytes. */
const MAX_KEPT_ANSWER_BYTES = 64 * 1_024;

/** What has become of calls with keys, for metrics. */
export interface OnceCounters {
  run: number;
  repeatedAnswers: number;
  unknown: number;
  refusedNotRun: number;
}

/** What the calls work with. */
export interface OnceCallsComponents {
  backEnd: BackEnd;
  /** Undefined where this agent owns no keys. */
  ownership: KeyOwnership | undefined;
  onChange: () => void;
}

/** The calls with keys of one agent. */
export class OnceCalls {
  readonly counters: OnceCounters = { run: 0, repeatedAnswers: 0, unknown: 0, refusedNotRun: 0 };
  readonly #components: OnceCallsComponents;
  readonly #ledger = new OnceLedger();
  #active = 0;

  constructor(components: OnceCallsComponents) {
    this.#components = components;
  }

  /** Runs in progress. */
  get active(): number {
    return this.#active;
  }

  /** Answers a call; `refusal` tells why no new run may begin, if none may. */
  async run(
    connection: Connection,
    call: CallRequest,
    once: OnceCall,
    refusal: CallRefusal | undefined,
  ): Promise<void> {
    const owns = this.#components.ownership?.owns(once.key, once.epoch) ?? false;
    // An earlier attempt may have gone to the owner: only a first one provably has not run.
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

  /** Runs the call to its end; undefined when it provably never reached the back end. */
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
    refuseCall(connection, call, reason, notRun);
  }
}

/** What is kept of an outcome: not an answer that is too large. */
function outcomeToKeep(outcome: KeptOutcome): KeptOutcome {
  if (outcome.type === 'unanswered' || outcome.body.byteLength <= MAX_KEPT_ANSWER_BYTES) return outcome;
  return { type: 'unanswered', ran: 'yes', reason: 'the answer was too large to be kept' };
}

function timeoutAfter(milliseconds: number): Promise<'timeout'> {
  return new Promise((resolve) => {
    setTimeout(() => resolve('timeout'), milliseconds).unref();
  });
}
