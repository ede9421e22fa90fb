/**
 * One attempt at a back end in the books of the table: what is in flight there and unread, when anything came last, and
 * how long its answers take. Times are in milliseconds of the steady clock.
 */
import type { Attempt } from './attempt.js';
import type { SentFor } from './back-end-selector.js';
import {
  type BackEndRow,
  type BackEndTable,
  blend,
  isOvertaken,
  noteFirstAnswer,
  noteOvertaking,
} from './back-end-table.js';

/** The use of one back end by one attempt. */
export class BackEndUse {
  readonly row: BackEndRow;
  readonly attempt: Attempt;
  readonly sentFor: SentFor;
  readonly #urgency: number;
  readonly #promptTokens: number;
  readonly #answerTokens: number;
  /** True once the back end has read the prompt, or the attempt has ended. */
  #isRead = false;
  #answeredAt: number | undefined;
  #firstAnswerAfter: number | undefined;
  #progressAt: number;
  #hasSuspectedConnections = false;

  /**
   * @param selection - the back end, and what the attempt goes there for
   * @param urgency - the place that it has in the back end's queue, 0 first
   * @param answerTokens - tokens that the answer may have; 0 where that is not known
   */
  constructor(
    selection: SentFor & { row: BackEndRow },
    attempt: Attempt,
    urgency: number,
    promptTokens: number,
    answerTokens: number,
  ) {
    const { row, engine, version } = selection;
    this.row = row;
    this.sentFor = { engine, version };
    this.attempt = attempt;
    this.#urgency = urgency;
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

  /** True once the first part of an answer has come. */
  get hasBegun(): boolean {
    return this.#firstAnswerAfter !== undefined;
  }

  /** Time to the first part of the answer, in milliseconds; undefined before it. */
  get firstAnswerAfter(): number | undefined {
    return this.#firstAnswerAfter;
  }

  /** When anything came of this attempt last. */
  get progressAt(): number {
    return this.#progressAt;
  }

  /** True where a request that was sent there later, and is no more urgent, has been answered. */
  get isOvertaken(): boolean {
    return isOvertaken(this.row, this.#urgency, this.attempt.startedAt);
  }

  /** The head of an answer has come. */
  noteHead(): void {
    this.#noteProgress();
    this.#answeredAt ??= this.#progressAt;
    this.row.health.noteAnswering();
    noteOvertaking(this.row, this.#urgency, this.attempt.startedAt);
  }

  /** A part of the answer has come: the prompt has been read. */
  notePart(): void {
    this.#noteProgress();
    this.noteRead();
  }

  /** The caller does not read: the back end is not let send, and owes nothing at `now`. */
  noteCallerBlocks(now: number): void {
    this.#progressAt = now;
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

  /** Its kept connection is silent: the idle ones that were last heard before it was sent are not used again. */
  suspectConnections(table: BackEndTable): void {
    if (this.#hasSuspectedConnections) return;
    this.#hasSuspectedConnections = true;
    table.noteSilentConnection(this.row, this.attempt.startedAt);
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
