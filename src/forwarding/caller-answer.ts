/**
 * Writes the answer to the caller: the output of one or more attempts in sequence, or an error of this system.
 */
import type { IncomingMessage, ServerResponse } from 'node:http';
import type { Attempt } from './attempt.js';
import type { AttemptAnswer } from './attempt-answer.js';
import type { ErrorResponse } from './forwarding-errors.js';
import { endToEndHeaders, LAST_EVENT_ID } from './header-names.js';

export class CallerAnswer {
  readonly #request: IncomingMessage;
  readonly #response: ServerResponse;
  readonly #mustClose: () => boolean;
  /** Id of the last event written to the caller. */
  #lastEventId: string | undefined;
  #isEventStream = false;
  #isDelimitedByClose = false;
  #forwardedAt = Number.NEGATIVE_INFINITY;

  /** @param mustClose - whether the response must tell the caller to close its connection */
  constructor(request: IncomingMessage, response: ServerResponse, mustClose: () => boolean) {
    this.#request = request;
    this.#response = response;
    this.#mustClose = mustClose;
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

  /** True while the write buffer is full, as the caller is not reading. */
  get isBlocked(): boolean {
    return this.#response.writableNeedDrain;
  }

  /** Writes the buffered part of the answer of `attempt`, and pauses the attempt while the caller is not reading. */
  forward(answer: AttemptAnswer, attempt: Attempt): void {
    if (this.#write(answer)) return;
    attempt.pause();
    this.#response.once('drain', () => attempt.resume());
  }

  /** Writes the rest of a complete answer and ends the response. */
  end(answer: AttemptAnswer): void {
    answer.end();
    this.#write(answer);
    if (!this.started) this.#writeHead(answer);
    this.#response.end();
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

  /**
   * Ends the connection, so that the caller can tell that the answer is incomplete. An answer that is delimited by the end of its
   * connection is reset, since a close would mark it as complete.
   */
  cut(): void {
    if (this.#isDelimitedByClose) this.#response.socket?.resetAndDestroy();
    this.#response.destroy();
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
    this.#isDelimitedByClose = answer.isDelimitedByClose;
    const left = new Set(answer.isEventStream ? ['content-length'] : []);
    const kept = endToEndHeaders(rawHeaders, headers.connection, left);
    if (this.#mustClose()) kept.push('Connection', 'close');
    // An answer delimited by the end of its connection may be truncated. Chunked encoding would mark it as complete.
    if (answer.isDelimitedByClose) this.#response.useChunkedEncodingByDefault = false;
    this.#response.writeHead(status, kept);
  }
}
