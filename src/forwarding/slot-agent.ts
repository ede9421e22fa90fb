/**
 * Tracks whether the agent that grants an engine's slots responds to this process. Times are in milliseconds of the
 * monotonic clock.
 */

/** Consecutive unanswered requests after which an agent is considered unresponsive: a single datagram may be lost. */
const MAX_UNANSWERED = 2;
/** First and longest time for which an unresponsive agent is not asked; the time doubles each time. */
const FIRST_PAUSE = 500;
const LONGEST_PAUSE = 4_000;
/** Time after which an agent that does not grant slots yet is asked again: it polls its engine every 250 ms. */
const UNREADY_PAUSE = 250;

/** The responsiveness of one engine's agent. */
export class SlotAgent {
  /** `host:port` at which the agent grants slots. */
  readonly address: string;
  #unanswered = 0;
  #pause = 0;
  #pausedUntil = Number.NEGATIVE_INFINITY;

  constructor(address: string) {
    this.address = address;
  }

  /**
   * False while the agent is considered unresponsive or does not grant slots yet. Its engine is then used without
   * slots.
   */
  isResponsive(now: number): boolean {
    return now >= this.#pausedUntil;
  }

  /** The agent has answered a request. */
  noteAnswer(): void {
    this.#unanswered = 0;
    this.#pause = 0;
    this.#pausedUntil = Number.NEGATIVE_INFINITY;
  }

  /** The agent has answered that it does not grant slots yet. */
  noteUnready(now: number): void {
    this.#pausedUntil = now + UNREADY_PAUSE;
  }

  /** The agent has not answered a request in time. */
  noteUnanswered(now: number): void {
    this.#unanswered++;
    if (this.#unanswered < MAX_UNANSWERED || now < this.#pausedUntil) return;
    this.#pause = Math.min(LONGEST_PAUSE, Math.max(FIRST_PAUSE, 2 * this.#pause));
    this.#pausedUntil = now + this.#pause;
  }
}
