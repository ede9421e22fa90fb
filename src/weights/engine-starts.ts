/**
 * Which start of the engine beside this process answers. Calls to it overlap, so that an answer of a former start may come
 * after one of the next; an engine's clock may have stepped back, so that the next start may look older.
 */
import type { StartNews } from '../fleet/back-end-starts.js';
import type { BackEndIdentity } from '../model/back-end-identity.js';

/** The starts of one engine. */
export class EngineStarts {
  #current: BackEndIdentity['start'];
  #previous: BackEndIdentity['start'];
  #lastAnswerAt = Number.NEGATIVE_INFINITY;

  /** The start that answers; undefined where none has told it. */
  get current(): BackEndIdentity['start'] {
    return this.#current;
  }

  /** The start before the present one; undefined where none was seen. */
  get previous(): BackEndIdentity['start'] {
    return this.#previous;
  }

  /**
   * Takes the start that an answer tells. What was asked after the latest answer had come is answered by the present start,
   * whatever it looks like; of calls that overlap the later start is.
   * @param askedAt - when the call began, in milliseconds of the steady clock, as `now`
   */
  noteAnswer(start: BackEndIdentity['start'], askedAt: number, now: number): StartNews {
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
