/**
 * What an entry that lags behind asks others for: the whole configuration, the whole list of back ends. Each is asked of one
 * entry at a time, of the own zone first. All others that report tell of the newer one at the same moment; asked of all, a
 * configuration of 2,100 routes (0.5 MB) came once from each of them and was decoded as often, on links and in a turn that what
 * is due by a time shares: withdrawals, time-outs, signs of life. Where it is on its way already, from the zone's reader of
 * the store, it need not be asked for.
 *
 * ```ts
 * if (wish.mayAsk(connection, { own, isNear, place, now })) connection.send(wanted);
 * // As the answer has come:
 * wish.noteAnswer();
 * ```
 */

/**
 * Another entry is asked where one has not answered in this time, in milliseconds, then in twice, four and eight times that.
 * 0.5 MB take 0.1 s over an entry's link of 40 Mbit/s, and 1 s where ten others are sent them. Where each that waits
 * asks again sooner, copies of one configuration fill the links between regions and none is whole in time.
 */
export const ANSWER_TIME = 700;
const MOST_DOUBLINGS = 3;
/** Time for which what is newer may come by itself before an entry of the own zone is asked for it, in milliseconds:
 * above the way from the store over the zone's reader (0.1 s). */
const OWN_ZONE_PATIENCE = 200;
/** The same before one of another zone is, so that within 2 s of a change a zone that does not hear the store has it. */
const OTHER_ZONE_PATIENCE = 600;
/** The same where this entry has nothing yet and cannot serve. */
const FRESH_OTHER_ZONE_PATIENCE = 250;
/**
 * Entries of a zone that lag behind together ask other zones this long after one another, in milliseconds: once the first one
 * has the answer, the next ones ask it, and one copy crosses the link between the zones.
 */
const OTHER_ZONE_STEP = 700;
/** From this place on all wait equally long. */
const LAST_STEP = 2;

/** A connection to an entry that may be asked. */
interface Asked {
  readonly open: boolean;
}

/** When an entry that has what is newer may be asked. */
export interface WishMoment {
  /** The revision that this process has; 0 for none. */
  own: number;
  /** The entry that may be asked is of the own zone. */
  isNear: boolean;
  /** Place of this process among the entries of its zone that take turns in asking other zones; 0 for no turns. */
  place?: number;
  /** In milliseconds of the steady clock. */
  now: number;
}

/** One thing that is asked for. */
export class FleetWish {
  readonly #answerTime: number;
  #asked: Asked | undefined;
  #askedAt = Number.NEGATIVE_INFINITY;
  /** Entries asked since the latest answer. */
  #unanswered = 0;
  /** Since when something newer than the own revision is known. */
  #behind = { own: Number.NaN, since: 0 };

  /** @param answerTime - another entry is asked after this without an answer, in milliseconds */
  constructor(answerTime = ANSWER_TIME) {
    this.#answerTime = answerTime;
  }

  /** Whether `connection` is to be asked; it counts as asked then. */
  mayAsk(connection: Asked, { own, isNear, place = 0, now }: WishMoment): boolean {
    if (this.#behind.own !== own) this.#behind = { own, since: now };
    if (now - this.#behind.since < patienceFor(isNear, own === 0, place)) return false;
    const isWaiting = this.#asked?.open === true && now - this.#askedAt < this.#limitFor(connection);
    if (isWaiting) return false;
    this.#asked = connection;
    this.#askedAt = now;
    this.#unanswered++;
    return true;
  }

  /** What was asked for has come. */
  noteAnswer(): void {
    this.#asked = undefined;
    this.#unanswered = 0;
  }

  /** One that has not answered goes after the others, or one that reports often would be asked for ever. */
  #limitFor(connection: Asked): number {
    const limit = this.#answerTime * 2 ** Math.min(this.#unanswered - 1, MOST_DOUBLINGS);
    return connection === this.#asked ? 2 * limit : limit;
  }
}

function patienceFor(isNear: boolean, isFresh: boolean, place: number): number {
  if (isNear) return isFresh ? 0 : OWN_ZONE_PATIENCE;
  if (isFresh) return FRESH_OTHER_ZONE_PATIENCE;
  return OTHER_ZONE_PATIENCE + OTHER_ZONE_STEP * Math.min(place, LAST_STEP);
}
