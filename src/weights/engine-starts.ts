/**
 * Which start of the engine beside this process answers. Calls to it overlap, so that an answer of a former start may come
 * after one of the next; an engine's clock may have stepped back, so that the next start may look older.
 */
import type { StartOrder } from '../fleet/back-end-starts.js';
import type { BackEndIdentity } from '../model/back-end-identity.js';

/** The starts of one engine. */
export class EngineStarts {
  #present: BackEndIdentity['start'];
  #former: BackEndIdentity['start'];
  #answeredAt = Number.NEGATIVE_INFINITY;

  /** The start that answers; undefined where none has told it. */
  get present(): BackEndIdentity['start'] {
    return this.#present;
  }

  /** The start before the present one; undefined where none was seen. */
  get former(): BackEndIdentity['start'] {
    return this.#former;
  }

  /**
   * Takes the start that an answer tells. What was asked after the latest answer had come is answered by the present start,
   * whatever it looks like; of calls that overlap the later start is.
   * @param askedAt - when the call began, in milliseconds of the steady clock, as `now`
   */
  take(start: BackEndIdentity['start'], askedAt: number, now: number): StartOrder {
    const isSame = start === undefined || this.#present === undefined || start === this.#present;
    const overlaps = askedAt < this.#answeredAt;
    if (!isSame && overlaps && (start === this.#former || start < this.#present!)) return 'older';
    this.#answeredAt = now;
    if (isSame) {
      this.#present ??= start;
      return 'same';
    }
    this.#former = this.#present;
    this.#present = start;
    return 'newer';
  }
}
