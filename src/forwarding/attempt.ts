/**
 * One request sent to one back end, over a kept-alive connection if there is one. It ends either with a complete answer or
 * with a failure that tells whether the back end may have run the request.
 */
import type { IncomingHttpHeaders } from 'node:http';
import type { Readable } from 'node:stream';
import type { Dispatcher } from 'undici';
import type { BackEndConnection } from './back-end-connection.js';
import type { BackEndConnections } from './back-end-connections.js';
import type { HeaderNames } from './header-names.js';

export interface AttemptRequest {
  requestId: string;
  method: string;
  path: string;
  /** Names and values in turn. */
  headers: string[];
  body: Buffer | Readable | null;
  /**
   * Connections on which the request has had an answer, kept up to date by its attempts. It is not sent on them again: a late
   * second copy of that answer has the same id as the answer to the next send.
   */
  answeredOn: Set<BackEndConnection>;
}

/** Status and headers of an answer. */
export interface AnswerHead {
  status: number;
  headers: IncomingHttpHeaders;
  /** Names and values in turn, as the back end sent them. */
  rawHeaders: string[];
}

/** True for an answer with neither a length nor chunks, which is delimited only by the end of its connection. */
export function isDelimitedByClose({ headers }: AnswerHead): boolean {
  return headers['content-length'] === undefined && headers['transfer-encoding'] === undefined;
}

/** Summary of any answer to the request, including refusals. */
export interface AnswerSummary {
  status: number;
  headers: IncomingHttpHeaders;
  /** True if the back end did not run the request. */
  isRefusal: boolean;
}

/** Why an attempt has no complete answer. */
export type AttemptFailure =
  /** No byte of the request was written: it cannot have run. */
  | { type: 'notSent'; reason: string }
  /** The back end answered that it did not run the request. `isNamed`: the answer has the id of the request. */
  | { type: 'refused'; status: number; isNamed: boolean }
  /**
   * The request was sent, but the answer is missing, incomplete or that of another request. `isLost`: the connection broke,
   * and was not closed by this process.
   */
  | { type: 'broken'; reason: string; isLost: boolean }
  /** This process ended the attempt, not because of the back end, which may have run the request if `wentOut`. */
  | { type: 'withdrawn'; reason: string; wentOut: boolean };

/** True if bytes of the request may have reached the back end. */
export function mayHaveReachedBackEnd(failure: AttemptFailure): boolean {
  return failure.type === 'withdrawn' ? failure.wentOut : failure.type !== 'notSent';
}

/** Receives the events of an attempt; the last one is `onEnd` or `onFailure`. */
export interface AttemptListener {
  /**
   * Whether the request may still be sent, now that a connection is open for it: this may have taken some time. If not, the
   * attempt is withdrawn.
   */
  maySend(): boolean;
  /** The back end has answered this request, possibly with a refusal; called before `onHead` or `onFailure`. */
  onAnswer(answer: AnswerSummary): void;
  onHead(head: AnswerHead): void;
  onData(chunk: Buffer): void;
  onEnd(): void;
  onFailure(failure: AttemptFailure): void;
}

/** Statuses below are those of interim answers; an answer follows. */
const FIRST_FINAL_STATUS = 200;
/** The statuses that HTTP knows. */
const FIRST_STATUS = 100;
const LAST_STATUS = 599;

/** Status of a back end that is not the expected one, or does not hold the requested weights. */
export const MISDIRECTED = 421;

export class Attempt implements Dispatcher.DispatchHandler {
  readonly startedAt = performance.now();
  readonly #request: AttemptRequest;
  readonly #names: HeaderNames;
  readonly #listener: AttemptListener;
  #connection: BackEndConnection | undefined;
  #controller: Dispatcher.DispatchController | undefined;
  #ended = false;
  #isGivenUp = false;
  #isRefused = false;
  /** Parts of the body that arrived in the current read of the connection. */
  readonly #parts: Buffer[] = [];

  constructor(request: AttemptRequest, names: HeaderNames, listener: AttemptListener) {
    this.#request = request;
    this.#names = names;
    this.#listener = listener;
  }

  /** True once bytes of the request may have been written. */
  get sent(): boolean {
    return this.#controller !== undefined;
  }

  /** True if the back end may have run the request or may still run it. */
  get mayHaveRun(): boolean {
    return this.sent && !this.#isRefused;
  }

  /** True if this process aborted the attempt after the request was sent: the back end may still run it. */
  get isGivenUp(): boolean {
    return this.#isGivenUp;
  }

  /** True while nothing has arrived on the kept-alive connection since the request was sent on it. */
  get isOnSilentConnection(): boolean {
    return this.sent && this.#connection?.isSilent === true;
  }

