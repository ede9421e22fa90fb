/**
 * Tracks the open attempts of one request and the number of back ends that may have run it. Several attempts are open while
 * a silent back end is being replaced; the first that sends a part of the answer is kept.
 */
import type { BackEndOutcome } from './back-end-health.js';
import type { BackEndRow } from './back-end-table.js';
import type { BackEndUse } from './back-end-use.js';
import type { SuspectContent } from './suspect-content.js';

export interface OpenAttemptsOptions {
  content: SuspectContent;
  /** Usual share of failures among the back ends of the request's service. */
  usualFailureShare: () => number;
}

/** The attempts of one request that have not ended. */
export class OpenAttempts {
  readonly #options: OpenAttemptsOptions;
  readonly #all = new Set<BackEndUse>();
  #endedRuns = 0;

  constructor(options: OpenAttemptsOptions) {
    this.#options = options;
  }

  get size(): number {
    return this.#all.size;
  }

  /** The attempts in the order in which they were added; closing attempts during the iteration is safe. */
  all(): Iterable<BackEndUse> {
    return this.#all;
  }

  /** Number of back ends that may have run the request or may still run it. */
  get runs(): number {
    return this.#endedRuns + this.#all.size;
  }

  /** True if the request may have run at a back end. */
  get mayHaveRun(): boolean {
    if (this.#endedRuns > 0) return true;
    for (const { attempt } of this.#all) if (attempt.sent) return true;
    return false;
  }

  /** True if there are open attempts and all of them are silent. */
  get areAllSilent(): boolean {
    for (const { isSilent } of this.#all) if (!isSilent) return false;
    return this.#all.size > 0;
  }

  /** True if an attempt other than `use` is open and not silent. */
  hasActiveBeside(use: BackEndUse): boolean {
    for (const other of this.#all) if (other !== use && !other.isSilent) return true;
    return false;
  }

  has(use: BackEndUse): boolean {
    return this.#all.has(use);
  }

  add(use: BackEndUse): void {
    this.#all.add(use);
  }

  /**
   * Removes an attempt that has ended and records its outcome; returns its duration in milliseconds.
   * @param outcome - outcome for the health of the back end; undefined for none
   */
  close(use: BackEndUse, outcome: BackEndOutcome | undefined): number {
    const { content, usualFailureShare } = this.#options;
    this.#all.delete(use);
    if (use.attempt.mayHaveRun) {
      this.#endedRuns++;
      content.noteMayHaveRun();
    }
    if (use.attempt.isGivenUp) content.noteGivenUp(use.row);
    const took = use.end();
    const now = performance.now();
    const { health } = use.row;
    if (outcome === undefined) health.noteAbandoned();
    else health.note(outcome, now, usualFailureShare());
    return took;
  }

  /** Aborts and closes all attempts except `kept`. */
  abortAll(reason: string, kept?: BackEndUse): void {
    for (const use of this.#all) if (use !== kept) this.#abort(use, reason);
  }

  /** Aborts and closes the attempts at `row`. */
  abortAt(row: BackEndRow, reason: string): void {
    for (const use of this.#all) if (use.row === row) this.#abort(use, reason);
  }

  #abort(use: BackEndUse, reason: string): void {
    use.attempt.abort(reason);
    this.close(use, undefined);
  }
}
