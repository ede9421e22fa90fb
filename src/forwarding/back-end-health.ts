/**
 * Tracks the health of one back end by the outcomes of its requests. A back end that fails much more often than its
 * peers, or does not answer at all, is suspended for a time that doubles. It is then probed with a single repeatable
 * request.
 */

/** The outcome of a request, as far as it concerns the health of the back end. */
export type BackEndOutcome =
  /** The back end answered successfully. */
  | 'served'
  /** The back end answered with a server error, or its answer was cut off. */
  | 'failed'
  /** Nothing was received: there was no connection or no answer. */
  | 'silent'
  /** Nothing was received over a kept connection, which may be dead while the back end works. */
  | 'silentConnection'
  /** The back end refused the request because it is full. */
  | 'overloaded'
  /** The back end refused the request because it is not the intended one or does not hold the required version. */
  | 'misdirected';

/** Weight of the latest outcome in the failure share. */
const OUTCOME_WEIGHT = 0.12;
/** Number of requests without any answer after which a back end is suspended, counted since the last one served. */
const SILENCES_TO_SUSPEND = 2;
/** Excess of its failure share over the usual one of its peers above which a back end is suspended. */
const EXCESS_TO_SUSPEND = 0.3;
/** First and longest suspension, in milliseconds. */
const FIRST_SUSPENSION = 500;
const LONGEST_SUSPENSION = 6_000;
/** Time without requests after a refusal because of overload, in milliseconds. */
const OVERLOAD_PAUSE = 120;
/**
 * Time without requests after a misdirected one, in milliseconds; a report of another version ends it. The known
 * state of the back end was wrong.
 */
const MISDIRECTED_PAUSE = 1_000;

/** The health of one back end as observed by this process. */
export class BackEndHealth {
  #failureShare = 0;
  #silences = 0;
  #suspension = 0;
  #suspendedUntil = 0;
  #suspendedAt = Number.NEGATIVE_INFINITY;
  #pausedUntil = 0;
  #isProbed = false;
  #isInDoubt = false;
  /** When a request first showed that it serves again after its latest suspension. */
  #resumedAt = Number.NEGATIVE_INFINITY;

  /** Share of its recent requests that failed, 0 to 1. */
  get failureShare(): number {
    return this.#failureShare;
  }

  /** Whether the back end gets no requests except a single probe. */
  get suspended(): boolean {
    return this.#suspension > 0;
  }

  /** When its latest suspension began. */
  get suspendedAt(): number {
    return this.#suspendedAt;
  }

  /** Whether the back end is suspended, or was within the last `time` milliseconds. */
  wasSuspendedWithin(time: number, now: number): boolean {
    return this.suspended || now - this.#resumedAt < time;
  }

  /**
   * Whether a request may be sent now. Only a repeatable request may probe a suspended back end. A back end in doubt,
   * after a silent connection, may be probed by any request: it uses a new connection, which fails before the request
   * is sent if the back end is unreachable.
   */
  admits(now: number, isRepeatable: boolean): boolean {
    if (now < this.#pausedUntil) return false;
    if (this.#isInDoubt && this.#isProbed) return false;
    if (!this.suspended) return true;
    return isRepeatable && now >= this.#suspendedUntil && !this.#isProbed;
  }

  /** Its agent has reported another version. */
  noteVersionReport(): void {
    this.#pausedUntil = 0;
  }

  /** A request is sent to the back end. */
  noteSent(): void {
    if (this.suspended || this.#isInDoubt) this.#isProbed = true;
  }

  /** The head of an answer has been received. */
  noteAnswering(): void {
    this.#isInDoubt = false;
  }

  /** A request has ended in a way that does not indicate the health of the back end. */
  noteAbandoned(): void {
    this.#isProbed = false;
  }

  /**
   * Its process has ended. The back end is suspended until it is listed as restarted or a repeatable request has
   * probed it successfully.
   */
  noteCrashed(now: number): void {
    this.#silences = SILENCES_TO_SUSPEND;
    this.#suspend(now);
  }

  /**
   * Records the outcome of a request.
   * @param usualShare - usual failure share of its peers
   */
  note(outcome: BackEndOutcome, now: number, usualShare: number): void {
    this.#isProbed = false;
    if (outcome === 'silentConnection') {
      this.#isInDoubt = true;
      return;
    }
    const wasInDoubt = this.#isInDoubt;
    this.#isInDoubt = false;
    if (outcome === 'overloaded' || outcome === 'misdirected') {
      this.#pausedUntil = now + (outcome === 'overloaded' ? OVERLOAD_PAUSE : MISDIRECTED_PAUSE);
      return;
    }
    if (outcome === 'served') {
      this.#silences = 0;
      this.#failureShare *= this.suspended ? 0.5 : 1 - OUTCOME_WEIGHT;
      if (this.#failureShare < usualShare + EXCESS_TO_SUSPEND) this.#resume(now);
      return;
    }
    this.#failureShare += (1 - this.#failureShare) * OUTCOME_WEIGHT;
    if (outcome === 'silent') this.#silences++;
    const isSuspect =
      this.#silences >= SILENCES_TO_SUSPEND || this.#failureShare > usualShare + EXCESS_TO_SUSPEND;
    const isConfirmed = wasInDoubt && outcome === 'silent';
    if (isSuspect || isConfirmed || this.suspended) this.#suspend(now);
  }

  #resume(now: number): void {
    if (this.suspended) this.#resumedAt = now;
    this.#suspension = 0;
  }

  #suspend(now: number): void {
    if (now < this.#suspendedUntil) return;
    if (!this.suspended) this.#suspendedAt = now;
    this.#suspension = Math.min(LONGEST_SUSPENSION, Math.max(FIRST_SUSPENSION, this.#suspension * 2));
    this.#suspendedUntil = now + this.#suspension;
  }
}
