/**
 * Accounts for one attempt in the row of its back end: requests in flight, prompt tokens that are not read yet, the
 * time of the last progress, and moving averages of answer times. Times are in milliseconds of the monotonic clock.
 */
import type { Attempt } from './attempt.js';
import type { AttemptAnswer } from './attempt-answer.js';
import type { BackEndBackoffs } from './back-end-backoffs.js';
import {
  type BackEndRow,
  type BackEndTable,
  isOvertaken,
  movingAverage,
  noteFirstAnswer,
  noteOvertaking,
} from './back-end-table.js';
import type { SlotClaim } from './engine-slots.js';
import type { AssumedEngine } from './version-rules.js';

const FIRST_ERROR_STATUS = 400;

export interface BackEndUseOptions {
  /** The selected back end, and the engine and version for which it was selected. */
  selection: AssumedEngine & { row: BackEndRow };
  attempt: Attempt;
  answer: AttemptAnswer;
  /** The slot held by the attempt; undefined if it holds none. */
  claim: SlotClaim | undefined;
  backoffs: Pick<BackEndBackoffs, 'noteSent' | 'noteEnded'>;
  /** Position in the back end's queue, 0 first. */
  urgency: number;
  promptTokens: number;
  /** Maximum number of tokens of the answer; 0 if unknown. */
  answerTokens: number;
  /** Whether the objective of the request ends with the first event of its answer. */
  isStream: boolean;
}

/** One attempt's use of a back end. */
export class BackEndUse {
  readonly row: BackEndRow;
  readonly attempt: Attempt;
  readonly answer: AttemptAnswer;
  readonly claim: SlotClaim | undefined;
  readonly assumedEngine: AssumedEngine;
  readonly #backoffs: BackEndUseOptions['backoffs'];
  readonly #urgency: number;
  readonly #promptTokens: number;
  readonly #answerTokens: number;
  readonly #isStream: boolean;
  /** Whether the prompt tokens no longer count: the back end has read the prompt, or the attempt has ended. */
  #isPromptRead = false;
  #answeredAt: number | undefined;
  #firstAnswerAfter: number | undefined;
  #progressAt: number;
  #hasSuspectedIdleConnections = false;
  #isSilent = false;
  #hasBeenSilent = false;

  constructor(options: BackEndUseOptions) {
    const { row, engine, version } = options.selection;
    this.row = row;
    this.assumedEngine = { engine, version };
    this.attempt = options.attempt;
    this.answer = options.answer;
    this.claim = options.claim;
    this.#backoffs = options.backoffs;
    this.#urgency = options.urgency;
    this.#promptTokens = options.promptTokens;
    this.#answerTokens = options.answerTokens;
    this.#isStream = options.isStream;
    this.#progressAt = performance.now();
    row.inFlight++;
    row.pendingPromptTokens += options.promptTokens;
    row.health.noteSent();
    options.backoffs.noteSent(row.record, this.attempt, this.#progressAt);
    if (row.inFlight === 1) row.progressAt = this.#progressAt;
  }

  /** Whether the head of an answer has been received. */
  get hasAnswered(): boolean {
    return this.#answeredAt !== undefined;
  }

  /** Whether the first part of an answer has been received. */
  get hasBegun(): boolean {
    return this.#firstAnswerAfter !== undefined;
  }

  /** Time to the first part of the answer, in milliseconds; undefined until it has been received. */
  get firstAnswerAfter(): number | undefined {
    return this.#firstAnswerAfter;
  }

  /** When any part of the answer was last received; when the request was sent, before that. */
  get progressAt(): number {
    return this.#progressAt;
  }

  /** True after `noteSilence` until the next part of the answer arrives. */
  get isSilent(): boolean {
    return this.#isSilent;
  }

  /** Whether the back end has answered a request that was sent later and is not more urgent. */
  get isOvertaken(): boolean {
    return isOvertaken(this.row, this.#urgency, this.attempt.startedAt);
  }

  /** The head of an answer has been received. */
  noteHead(): void {
    this.#noteProgress();
    this.#answeredAt ??= this.#progressAt;
    this.row.health.noteAnswering();
    noteOvertaking(this.row, this.#urgency, this.attempt.startedAt);
  }

  /** A part of the answer has been received, so the back end has read the prompt. */
  notePart(): void {
    this.#noteProgress();
    const isFirst = this.#firstAnswerAfter === undefined;
    this.notePromptRead();
    if (isFirst && this.#firstAnswerAfter !== undefined && this.#tellsServiceTimes)
      this.row.waits.noteFirstEvent(this.#promptTokens, this.#firstAnswerAfter);
  }

  /** True after the first `noteSilence`. */
  get hasBeenSilent(): boolean {
    return this.#hasBeenSilent;
  }

  /** Marks the attempt as silent. */
  noteSilence(): void {
    this.#hasBeenSilent = true;
    this.#isSilent = true;
  }

  /** The caller does not read the answer. Back-pressure stops the back end, so no part of the answer is due at `now`. */
  noteBackPressure(now: number): void {
    this.#progressAt = now;
  }

  /** The back end has read the prompt, or will no longer do so. */
  notePromptRead(): void {
    if (this.#isPromptRead) return;
    this.#isPromptRead = true;
    this.claim?.notePromptRead();
    this.row.pendingPromptTokens -= this.#promptTokens;
    if (this.#answeredAt === undefined) return;
    const now = performance.now();
    this.#firstAnswerAfter = Math.round(now - this.attempt.startedAt);
    noteFirstAnswer(this.row, this.#firstAnswerAfter, now);
  }

  /**
   * Its kept connection is silent: idle connections that were last active before the request was sent are not used
   * again.
   */
  suspectIdleConnections(table: BackEndTable): void {
    if (this.#hasSuspectedIdleConnections) return;
    this.#hasSuspectedIdleConnections = true;
    table.noteSilentConnection(this.row, this.attempt.startedAt);
  }

  /** Ends the attempt and releases its slot; returns its duration in milliseconds. */
  end(): number {
    this.claim?.release(this.attempt.sent);
    this.answer.release();
    this.#backoffs.noteEnded(this.row.record, this.attempt);
    this.notePromptRead();
    this.row.inFlight--;
    return performance.now() - this.attempt.startedAt;
  }

  /** The complete answer was received after `took` milliseconds. */
  noteServed(took: number): void {
    this.row.duration = movingAverage(this.row.duration, took);
    if (this.#tellsServiceTimes) this.row.waits.noteServed(took);
    if (this.#answerTokens > 0)
      this.row.timePerToken = movingAverage(this.row.timePerToken, took / this.#answerTokens);
  }

  /**
   * Whether its times tell how long streams take with a slot. Without one, they also contain the wait in the queue of the
   * engine; rejections and answers that are not streams have no first event.
   */
  get #tellsServiceTimes(): boolean {
    return this.claim !== undefined && this.#isStream && this.answer.status < FIRST_ERROR_STATUS;
  }

  #noteProgress(): void {
    this.#isSilent = false;
    this.#progressAt = performance.now();
    this.row.progressAt = this.#progressAt;
  }
}
