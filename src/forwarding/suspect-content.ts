/** The content of one request, which may be a poison request. It is computed only when it is needed. */
import type { PoisonDecision, RequestContent } from '../systems/poison-requests.js';
import type { BackEndRow } from './back-end-table.js';
import type { PoisonGuard } from './poison-guard.js';

/** Applies the poison guard to one request. */
export class SuspectContent {
  readonly #guard: PoisonGuard;
  readonly #computeContent: () => RequestContent;
  #content: RequestContent | undefined;
  #isTrial = false;
  #mayHaveRun = false;

  /** @param computeContent - computes the content; called at most once, after the body has been read */
  constructor(guard: PoisonGuard, computeContent: () => RequestContent) {
    this.#guard = guard;
    this.#computeContent = computeContent;
  }

  get content(): RequestContent {
    this.#content ??= this.#computeContent();
    return this.#content;
  }

  /** Decides whether the request is sent at all. */
  async admit(service: string): Promise<PoisonDecision> {
    if (!this.#guard.hasSuspects) return { type: 'allowed' };
    const decision = await this.#guard.admit(this.content, service);
    this.#isTrial = decision.type === 'trial';
    return decision;
  }

  /** Whether the request may be sent to a back end now. Always true for a trial. */
  get mayBeSent(): boolean {
    return this.#isTrial || !this.#guard.hasSuspects || this.#guard.allows(this.content);
  }

  /** Retry delay for the caller, in milliseconds. */
  get retryAfter(): number {
    return this.#guard.retryAfter(this.content);
  }

  /** Whether the request may be sent again after a back end may have run it. Never true for a trial. */
  get mayRunAgain(): boolean {
    return !this.#isTrial && this.mayBeSent;
  }

  /** The connection to a back end that was running the request broke. */
  noteBroken(row: BackEndRow): void {
    this.#guard.noteBroken({ row, content: this.content });
  }

  /** The request was aborted at a back end, which may still run it. */
  noteGivenUp(row: BackEndRow): void {
    this.#guard.noteGivenUp({ row, content: this.content });
  }

  /** A back end may have run the request, or may still run it. */
  noteMayHaveRun(): void {
    this.#mayHaveRun = true;
  }

  /** The request has ended, with any outcome. */
  noteEnded(): void {
    if (this.#isTrial && !this.#mayHaveRun) this.#guard.withdrawTrial(this.content);
  }

  /** The request was served completely. */
  noteServed(): void {
    if (this.#guard.hasSuspects) this.#guard.noteServed(this.content);
  }

  /** The answer ended with its connection, as it would at a crash of the back end. */
  noteEndedByClose(row: BackEndRow): void {
    this.#guard.noteEndedByClose({ row, content: this.content });
  }

  /** A new connection to the back end was refused. */
  noteRefused(row: BackEndRow): void {
    this.#guard.noteRefused(row);
  }

  /** The back end has answered on an attempt that began at `startedAt`, in milliseconds of the monotonic clock. */
  noteAnswering(row: BackEndRow, startedAt: number): void {
    this.#guard.noteAnswering(row, startedAt);
  }
}
