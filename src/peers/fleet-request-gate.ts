/**
 * Limits the requests of an entry that lags behind for the whole configuration or the whole list of back
 * ends. Each is requested from one entry at a time, from the own zone first. All other entries report the
 * newer one at the same moment; when it was requested from all, a configuration of 2,100 routes (0.5 MB)
 * arrived once from each and was decoded as often, which delayed time-critical work on the links and the
 * event loop: withdrawals, timeouts, pings. If it is already on its way from the entry of the zone that
 * reads the store, it need not be requested at all.
 *
 * ```ts
 * if (gate.tryRequest(connection, { ownRevision, isNear, place, now })) connection.send(wanted);
 * // Once the answer has arrived:
 * gate.noteAnswer();
 * ```
 */

/**
 * Another entry is asked if one has not answered within this time, in milliseconds, then within twice, four
 * and eight times that. 0.5 MB take 0.1 s over an entry's link of 40 Mbit/s, and 1 s if ten others are being
 * sent the same. If each waiting entry asked again sooner, copies of one configuration would fill the links
 * between regions and none would be complete in time.
 */
export const ANSWER_TIMEOUT = 700;
const MAX_DOUBLINGS = 3;
/**
 * An entry of the own zone is asked after this delay, in milliseconds, in which the newer revision may arrive
 * by itself: it exceeds the time from the store through the zone's reader (0.1 s).
 */
const OWN_ZONE_DELAY = 200;
/**
 * The same delay for entries of other zones: a zone without a connection to the store has a change within 2
 * s.
 */
const OTHER_ZONE_DELAY = 600;
/** The same delay while this entry has no revision at all and cannot serve. */
const EMPTY_OTHER_ZONE_DELAY = 250;
/**
 * Entries of a zone that lag behind together ask other zones at this interval, in milliseconds: once the
 * first one has the answer, the next ones ask it, and only one copy crosses the link between the zones.
 */
const OTHER_ZONE_STAGGER = 700;
/**
 * The same delay and interval for a resource that is sent as a small difference: copies of it fill no link, but it should have come
 * from the zone's reader by then.
 */
const SMALL_OTHER_ZONE_DELAY = 300;
const SMALL_OTHER_ZONE_STAGGER = 200;
/** Entries whose index is at least this all wait for the same time. */
const MAX_STAGGER_STEPS = 2;

/** A connection to an entry that may be asked. */
interface AskableConnection {
  readonly open: boolean;
}

/** What determines whether an entry with a newer revision may be asked. */
export interface RequestConditions {
  /** The revision that this process has; 0 if none. */
  ownRevision: number;
  /** The entry to ask is in the own zone. */
  isNear: boolean;
  /**
   * Index of this process among the entries of its zone that take turns in asking other zones; 0 if there are
   * no turns.
   */
  place?: number;
  /** The answer is a difference from what this process has. */
  isSmall?: boolean;
  /** Since when this process has been known to lag behind; by default since the first call with this `ownRevision`. */
  behindSince?: number;
  /** In milliseconds of the monotonic clock. */
  now: number;
}

/** Limits the requests for one resource. */
export class FleetRequestGate {
  readonly #answerTimeout: number;
  #asked: AskableConnection | undefined;
  #askedAt = Number.NEGATIVE_INFINITY;
  /** Entries asked since the last answer. */
  #unanswered = 0;
  /** Since when a revision newer than the own one has been known. */
  #behind = { ownRevision: Number.NaN, since: 0 };

  /** @param answerTimeout - time without an answer after which another entry is asked, in milliseconds */
  constructor(answerTimeout = ANSWER_TIMEOUT) {
    this.#answerTimeout = answerTimeout;
  }

  /** Whether to send a request on `connection`; if so, the request counts as sent. */
  tryRequest(
    connection: AskableConnection,
    { ownRevision, isNear, place = 0, isSmall = false, behindSince, now }: RequestConditions,
  ): boolean {
    if (this.#behind.ownRevision !== ownRevision) this.#behind = { ownRevision, since: now };
    const since = behindSince ?? this.#behind.since;
    if (now - since < delayFor({ isNear, hasNothing: ownRevision === 0, isSmall, place })) return false;
    return this.requestNow(connection, now);
  }

  /** Whether to send a request on `connection` without a delay, unless an answer is due; if so, the request counts as sent. */
  requestNow(connection: AskableConnection, now: number): boolean {
    if (this.#isAnswerDue(now, this.#timeoutFor(connection))) return false;
    this.#asked = connection;
    this.#askedAt = now;
    this.#unanswered++;
    return true;
  }

  /** Whether an answer is expected. */
  isPending(now: number): boolean {
    return this.#isAnswerDue(now, this.#answerTimeout);
  }

  #isAnswerDue(now: number, timeout: number): boolean {
    return this.#asked?.open === true && now - this.#askedAt < timeout;
  }

  /** Records that the answer has arrived. */
  noteAnswer(): void {
    this.#asked = undefined;
    this.#unanswered = 0;
  }

  /**
   * An entry that has not answered is asked again only after the others; otherwise one that reports often
   * would be asked again and again.
   */
  #timeoutFor(connection: AskableConnection): number {
    const timeout = this.#answerTimeout * 2 ** Math.min(this.#unanswered - 1, MAX_DOUBLINGS);
    return connection === this.#asked ? 2 * timeout : timeout;
  }
}

interface DelayConditions {
  isNear: boolean;
  hasNothing: boolean;
  isSmall: boolean;
  place: number;
}

function delayFor({ isNear, hasNothing, isSmall, place }: DelayConditions): number {
  if (isNear) return hasNothing ? 0 : OWN_ZONE_DELAY;
  if (hasNothing) return EMPTY_OTHER_ZONE_DELAY;
  if (isSmall) return SMALL_OTHER_ZONE_DELAY + SMALL_OTHER_ZONE_STAGGER * Math.min(place, MAX_STAGGER_STEPS);
  return OTHER_ZONE_DELAY + OTHER_ZONE_STAGGER * Math.min(place, MAX_STAGGER_STEPS);
}
