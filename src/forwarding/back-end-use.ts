/**
 * One attempt at a back end in the books of the table: what is in flight there and unread, when anything came last, and
 * how long its answers take. Times are in milliseconds of the steady clock.
 */
import type { Attempt } from './attempt.js';
import { type BackEndRow, blend, noteFirstAnswer } from './back-end-table.js';

/** The use of one back end by one attempt. */
export class BackEndUse {
  readonly row: BackEndRow;
  readonly attempt: Attempt;
  readonly #promptTokens: number;
  readonly #answerTokens: number;
  /** True once the back end has read the prompt, or the attempt has ended. */
  #isRead = false;
  #answeredAt: number | undefined;
  #firstAnswerAfter: number | undefined;
  #progressAt: number;

  /** @param answerTokens - tokens that the answer may have; 0 where that is not known */
  constructor(row: BackEndRow, attempt: Attempt, promptTokens: number, answerTokens: number) {
    this.row = row;
    this.attempt = attempt;
    this.#promptTokens = promptTokens;
    this.#answerTokens = answerTokens;
    this.#progressAt = performance.now();
    row.inFlight++;
    row.unreadTokens += promptTokens;
    row.health.noteSent();
    if (row.inFlight === 1) row.progressAt = this.#progressAt;
  }

  /** True once the head of an answer has come. */
  get hasAnswered(): boolean {
    return this.#answeredAt !== undefined;
  }

  /** Time to the first part of the answer, in milliseconds; undefined before it. */
  get firstAnswerAfter(): number | undefined {
    return this.#firstAnswerAfter;
  }

  /** When anything came of this attempt last. */
  get progressAt(): number {
    return this.#progressAt;
  }

  /** The head of an answer has come. */
  noteHead(): void {
    this.#noteProgress();
    this.#answeredAt ??= this.#progressAt;
  }

  /** A part of the answer has come: the prompt has been read. */
  notePart(): void {
    this.#noteProgress();
    this.noteRead();
  }

  /** The back end has read the prompt, or will not. */
  noteRead(): void {
    if (this.#isRead) return;
    this.#isRead = true;
    this.row.unreadTokens -= this.#promptTokens;
    if (this.#answeredAt === undefined) return;
    const now = performance.now();
    this.#firstAnswerAfter = Math.round(now - this.attempt.startedAt);
    noteFirstAnswer(this.row, this.#firstAnswerAfter, now);
  }

  /** The attempt has ended; returns how long it took, in milliseconds. */
  end(): number {
    this.noteRead();
    this.row.inFlight--;
    return performance.now() - this.attempt.startedAt;
  }

  /** The whole answer came after `took` milliseconds. */
  noteServed(took: number): void {
    this.row.duration = blend(this.row.duration, took);
    if (this.#answerTokens > 0)
      this.row.timePerToken = blend(this.row.timePerToken, took / this.#answerTokens);
  }

  #noteProgress(): void {
    this.#progressAt = performance.now();
    this.row.progressAt = this.#progressAt;
  }
}
