/**
 * Writes the answer to the caller: the output of one or more attempts in sequence, or an error of this system.
 */
import type { IncomingMessage, ServerResponse } from 'node:http';
import { dropAnswer } from '../server/dropped-answer.js';
import { isRemainderTooLong } from '../server/request-remainders.js';
import type { CallerPatience } from '../systems/unread-budget.js';
import type { Attempt } from './attempt.js';
import type { AttemptAnswer } from './attempt-answer.js';
import type { ErrorResponse } from './forwarding-errors.js';
import { endToEndHeaders, LAST_EVENT_ID } from './header-names.js';
import type { UnreadAnswers } from './unread-answers.js';

export class CallerAnswer {
  readonly #request: IncomingMessage;
  readonly #response: ServerResponse;
  readonly #mustClose: () => boolean;
  readonly #unread: Pick<UnreadAnswers, 'hold'>;
  /** How long the caller waits; set before the first part of an answer is written. */
  patience: CallerPatience = { deadline: Number.POSITIVE_INFINITY, patience: 0 };
  /** Whether the back end is not read, as the caller has left too much unread. */
  #isPaused = false;
  /** Id of the last event written to the caller. */
  #lastEventId: string | undefined;
  #isEventStream = false;
  #forwardedAt = Number.NEGATIVE_INFINITY;

  /** @param options - `mustClose`: whether the response must tell the caller to close its connection */
  constructor(
    request: IncomingMessage,
    response: ServerResponse,
    { mustClose, unread }: { mustClose: () => boolean; unread: Pick<UnreadAnswers, 'hold'> },
  ) {
    this.#request = request;
    this.#response = response;
    this.#mustClose = mustClose;
    this.#unread = unread;
    const requested = request.headers[LAST_EVENT_ID];
    this.#lastEventId = requested === undefined ? undefined : String(requested);
  }

  /** True once a part of the answer has been written. */
  get started(): boolean {
    return this.#response.headersSent;
  }

  /** True if an event stream has begun, which another back end can resume. */
  get isEventStream(): boolean {
    return this.#isEventStream;
  }

  /** Id of the event after which another back end would resume the answer. */
  get lastEventId(): string | undefined {
    return this.#lastEventId;
  }

  /** Time at which a part of the answer was last written, in milliseconds of the monotonic clock. */
  get forwardedAt(): number {
    return this.#forwardedAt;
  }

  /** True while the back end is not read, as the caller has left too much of the answer unread. */
  get isBlocked(): boolean {
    return this.#isPaused;
  }

  /** Writes the buffered part of the answer of `attempt`, and pauses the attempt while too much of it is unread. */
  forward(answer: AttemptAnswer, attempt: Attempt): void {
    if (this.#write(answer) || this.#unread.hold(this.#response, this.patience) || this.#isPaused) return;
    this.#isPaused = true;
    attempt.pause();
    this.#response.once('drain', () => {
      this.#isPaused = false;
      attempt.resume();
    });
  }

  /** Writes the rest of a complete answer and ends the response. */
  end(answer: AttemptAnswer): void {
    answer.end();
    this.#write(answer);
    if (!this.started) this.#writeHead(answer);
    this.#response.end();
    if (this.#response.writableLength > 0) this.#unread.hold(this.#response, this.patience);
  }

  /** Responds with an error of this system, or cuts an answer that has begun, which must not look complete. */
  fail({ status, retryAfter }: ErrorResponse, requestIdHeader: Record<string, string>): void {
    if (this.started || this.#response.destroyed) return this.cut();
    const headers: Record<string, string> = { 'content-length': '0', ...requestIdHeader };
    if (retryAfter !== undefined) headers['retry-after'] = retryAfter.toFixed(2);
    // The unread rest of a request body would be parsed as the next request.
    if (this.#mustClose() || !this.#request.complete) headers.connection = 'close';
    this.#response.writeHead(status, headers);
    this.#response.end();
  }

  /** Ends the connection before the end of the answer that its length or its last chunk marks. */
  cut(): void {
    dropAnswer(this.#response);
  }

  /** Returns false if the caller is not reading. */
  #write(answer: AttemptAnswer): boolean {
    const bytes = answer.takeBuffered();
    if (bytes === undefined) return true;
    if (!this.started) this.#writeHead(answer);
    this.#lastEventId = answer.lastEventId;
    this.#forwardedAt = performance.now();
    return this.#response.write(bytes);
  }

  #writeHead(answer: AttemptAnswer): void {
    const { status, rawHeaders, headers } = answer.head!;
    this.#isEventStream = answer.isEventStream;
    const left = new Set(answer.isEventStream ? ['content-length'] : []);
    const kept = endToEndHeaders(rawHeaders, headers.connection, left);
    if (this.#mustClose() || isRemainderTooLong(this.#request)) kept.push('Connection', 'close');
    // Without a length it is sent in chunks: the end of the connection alone would look the same if this process were killed.
    this.#response.writeHead(status, kept);
  }
}
