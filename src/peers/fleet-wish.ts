/**
 * What an entry that lags behind asks others for: the whole configuration, the whole list of back ends. Each is asked of one
 * entry at a time. All others that report tell of the newer one at the same moment; asked of all, a configuration of 2,100
 * routes (0.5 MB) came once from each of them and was decoded as often, on links and in a turn that what is due by a time
 * shares: withdrawals, time-outs, signs of life.
 *
 * ```ts
 * if (wish.mayAsk(connection, performance.now())) connection.send(wanted);
 * // As the answer has come:
 * wish.noteAnswer();
 * ```
 */

/**
 * Another entry is asked where one has not answered in this time, in milliseconds: chosen, far above what 0.5 MB take over an
 * entry's link (4 ms at 1,000 Mbit/s).
 */
export const ANSWER_TIME = 400;

/** A connection to an entry that may be asked. */
interface Asked {
  readonly open: boolean;
}

/** One thing that is asked for. */
export class FleetWish {
  readonly #answerTime: number;
  #asked: Asked | undefined;
  #askedAt = Number.NEGATIVE_INFINITY;

  /** @param answerTime - another entry is asked after this without an answer, in milliseconds */
  constructor(answerTime = ANSWER_TIME) {
    this.#answerTime = answerTime;
  }

  /** Whether `connection` is to be asked at `now`, in milliseconds of the steady clock; it counts as asked then. */
  mayAsk(connection: Asked, now: number): boolean {
    const isWaiting = this.#asked?.open === true && now - this.#askedAt < this.#limitFor(connection);
    if (isWaiting) return false;
    this.#asked = connection;
    this.#askedAt = now;
    return true;
  }

  /** What was asked for has come. */
  noteAnswer(): void {
    this.#asked = undefined;
  }

  /** One that has not answered goes after the others, or one that reports often would be asked for ever. */
  #limitFor(connection: Asked): number {
    return connection === this.#asked ? 2 * this.#answerTime : this.#answerTime;
  }
}