  /** The connection to the back end; undefined before `send` and if there was none. */
  get connection(): Pick<BackEndConnection, 'localPort' | 'requests'> | undefined {
    return this.#connection;
  }

  send(connections: BackEndConnections): void {
    const { method, path, headers, body, answeredOn } = this.#request;
    const options = { method: method as Dispatcher.HttpMethod, path, headers, body };
    try {
      this.#connection = connections.dispatch(options, this, answeredOn);
    } catch (cause) {
      return this.fail(`cannot be sent: ${String(cause)}`);
    }
    if (this.#connection === undefined) this.fail('no free connection');
  }

  /** Closes the connection, so that the back end stops working on the request. The listener is not called. */
  abort(reason: string): void {
    this.#isGivenUp ||= this.sent && !this.#ended;
    this.#ended = true;
    if (this.#controller !== undefined && !this.#controller.aborted)
      this.#controller.abort(new Error(reason));
  }

  /** Aborts the attempt and reports a failure of the back end: `broken` or `notSent`. */
  fail(reason: string): void {
    if (this.#ended) return;
    const failure: AttemptFailure = this.sent
      ? { type: 'broken', reason, isLost: false }
      : { type: 'notSent', reason };
    this.abort(reason);
    this.#listener.onFailure(failure);
  }

  /** Aborts the attempt for a reason that is no fault of the back end, and reports it as `withdrawn`. */
  withdraw(reason: string): void {
    if (this.#ended) return;
    const wentOut = this.sent;
    this.abort(reason);
    this.#listener.onFailure({ type: 'withdrawn', reason, wentOut });
  }

  pause(): void {
    this.#controller?.pause();
  }

  resume(): void {
    this.#controller?.resume();
  }

  onRequestStart(controller: Dispatcher.DispatchController): void {
    if (!this.#ended && !this.#listener.maySend()) this.withdraw('no longer to be sent');
    if (this.#ended) return controller.abort(new Error('aborted before it was sent'));
    this.#controller = controller;
  }

  onResponseStart(
    controller: Dispatcher.DispatchController,
    status: number,
    headers: IncomingHttpHeaders,
  ): void {
    if (this.#ended) return;
    if (status < FIRST_STATUS || status > LAST_STATUS) return this.fail(`status ${status} is none of HTTP`);
    if (status < FIRST_FINAL_STATUS) return;
    if (this.#connection !== undefined) this.#request.answeredOn.add(this.#connection);
    const answered = headers[this.#names.requestId];
    const isOwn = answered === this.#request.requestId;
    const isRefused = headers[this.#names.notRun] !== undefined || status === MISDIRECTED;
    // A back end may refuse a request before it has read its id. An extra answer to an earlier request has that one's id.
    const isRefusal = isRefused && (isOwn || answered === undefined);
    if (isRefusal || isOwn) this.#listener.onAnswer({ status, headers, isRefusal });
    if (isRefusal) return this.#endRefused(status, isOwn);
    if (!isOwn) return this.fail('answer of another request');
    this.#listener.onHead({ status, headers, rawHeaders: rawPairs(controller.rawHeaders) });
  }

  /** Collects the parts of one read, which is a single synchronous loop: a body may come in chunks of a few bytes. */
  onResponseData(_controller: Dispatcher.DispatchController, chunk: Buffer): void {
    if (this.#ended) return;
    this.#parts.push(chunk);
    if (this.#parts.length === 1) queueMicrotask(() => this.#deliver());
  }

  onResponseEnd(): void {
    this.#deliver();
    if (this.#ended) return;
    this.#ended = true;
    this.#listener.onEnd();
  }

  onResponseError(_controller: Dispatcher.DispatchController, error: Error): void {
    this.#deliver();
    if (this.#ended) return;
    this.#ended = true;
    const reason = (error as { code?: string }).code ?? error.message;
    this.#listener.onFailure(
      this.sent ? { type: 'broken', reason, isLost: true } : { type: 'notSent', reason },
    );
  }

  #deliver(): void {
    const parts = this.#parts.splice(0);
    if (this.#ended || parts.length === 0) return;
    this.#listener.onData(parts.length === 1 ? parts[0] : Buffer.concat(parts));
  }

  /**
   * Ends the attempt, but lets the few remaining bytes of the answer arrive, so that the connection can be reused. After a refusal
   * without an id it is not: a late second copy of it could be that of any request.
   */
  #endRefused(status: number, isNamed: boolean): void {
    this.#ended = true;
    this.#isRefused = true;
    if (!isNamed) this.#connection?.retire();
    this.#listener.onFailure({ type: 'refused', status, isNamed });
  }
}

function rawPairs(raw: Dispatcher.DispatchController['rawHeaders']): string[] {
  return Array.isArray(raw) ? raw.map((part) => part.toString('latin1')) : [];
}
