/**
 * The answer that a caller gets of what back ends send. Nothing of it goes out before its first part is there: of a
 * stream the first whole event, of anything else as much as is kept; until then another back end's answer can take its
 * place.
 */
import type { IncomingMessage, ServerResponse } from 'node:http';
import type { AnswerHead, Attempt } from './attempt.js';
import { EventRelay } from './event-relay.js';
import { endToEndHeaders, LAST_EVENT_ID } from './header-names.js';

/** Answers that are not streams are kept up to this, so that a broken one can be replaced, in bytes. */
const KEPT_BYTES = 65_536;
const OK = 200;

/** The answer to one request. */
export class CallerAnswer {
  readonly #request: IncomingMessage;
  readonly #response: ServerResponse;
  readonly #isLeaving: () => boolean;
  #head: AnswerHead | undefined;
  #kept: Buffer[] = [];
  #keptBytes = 0;
  #events: EventRelay | undefined;

  /** @param isLeaving - whether the caller is to use its connection no more */
  constructor(request: IncomingMessage, response: ServerResponse, isLeaving: () => boolean) {
    this.#request = request;
    this.#response = response;
    this.#isLeaving = isLeaving;
  }

  /** True once the caller has a part of it. */
  get started(): boolean {
    return this.#response.headersSent;
  }

  get status(): number {
    return this.#head?.status ?? 0;
  }

  /** True where another back end can go on with it. */
  get isEventStream(): boolean {
    return this.#events !== undefined;
  }

  /** The event after which it would go on. */
  get lastEventId(): string | undefined {
    return this.#events?.lastEventId ?? this.#requestedEventId;
  }

  /** Takes the head of a back end's answer; false where it cannot go on with what the caller has. */
  begin(head: AnswerHead): boolean {
    if (this.started) return head.status === OK;
    this.#head = head;
    const isEventStream = String(head.headers['content-type'] ?? '').startsWith('text/event-stream');
    this.#events = isEventStream && head.status === OK ? new EventRelay(this.#requestedEventId) : undefined;
    return true;
  }

  /** Takes bytes of `attempt`, which is paused while the caller does not read. */
  push(chunk: Buffer, attempt: Attempt): void {
    const bytes = this.#events === undefined ? chunk : this.#events.push(chunk);
    if (bytes === undefined) return;
    if (this.#events === undefined && !this.started && this.#keep(bytes)) return;
    for (const kept of this.#kept.splice(0)) this.#write(kept);
    if (this.#write(bytes)) return;
    attempt.pause();
    this.#response.once('drain', () => attempt.resume());
  }

  /** Forgets what the caller has not got of an answer that broke off. */
  forget(): void {
    this.#events?.cut();
    this.#kept = [];
    this.#keptBytes = 0;
  }

  /** The back end's answer is whole. */
  end(): void {
    for (const kept of this.#kept.splice(0)) this.#write(kept);
    const rest = this.#events?.end();
    if (rest !== undefined && rest.byteLength > 0) this.#write(rest);
    if (!this.started) this.#writeHead();
    this.#response.end();
  }

  get #requestedEventId(): string | undefined {
    const requested = this.#request.headers[LAST_EVENT_ID];
    return requested === undefined ? undefined : String(requested);
  }

  /** Keeps the beginning; false when it has grown too large for that. */
  #keep(bytes: Buffer): boolean {
    if (this.#keptBytes + bytes.byteLength > KEPT_BYTES) return false;
    this.#kept.push(bytes);
    this.#keptBytes += bytes.byteLength;
    return true;
  }

  #write(bytes: Buffer): boolean {
    if (!this.started) this.#writeHead();
    return this.#response.write(bytes);
  }

  #writeHead(): void {
    const { status, rawHeaders, headers } = this.#head!;
    const left = new Set(this.isEventStream ? ['content-length'] : []);
    const kept = endToEndHeaders(rawHeaders, headers.connection, left);
    if (this.#isLeaving()) kept.push('Connection', 'close');
    // An answer that ends with its connection may have been cut: it must not get a frame that says that it is whole.
    if (isUnframed(headers)) this.#response.useChunkedEncodingByDefault = false;
    this.#response.writeHead(status, kept);
  }
}

/** True for an answer that ends with its connection. */
function isUnframed(headers: AnswerHead['headers']): boolean {
  return headers['content-length'] === undefined && headers['transfer-encoding'] === undefined;
}
