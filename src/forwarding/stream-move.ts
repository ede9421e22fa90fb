/**
 * Tracks the move of one stream off an engine that is about to switch to another version. Another engine resumes the stream
 * before the attempt at the first engine is closed, so that a failed move does not affect the caller.
 *
 * Once the other engine has been asked to resume, events of the first one are withheld, as the other one sends them again.
 */
import type { BackEndUse } from './back-end-use.js';

/** Time in which the other engine must send an event if the route sets no longest pause, in milliseconds. */
const DEFAULT_RESUME_TIMEOUT = 300;

/** The move of one stream; at most one is under way. */
export class StreamMove {
  #source: BackEndUse | undefined;
  #target: BackEndUse | undefined;

  /** True from the search for another engine until the move has ended. */
  get isUnderWay(): boolean {
    return this.#source !== undefined;
  }

  /** True if `use` is the attempt off which the stream moves. */
  isSource(use: BackEndUse): boolean {
    return this.#source === use;
  }

  /** True if events of `use` must not be forwarded to the caller for now. */
  withholds(use: BackEndUse): boolean {
    return this.#target !== undefined && this.isSource(use);
  }

  /** Begins the search for another engine. */
  begin(source: BackEndUse): void {
    this.#source = source;
    this.#target = undefined;
  }

  /** Records the attempt at the engine that is asked to resume the stream. */
  noteSent(target: BackEndUse): void {
    if (this.#source !== undefined) this.#target = target;
  }

  /**
   * True if the other engine has sent nothing for longer than the caller accepts as a pause.
   * @param longestPause - longest pause between two events that the route allows, in milliseconds; 0 if it sets none
   */
  isOverdue(now: number, longestPause: number): boolean {
    if (this.#target === undefined) return false;
    return now - this.#target.attempt.startedAt > (longestPause || DEFAULT_RESUME_TIMEOUT);
  }

  /** Ends the move; returns the attempt whose events were withheld, if there was one. */
  end(): BackEndUse | undefined {
    const source = this.#target === undefined ? undefined : this.#source;
    this.#source = undefined;
    this.#target = undefined;
    return source;
  }
}
