/** Whether the agent that gives out an engine's slots answers this process. Times are in milliseconds of the steady clock. */

/** Requests in a row that an agent leaves without an answer until it is taken for silent: one datagram may be lost. */
const SILENCES = 2;
/** First and longest time for which a silent agent is not asked. */
const FIRST_PAUSE = 500;
const LONGEST_PAUSE = 4_000;
/** Time after which an agent that gave out no slots yet is asked again: it looks at its engine every 250 ms. */
const UNREADY_PAUSE = 250;

/** The agent beside one engine, as this process meets it. */
export class SlotAgent {
  /** `host:port` at which it is asked. */
  readonly address: string;
  #unanswered = 0;
  #pause = 0;
  #silentUntil = Number.NEGATIVE_INFINITY;

  constructor(address: string) {
    this.address = address;
  }

  /** False while it is taken for silent, or gives out no slots yet: its engine is used without it. */
  answers(now: number): boolean {
    return now >= this.#silentUntil;
  }

  /** It has answered. */
  noteAnswer(): void {
    this.#unanswered = 0;
    this.#pause = 0;
    this.#silentUntil = Number.NEGATIVE_INFINITY;
  }

  /** It gives out no slots yet. */
  noteUnready(now: number): void {
    this.#silentUntil = now + UNREADY_PAUSE;
  }

  /** It has left a request without an answer. */
  noteSilence(now: number): void {
    this.#unanswered++;
    if (this.#unanswered < SILENCES || now < this.#silentUntil) return;
    this.#pause = Math.min(LONGEST_PAUSE, Math.max(FIRST_PAUSE, 2 * this.#pause));
    this.#silentUntil = now + this.#pause;
  }
}
