/**
 * One request sent to one back end, over a kept connection where there is one. It ends in exactly one of: a whole
 * answer, or a failure that says whether the back end can have run the request.
 */
import type { IncomingHttpHeaders } from 'node:http';
import type { Readable } from 'node:stream';
import type { Dispatcher } from 'undici';
import type { BackEndConnection } from './back-end-connection.js';
import type { BackEndConnections } from './back-end-connections.js';
import type { HeaderNames } from './header-names.js';

/** What an attempt sends. */
export interface AttemptRequest {
  requestId: string;
  method: string;
  path: string;
  /** Pairs of name and value, one after the other. */
  headers: string[];
  body: Buffer | Readable | null;
}

/** The head of an answer. */
export interface AnswerHead {
  status: number;
  headers: IncomingHttpHeaders;
  /** Pairs of name and value as the back end sent them. */
  rawHeaders: string[];
}

/** Status and headers of an answer, reported for refusals as well. */
export interface AnswerSummary {
  status: number;
  headers: IncomingHttpHeaders;
  /** The back end did not run the request. */
  isRefusal: boolean;
}

/** Why an attempt has no whole answer. */
export type AttemptFailure =
  /** No byte of the request went out: it cannot have run. */
  | { type: 'notSent'; reason: string }
  /** The back end says that it did not run the request. */
  | { type: 'refused'; status: number }
  /** The request went out, and the answer is missing, cut or another request's. `isLost`: the connection broke by itself. */
  | { type: 'broken'; reason: string; isLost: boolean }
  /** This process has ended it, through no fault of the back end, which may have run the request if it `wentOut`. */
  | { type: 'withdrawn'; reason: string; wentOut: boolean };

/** True where bytes of the request may have reached the back end. */
export function wentOut(failure: AttemptFailure): boolean {
  return failure.type === 'withdrawn' ? failure.wentOut : failure.type !== 'notSent';
}

/** Told as the answer comes. Nothing follows `onEnd` or `onFailure`. */
export interface AttemptListener {
  /** The back end has answered this request, possibly with a refusal; called before `onHead` or `onFailure`. */
  onAnswer(answer: AnswerSummary): void;
  onHead(head: AnswerHead): void;
  onData(chunk: Buffer): void;
  onEnd(): void;
  onFailure(failure: AttemptFailure): void;
}

/** Status of a back end that is not the one that was meant, or does not hold what was asked for. */
export const MISDIRECTED = 421;

/** A request on its way. */
export class Attempt implements Dispatcher.DispatchHandler {
  readonly startedAt = performance.now();
  readonly #request: AttemptRequest;
  readonly #names: HeaderNames;
  readonly #listener: AttemptListener;
  #connections: BackEndConnections | undefined;
  #connection: BackEndConnection | undefined;
  #controller: Dispatcher.DispatchController | undefined;
  #ended = false;
  #isGivenUp = false;
  #isRefused = false;

  constructor(request: AttemptRequest, names: HeaderNames, listener: AttemptListener) {
    this.#request = request;
    this.#names = names;
    this.#listener = listener;
  }

  /** True once bytes of the request may have gone out. */
  get sent(): boolean {
    return this.#controller !== undefined;
  }

  /** True where its back end may have run the request, or may yet. */
  get mayHaveRun(): boolean {
    return this.sent && !this.#isRefused;
  }

  /** True where this process ended it after it had gone out: its back end may still run the request. */
  get isGivenUp(): boolean {
    return this.#isGivenUp;
  }

  /** True while nothing has come on a kept connection since it was sent there. */
  get isOnSilentConnection(): boolean {
    return this.sent && this.#connection?.isSilent === true;
  }

  send(connections: BackEndConnections): void {
    const { method, path, headers, body } = this.#request;
    this.#connections = connections;
    const options = { method: method as Dispatcher.HttpMethod, path, headers, body };
    this.#connection = connections.dispatch(options, this);
    if (this.#connection === undefined) this.fail('no free connection');
  }

  /** Ends the attempt; the connection closes, so that the back end stops working on it. Tells the listener nothing. */
  abort(reason: string): void {
    this.#isGivenUp ||= this.sent && !this.#ended;
    this.#ended = true;
    if (this.#controller !== undefined && !this.#controller.aborted)
      this.#controller.abort(new Error(reason));
  }

  /** Ends the attempt and tells why. */
  fail(reason: string): void {
    if (this.#ended) return;
    const failure: AttemptFailure = this.sent
      ? { type: 'broken', reason, isLost: false }
      : { type: 'notSent', reason };
    this.abort(reason);
    this.#listener.onFailure(failure);
  }

  /** Ends an attempt that could go wrong, and tells why. */
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
    if (this.#ended) return controller.abort(new Error('given up before it was sent'));
    this.#controller = controller;
  }

  onResponseStart(
    controller: Dispatcher.DispatchController,
    status: number,
    headers: IncomingHttpHeaders,
  ): void {
    if (this.#ended || status < 200) return;
    const answered = headers[this.#names.requestId];
    const isOwn = answered === this.#request.requestId;
    const isRefused = headers[this.#names.notRun] !== undefined || status === MISDIRECTED;
    // A back end may refuse what it has not read the identity of; an extra answer to an earlier request has one.
    const isRefusal = isRefused && (isOwn || answered === undefined);
    if (isRefusal || isOwn) this.#listener.onAnswer({ status, headers, isRefusal });
    if (isRefusal) return this.#endRefused(status);
    if (!isOwn) return this.fail('answer of another request');
    this.#listener.onHead({ status, headers, rawHeaders: rawPairs(controller.rawHeaders) });
  }

  onResponseData(_controller: Dispatcher.DispatchController, chunk: Buffer): void {
    if (!this.#ended) this.#listener.onData(chunk);
  }

  onResponseEnd(): void {
    if (this.#ended) return;
    if (this.#connections?.isInterrupted === true) {
      const reason = 'reset before its end';
      this.abort(reason);
      return this.#listener.onFailure({ type: 'broken', reason, isLost: true });
    }
    this.#ended = true;
    this.#listener.onEnd();
  }

  onResponseError(_controller: Dispatcher.DispatchController, error: Error): void {
    if (this.#ended) return;
    this.#ended = true;
    const reason = (error as { code?: string }).code ?? error.message;
    this.#listener.onFailure(
      this.sent ? { type: 'broken', reason, isLost: true } : { type: 'notSent', reason },
    );
  }

  /** The rest of the answer, a few bytes, is left to come so that the connection can be kept. */
  #endRefused(status: number): void {
    this.#ended = true;
    this.#isRefused = true;
    this.#listener.onFailure({ type: 'refused', status });
  }
}

function rawPairs(raw: Dispatcher.DispatchController['rawHeaders']): string[] {
  return Array.isArray(raw) ? raw.map((part) => part.toString('latin1')) : [];
}
