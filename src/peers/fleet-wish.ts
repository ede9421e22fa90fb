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
export const ANSWER_TIMEOUT = 700;
const MAX_DOUBLINGS = 3;
/** Time for which what is newer may come by itself before an entry of the own zone is asked for it, in milliseconds:
 * above the way from the store over the zone's reader (0.1 s). */
const OWN_ZONE_DELAY = 200;
/** The same before one of another zone is, so that within 2 s of a change a zone that does not hear the store has it. */
const OTHER_ZONE_DELAY = 600;
/** The same where this entry has nothing yet and cannot serve. */
const EMPTY_OTHER_ZONE_DELAY = 250;
/**
 * Entries of a zone that lag behind together ask other zones this long after one another, in milliseconds: once the first one
 * has the answer, the next ones ask it, and one copy crosses the link between the zones.
 */
const OTHER_ZONE_STAGGER = 700;
/** From this place on all wait equally long. */
const MAX_STAGGER_STEPS = 2;

/** A connection to an entry that may be asked. */
interface AskableConnection {
  readonly open: boolean;
}

/** When an entry that has what is newer may be asked. */
export interface RequestCircumstances {
  /** The revision that this process has; 0 for none. */
  ownRevision: number;
  /** The entry that may be asked is of the own zone. */
  isNear: boolean;
  /** Place of this process among the entries of its zone that take turns in asking other zones; 0 for no turns. */
  place?: number;
  /** In milliseconds of the steady clock. */
  now: number;
}

/** One thing that is asked for. */
export class FleetRequestGate {
  readonly #answerTimeout: number;
  #asked: AskableConnection | undefined;
  #askedAt = Number.NEGATIVE_INFINITY;
  /** Entries asked since the latest answer. */
  #unanswered = 0;
  /** Since when something newer than the own revision is known. */
  #behind = { ownRevision: Number.NaN, since: 0 };

  /** @param answerTimeout - another entry is asked after this without an answer, in milliseconds */
  constructor(answerTimeout = ANSWER_TIMEOUT) {
    this.#answerTimeout = answerTimeout;
  }

  /** Whether `connection` is to be asked; it counts as asked then. */
  tryRequest(
    connection: AskableConnection,
    { ownRevision, isNear, place = 0, now }: RequestCircumstances,
  ): boolean {
    if (this.#behind.ownRevision !== ownRevision) this.#behind = { ownRevision, since: now };
    if (now - this.#behind.since < delayFor(isNear, ownRevision === 0, place)) return false;
    const isPending = this.#asked?.open === true && now - this.#askedAt < this.#timeoutFor(connection);
    if (isPending) return false;
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
  #timeoutFor(connection: AskableConnection): number {
    const timeout = this.#answerTimeout * 2 ** Math.min(this.#unanswered - 1, MAX_DOUBLINGS);
    return connection === this.#asked ? 2 * timeout : timeout;
  }
}

function delayFor(isNear: boolean, hasNothing: boolean, place: number): number {
  if (isNear) return hasNothing ? 0 : OWN_ZONE_DELAY;
  if (hasNothing) return EMPTY_OTHER_ZONE_DELAY;
  return OTHER_ZONE_DELAY + OTHER_ZONE_STAGGER * Math.min(place, MAX_STAGGER_STEPS);
}
