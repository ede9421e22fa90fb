/**
 * Decides how much of the answers that callers have not read yet an entry holds, and when such an answer is ended.
 *
 * It answers callers that read slowly or not at all. While an entry reads on, the back end ends its work and its slot becomes
 * free, and it does not break off an answer that nobody takes from it. What is held is bounded for each answer and for all
 * together, so that slow callers cannot use up the memory of the entry; beyond that, the back end is read no faster than the
 * caller reads. Times are in milliseconds of the monotonic clock.
 */

/** Most bytes held of one answer: some hundred events of a stream, and any answer of an ordinary size. */
export const MAX_HELD_OF_ANSWER = 262_144;
/** Most bytes held of all answers: a small part of the memory that a process may use for control (128 MB). */
export const MAX_HELD = 8_388_608;

/** An answer of which a part has not been read by its caller. */
interface UnreadAnswer {
  bytes: number;
  /** Bytes that the caller has taken so far. */
  taken: number;
  takenAt: number;
  /** Until when its caller waits for it in any case. */
  deadline: number;
  /** Time for which a caller that takes nothing is still expected to go on, in milliseconds. */
  patience: number;
}

/** Time limits of the caller of an answer. */
export interface CallerPatience {
  deadline: number;
  patience: number;
}

/** The unread parts of the answers of one entry. */
export class UnreadBudget<Answer> {
  readonly #answers = new Map<Answer, UnreadAnswer>();
  #held = 0;

  /** Bytes held of all answers. */
  get held(): number {
    return this.#held;
  }

  /** Number of answers of which a part is held. */
  get size(): number {
    return this.#answers.size;
  }

  /** Whether a part of an answer is held. */
  has(answer: Answer): boolean {
    return this.#answers.has(answer);
  }

  /** The answers of which a part is held; forgetting one during the iteration is safe. */
  answers(): Iterable<Answer> {
    return this.#answers.keys();
  }

  /**
   * Records how much of an answer is unread; returns whether more of it may be held.
   * @param taken - bytes that the caller has taken of its connection; undefined if that is not known now
   */
  note(
    answer: Answer,
    bytes: number,
    taken: number | undefined,
    caller: CallerPatience,
    now: number,
  ): boolean {
    const known = this.#answers.get(answer);
    this.#held += bytes - (known?.bytes ?? 0);
    const hasTakenMore = taken !== undefined && known?.taken !== taken;
    const takenAt = known === undefined || hasTakenMore ? now : known.takenAt;
    this.#answers.set(answer, { ...caller, bytes, taken: taken ?? known?.taken ?? 0, takenAt });
    return bytes <= MAX_HELD_OF_ANSWER && this.#held <= MAX_HELD;
  }

  /** Records that an answer has been read, or has ended otherwise. */
  forget(answer: Answer): void {
    this.#held -= this.#answers.get(answer)?.bytes ?? 0;
    this.#answers.delete(answer);
  }

  /** Time for which the caller of an answer has taken nothing, in milliseconds. */
  unreadFor(answer: Answer, now: number): number {
    return now - (this.#answers.get(answer)?.takenAt ?? now);
  }

  /** Updates the progress of an answer; returns whether it must be ended, as its caller no longer waits for it. */
  hasExpired(answer: Answer, bytes: number, taken: number, now: number): boolean {
    const known = this.#answers.get(answer);
    if (known === undefined) return false;
    this.note(answer, bytes, taken, known, now);
    const { deadline, patience, takenAt } = this.#answers.get(answer)!;
    return now >= deadline && now - takenAt >= patience;
  }
}
