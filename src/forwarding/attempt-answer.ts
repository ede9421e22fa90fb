/**
 * Buffers the answer of one attempt until it can be passed on to the caller. Event streams are released one whole event at
 * a time, so that another back end can resume them. Other answers are buffered up to a limit, so that a failed one can
 * still be replaced.
 */
import type { EventBudget } from '../systems/event-budget.js';
import { type AnswerHead, isDelimitedByClose } from './attempt.js';
import { EventRelay } from './event-relay.js';

/** Limit in bytes up to which an answer that is not an event stream is buffered. */
const MAX_BUFFERED_BYTES = 65_536;
const OK = 200;

/** The buffered answer of one attempt. */
export class AttemptAnswer {
  readonly #resumeEventId: string | undefined;
  readonly #eventBudget: EventBudget;
  /** Bytes held of an event that is not whole, as counted in the budget. */
  #heldBytes = 0;
  #isEventTooLong = false;
  #head: AnswerHead | undefined;
  #events: EventRelay | undefined;
  readonly #buffered: Buffer[] = [];
  /** Bytes buffered so far, including those already taken: beyond the limit all bytes are passed on as they come. */
  #bufferedBytes = 0;

  /** @param resumeEventId - id of the event after which a stream resumes; undefined to start at its beginning */
  constructor(resumeEventId: string | undefined, eventBudget: EventBudget) {
    this.#resumeEventId = resumeEventId;
    this.#eventBudget = eventBudget;
  }

  get head(): AnswerHead | undefined {
    return this.#head;
  }

  get status(): number {
    return this.#head?.status ?? 0;
  }

  /** True for a successful event stream, which another back end can resume. */
  get isEventStream(): boolean {
    return this.#events !== undefined;
  }

  /** True for an answer whose end is marked only by the end of its connection: a crash of the back end looks the same. */
  get isDelimitedByClose(): boolean {
    return this.#head !== undefined && isDelimitedByClose(this.#head);
  }

  /**
   * Call at the end of the body: true for an event stream that ends inside an event. Without a length or chunks, a stream that
   * has no event is taken to be broken off too.
   */
  get isBrokenOff(): boolean {
    if (this.#events === undefined) return false;
    return this.#events.isInsideEvent || (this.isDelimitedByClose && !this.#events.hasEvents);
  }

  /** Id of the last whole event, or of the event after which the stream resumes. */
  get lastEventId(): string | undefined {
    return this.#events?.lastEventId ?? this.#resumeEventId;
  }

  /** Records the status and headers, and detects event streams. */
  begin(head: AnswerHead): void {
    this.#head = head;
    const isEventStream = String(head.headers['content-type'] ?? '').startsWith('text/event-stream');
    this.#events = isEventStream && head.status === OK ? new EventRelay(this.#resumeEventId) : undefined;
  }

  /** True once an event has exceeded the largest size that may be held: the answer is broken. */
  get isEventTooLong(): boolean {
    return this.#isEventTooLong;
  }

  /** Buffers bytes of the body; returns whether the buffer is ready to be passed on. */
  push(chunk: Buffer): boolean {
    const bytes = this.#events === undefined ? chunk : this.#pushToEvents(this.#events, chunk);
    if (bytes === undefined) return false;
    this.#buffered.push(bytes);
    this.#bufferedBytes += bytes.byteLength;
    return this.#events !== undefined || this.#bufferedBytes > MAX_BUFFERED_BYTES;
  }

  /** True if bytes are buffered that `takeBuffered` would return. */
  get hasBuffered(): boolean {
    return this.#buffered.length > 0;
  }

  /** Call at the end of the attempt: an event that is not whole no longer counts as held. */
  release(): void {
    this.#noteHeld(0);
  }

  /** Marks the end of the body; bytes after the last whole event of a stream become ready too. */
  end(): void {
    const rest = this.#events?.end();
    this.#noteHeld(0);
    if (rest !== undefined && rest.byteLength > 0) this.#buffered.push(rest);
  }

  /** Removes and returns the buffered bytes; undefined if there are none. */
  takeBuffered(): Buffer | undefined {
    if (this.#buffered.length === 0) return undefined;
    const bytes = this.#buffered.length === 1 ? this.#buffered[0] : Buffer.concat(this.#buffered);
    this.#buffered.length = 0;
    return bytes;
  }

  #pushToEvents(events: EventRelay, chunk: Buffer): Buffer | undefined {
    const whole = events.push(chunk);
    this.#isEventTooLong ||= !this.#noteHeld(events.incompleteBytes);
    return whole;
  }

  /** Updates how much is held of an event that is not whole; returns whether that may be held. */
  #noteHeld(bytes: number): boolean {
    const mayBeHeld = this.#eventBudget.note(this.#heldBytes, bytes);
    this.#heldBytes = bytes;
    return mayBeHeld;
  }
}
