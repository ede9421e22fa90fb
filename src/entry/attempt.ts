/** One attempt of a call at one agent: reassembles the answer's frames and detects incomplete answers. */
import type { CallMessage, CallRefusal } from '../protocol/messages.js';
import type { CallLink, CallListener } from './call-links.js';
import type { Ran } from './errors.js';

/** Bytes of an answer after which the agent is sent an acknowledgement: a quarter of its flow-control window. */
const ACKNOWLEDGEMENT_STEP = 64 * 1_024;

/** Receives an answer. */
export interface AnswerSink {
  head(status: number, contentType: string, agent: string): void;
  /** Writes a part of the answer; returns a promise if the caller reads slowly, which resolves when it can take more. */
  data(data: Uint8Array): Promise<void> | undefined;
}

/** Outcome of an attempt. */
export type AttemptOutcome =
  | { type: 'answered' }
  /** The agent did not accept the call; `notRun` is false if an earlier attempt with the same key may have run. */
  | { type: 'refused'; reason: CallRefusal | 'unreachable'; notRun: boolean; retryAfter: number }
  | { type: 'failed'; ran: Ran; reason: string; headSent: boolean };

/** The message that starts a call at an agent. */
export type CallRequest = CallMessage & { type: 'call' };

/** Outcome if the call was never sent. */
const NOT_SENT: AttemptOutcome = { type: 'refused', reason: 'unreachable', notRun: true, retryAfter: 0 };

/**
 * Sends a call and waits for the end of its answer. Nothing is sent if the caller has disconnected or its deadline has
 * passed: a signal that is already aborted emits no further event, so the call would never be cancelled.
 */
export function attemptCall(
  link: CallLink,
  call: CallRequest,
  sink: AnswerSink,
  signal: AbortSignal,
): Promise<AttemptOutcome> {
  if (signal.aborted || call.timeLeft <= 0) return Promise.resolve(NOT_SENT);
  return new Promise((resolve) => {
    const taken = (bytes: number) => link.taken(call.callId, call.attempt, bytes);
    const answer = new AttemptAnswer(call.timeLeft, link.remoteId, sink, taken, (outcome) => {
      signal.removeEventListener('abort', cancel);
      link.end(call.callId, call.attempt, answer.mustCancel);
      resolve(outcome);
    });
    const cancel = () => answer.abandon('the caller has gone');
    signal.addEventListener('abort', cancel, { once: true });
    if (!link.start(call, answer)) answer.notSent();
  });
}

/** Reassembles the frames of one attempt; an answer is complete only if its end frame states the number received. */
class AttemptAnswer implements CallListener {
  /** True if the agent may still be processing the call. */
  mustCancel = false;
  readonly #agent: string;
  readonly #sink: AnswerSink;
  readonly #taken: (bytes: number) => void;
  readonly #onSettled: (outcome: AttemptOutcome) => void;
  /** Bytes the caller has taken that are not yet acknowledged to the agent. */
  #unacknowledged = 0;
  readonly #timer: NodeJS.Timeout;
  #frames = 0;
  #headSent = false;
  #isSettled = false;

  constructor(
    timeLeft: number,
    agent: string,
    sink: AnswerSink,
    taken: (bytes: number) => void,
    settled: (outcome: AttemptOutcome) => void,
  ) {
    this.#agent = agent;
    this.#sink = sink;
    this.#taken = taken;
    this.#onSettled = settled;
    this.#timer = setTimeout(() => this.abandon('the deadline has passed'), timeLeft);
  }

  onFrame(message: CallMessage): void {
    if (this.#isSettled) return;
    switch (message.type) {
      case 'callHead':
        this.#headSent = true;
        return this.#sink.head(message.status, message.contentType, this.#agent);
      case 'callData':
        if (message.sequence !== this.#frames) return this.abandon('a frame of the answer is missing');
        this.#frames++;
        return this.#forward(message.data);
      case 'callEnd':
        if (message.frames !== this.#frames) return this.abandon('frames of the answer are missing');
        return this.#settle({ type: 'answered' });
      case 'callRefused': {
        const { reason, notRun, retryAfter } = message;
        return this.#settle({ type: 'refused', reason, notRun, retryAfter });
      }
      case 'callFailed':
        return this.#fail(message.ran, message.reason);
      default:
    }
  }

  #forward(data: Uint8Array): void {
    const drained = this.#sink.data(data);
    if (drained === undefined) return this.#acknowledge(data.byteLength);
    void drained.then(() => this.#acknowledge(data.byteLength));
  }

  /** Acknowledges the bytes the caller has taken, in steps of a part of the agent's window. */
  #acknowledge(bytes: number): void {
    this.#unacknowledged += bytes;
    if (this.#unacknowledged < ACKNOWLEDGEMENT_STEP) return;
    this.#taken(this.#unacknowledged);
    this.#unacknowledged = 0;
  }

  onLost(): void {
    this.#fail('unknown', 'the connection to the back end was lost');
  }

  /** Gives up the attempt; an answer that is partly sent remains truncated. */
  abandon(reason: string): void {
    this.mustCancel = true;
    this.#fail('unknown', reason);
  }

  /** Settles the attempt as not sent, because the connection had already closed. */
  notSent(): void {
    this.#settle(NOT_SENT);
  }

  #fail(ran: Ran, reason: string): void {
    this.#settle({ type: 'failed', ran, reason, headSent: this.#headSent });
  }

  #settle(outcome: AttemptOutcome): void {
    if (this.#isSettled) return;
    this.#isSettled = true;
    clearTimeout(this.#timer);
    this.#onSettled(outcome);
  }
}
