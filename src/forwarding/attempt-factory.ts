/** Creates the attempts of one request: the request as one back end gets it, and its use of that back end. */
import type { IncomingMessage } from 'node:http';
import type { Readable } from 'node:stream';
import type { EventBudget } from '../systems/event-budget.js';
import { MAX_ARRIVAL_DELAY } from '../systems/retry-window.js';
import { type AdmittedRequest, headersToSend } from './admitted-request.js';
import { type AnswerHead, type AnswerSummary, Attempt, type AttemptFailure } from './attempt.js';
import { AttemptAnswer } from './attempt-answer.js';
import type { BackEndBackoffs } from './back-end-backoffs.js';
import type { BackEndConnection } from './back-end-connection.js';
import type { BackEndSelector, Selection } from './back-end-selector.js';
import type { BackEndRow } from './back-end-table.js';
import { BackEndUse } from './back-end-use.js';
import type { CallerBody } from './caller-body.js';
import type { SlotClaim } from './engine-slots.js';
import type { HeaderNames } from './header-names.js';

export interface AttemptFactoryComponents {
  names: HeaderNames;
  reservedHeaders: ReadonlySet<string>;
  selector: Pick<BackEndSelector, 'isUnavailable'>;
  backoffs: BackEndBackoffs;
  eventBudget: EventBudget;
}

/** The request of which attempts are made; each method returns the state at the time of the call. */
export interface AttemptedRequest {
  readonly request: IncomingMessage;
  readonly id: string;
  readonly admitted: AdmittedRequest;
  body(): CallerBody;
  /** Id of the last event that the caller has received; undefined if it has received none. */
  lastEventId(): string | undefined;
  /**
   * Whether an attempt at `row` may go out now that a connection is open for it.
   * @param mustSend - whether it goes out even if the back end has asked for no more requests
   */
  mayGoOut(row: BackEndRow, mustSend: boolean): boolean;
}

/** What happens to an attempt. */
export interface AttemptEvents {
  onAnswer(use: BackEndUse, answer: AnswerSummary): void;
  onHead(use: BackEndUse, head: AnswerHead): void;
  /** A part of the answer has arrived that is ready to be passed on. */
  onPart(use: BackEndUse): void;
  onEnd(use: BackEndUse): void;
  onFailure(use: BackEndUse, failure: AttemptFailure): void;
}

/** Creates the attempts of one request. */
export class AttemptFactory {
  readonly #components: AttemptFactoryComponents;
  readonly #request: AttemptedRequest;
  readonly #events: AttemptEvents;
  /** Shared by all attempts of the request. */
  readonly #answeredOn = new Set<BackEndConnection>();

  constructor(components: AttemptFactoryComponents, request: AttemptedRequest, events: AttemptEvents) {
    this.#components = components;
    this.#request = request;
    this.#events = events;
  }

  /** Creates an attempt, which is not sent yet, and counts it at the back end. */
  create(selection: Selection, claim: SlotClaim | undefined): BackEndUse {
    const { request, id, admitted, body, lastEventId, mayGoOut } = this.#request;
    const { route, timing, rank, promptTokens, answerTokens } = admitted;
    const { names, selector, backoffs } = this.#components;
    const events = this.#events;
    const { row } = selection;
    const urgency = timing.urgency(rank, performance.now());
    // A body that is not buffered would be lost with an attempt that is withdrawn.
    const isStreamed = body().type === 'streamed';
    const mustSend = isStreamed || selector.isUnavailable(row, performance.now());
    // Choice, headers and retry budget are those of the time at which the attempt was created.
    const isOutdated = () => performance.now() - attempt.startedAt > MAX_ARRIVAL_DELAY;
    const attempt: Attempt = new Attempt(
      {
        requestId: id,
        method: request.method ?? 'GET',
        path: request.url ?? '/',
        headers: this.#headersFor(selection, urgency),
        body: bytesOf(body()),
        answeredOn: this.#answeredOn,
      },
      names,
      {
        maySend: () => mayGoOut(row, mustSend) && (isStreamed || !isOutdated()),
        onAnswer: (answer) => events.onAnswer(use, answer),
        onHead: (head) => events.onHead(use, head),
        onData: (chunk) => this.#onData(use, chunk),
        onEnd: () => events.onEnd(use),
        onFailure: (failure) => events.onFailure(use, this.#attribute(failure)),
      },
    );
    const answer = new AttemptAnswer(lastEventId(), this.#components.eventBudget);
    const use: BackEndUse = new BackEndUse({
      selection,
      attempt,
      answer,
      claim,
      backoffs,
      urgency,
      promptTokens,
      answerTokens,
      isStream: route.isStream,
    });
    return use;
  }

  #onData(use: BackEndUse, chunk: Buffer): void {
    use.notePart();
    const isReady = use.answer.push(chunk);
    if (isReady) this.#events.onPart(use);
    if (use.answer.isEventTooLong) use.attempt.fail('event too long');
  }

  /** A body that the caller has not completed ends the attempt, but is no failure of the back end. */
  #attribute(failure: AttemptFailure): AttemptFailure {
    const body = this.#request.body();
    if (body.type !== 'streamed' || body.ending.error === undefined || failure.type !== 'broken')
      return failure;
    return { type: 'withdrawn', reason: `body ${body.ending.error}`, wentOut: true };
  }

  #headersFor({ row, expectedVersion }: Selection, urgency: number): string[] {
    const { request, admitted, body, lastEventId } = this.#request;
    const attempt = {
      backEnd: row.record.id,
      version: expectedVersion,
      urgency,
      lastEventId: lastEventId(),
      isStreamed: body().type === 'streamed',
    };
    return headersToSend(request, admitted, attempt, this.#components, performance.now());
  }
}

function bytesOf(body: CallerBody): Buffer | Readable | null {
  if (body.type === 'kept') return body.bytes;
  return body.type === 'streamed' ? body.stream : null;
}
