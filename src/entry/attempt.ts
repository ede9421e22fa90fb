/** One attempt of a call at one agent: the frames put together, whole or not. */
import type { CallMessage, CallRefusal } from '../protocol/messages.js';
import type { CallLink, CallListener } from './call-links.js';
import type { Ran } from './errors.js';

/** Bytes of an answer that are told to the agent as taken at a time: a quarter of its window. */
const TAKEN_STEP = 64 * 1_024;

/** Where an answer goes. */
export interface AnswerSink {
  head(status: number, contentType: string, agent: string): void;
  /** Takes a part of the answer; returns undefined when it is taken, or a promise while the caller is slow. */
  data(data: Uint8Array): Promise<void> | undefined;
}

/** What became of an attempt. */
export type AttemptOutcome =
  | { type: 'answered' }
  /** The agent did not take it; `notRun` is false where the key may have run at an earlier attempt. */
  | { type: 'refused'; reason: CallRefusal | 'unreachable'; notRun: boolean; retryAfter: number }
  | { type: 'failed'; ran: Ran; reason: string; headSent: boolean };

/** A call as it is handed over. */
export type CallHandOver = CallMessage & { type: 'call' };

/** Nothing was sent. */
const NOT_SENT: AttemptOutcome = { type: 'refused', reason: 'unreachable', notRun: true, retryAfter: 0 };

/**
 * Hands a call over and waits for the end of its answer. Nothing is handed over for a caller that has gone, or whose time is over:
 * a signal that was aborted before tells nobody any more, and the call would run to its end.
 */
export function attemptCall(
  link: CallLink,
  call: CallHandOver,
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

/** Puts the frames of one attempt together; an answer is whole only when its end names all of them. */
class AttemptAnswer implements CallListener {
  /** True when the agent may still be at work on it. */
  mustCancel = false;
  readonly #agent: string;
  readonly #sink: AnswerSink;
  readonly #taken: (bytes: number) => void;
  readonly #settled: (outcome: AttemptOutcome) => void;
  /** Bytes taken and not yet told to the agent. */
  #untold = 0;
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
    this.#settled = settled;
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
        return this.#pass(message.data);
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

  #pass(data: Uint8Array): void {
    const slow = this.#sink.data(data);
    if (slow === undefined) return this.#noteTaken(data.byteLength);
    void slow.then(() => this.#noteTaken(data.byteLength));
  }

  /** Tells the agent of what the caller has taken, a part of its window at a time. */
  #noteTaken(bytes: number): void {
    this.#untold += bytes;
    if (this.#untold < TAKEN_STEP) return;
    this.#taken(this.#untold);
    this.#untold = 0;
  }

  onLost(): void {
    this.#fail('unknown', 'the connection to the back end was lost');
  }

  /** Gives the answer up; what has been sent of it stays cut. */
  abandon(reason: string): void {
    this.mustCancel = true;
    this.#fail('unknown', reason);
  }

  /** Nothing was sent: the connection was gone before. */
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
    this.#settled(outcome);
  }
}
