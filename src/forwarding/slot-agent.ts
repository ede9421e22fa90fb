/** Tracks whether the agent that grants an engine's slots responds to this process. Times are in milliseconds of the steady clock. */

/** Consecutive unanswered requests after which an agent is considered unresponsive: a single datagram may be lost. */
const SILENCES = 2;
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
  #silentUntil = Number.NEGATIVE_INFINITY;

  constructor(address: string) {
    this.address = address;
  }

  /** False while the agent is considered unresponsive or does not grant slots yet. Its engine is then used without slots. */
  answers(now: number): boolean {
    return now >= this.#silentUntil;
  }

  /** The agent has answered a request. */
  noteAnswer(): void {
    this.#unanswered = 0;
    this.#pause = 0;
    this.#silentUntil = Number.NEGATIVE_INFINITY;
  }

  /** The agent has answered that it does not grant slots yet. */
  noteUnready(now: number): void {
    this.#silentUntil = now + UNREADY_PAUSE;
  }

  /** The agent has not answered a request in time. */
  noteSilence(now: number): void {
    this.#unanswered++;
    if (this.#unanswered < SILENCES || now < this.#silentUntil) return;
    this.#pause = Math.min(LONGEST_PAUSE, Math.max(FIRST_PAUSE, 2 * this.#pause));
    this.#silentUntil = now + this.#pause;
  }
}
