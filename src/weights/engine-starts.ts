/**
 * Tracks which start of the engine next to this agent answers. Calls to the engine overlap, so an answer from
 * an earlier start may arrive after one from the next; and the engine's clock may have stepped back, so the
 * next start may look older.
 */
import type { StartOrder } from '../fleet/back-end-starts.js';
import type { BackEndIdentity } from '../model/back-end-identity.js';

/** The current and the previous start of one engine. */
export class EngineStarts {
  #current: BackEndIdentity['start'];
  #previous: BackEndIdentity['start'];
  #lastAnswerAt = Number.NEGATIVE_INFINITY;

  /** The start that answers; undefined if no answer has named one. */
  get current(): BackEndIdentity['start'] {
    return this.#current;
  }

  /** The start before the current one; undefined if none was seen. */
  get previous(): BackEndIdentity['start'] {
    return this.#previous;
  }

  /**
   * Classifies the start named by an answer relative to the current one, and updates the current one. A call
   * that began after the last answer arrived is answered by the current start, whatever its value; of
   * overlapping calls, the greater start is the later one.
   * @param askedAt - when the call began, in milliseconds of the monotonic clock, as `now`
   */
  noteAnswer(start: BackEndIdentity['start'], askedAt: number, now: number): StartOrder {
    const isSame = start === undefined || this.#current === undefined || start === this.#current;
    const overlaps = askedAt < this.#lastAnswerAt;
    if (!isSame && overlaps && (start === this.#previous || start < this.#current!)) return 'older';
    this.#lastAnswerAt = now;
    if (isSame) {
      this.#current ??= start;
      return 'same';
    }
    this.#previous = this.#current;
    this.#current = start;
    return 'newer';
  }
}
