/**
 * The move of one stream off an engine that is about to take another version, while its attempt there stays open: another
 * engine resumes the stream before the first attempt is closed, so that a move that fails costs the caller nothing.
 *
 * Once the other engine has been asked to resume, events of the first one are held back, as the other sends them again.
 */
import type { BackEndUse } from './back-end-use.js';

/** Time in which the other engine must send an event where the route names no longest pause, in milliseconds. */
const DEFAULT_LIMIT = 300;

/** The move of one stream; at most one is under way. */
export class StreamMove {
  #source: BackEndUse | undefined;
  #target: BackEndUse | undefined;

  /** True from the search for another engine until the move has ended. */
  get isUnderWay(): boolean {
    return this.#source !== undefined;
  }

  /** True if `use` is the attempt that the stream is to leave. */
  isSource(use: BackEndUse): boolean {
    return this.#source === use;
  }

  /** True if events of `use` are not to be passed on yet. */
  holdsBack(use: BackEndUse): boolean {
    return this.#target !== undefined && this.isSource(use);
  }

  /** Begins the search for another engine. */
  begin(source: BackEndUse): void {
    this.#source = source;
    this.#target = undefined;
  }

  /** The stream was sent to another engine, which is to resume it. */
  noteSent(target: BackEndUse): void {
    if (this.#source !== undefined) this.#target = target;
  }

  /**
   * True if the other engine has been sending nothing for so long that the caller would notice.
   * @param longestPause - longest pause between two events that the route allows, in milliseconds; 0 where it names none
   */
  isOverdue(now: number, longestPause: number): boolean {
    if (this.#target === undefined) return false;
    return now - this.#target.attempt.startedAt > (longestPause || DEFAULT_LIMIT);
  }

  /** Ends the move; returns the attempt whose events were held back, if any were. */
  end(): BackEndUse | undefined {
    const source = this.#target === undefined ? undefined : this.#source;
    this.#source = undefined;
    this.#target = undefined;
    return source;
  }
}
