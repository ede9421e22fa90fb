/**
 * Selects the entries of a zone that read the platform's store. All entries need its content within seconds, but if each
 * read it itself, the number of calls, which are billed, would grow with the number of entries. The first entry of a
 * zone, by rendezvous hash over the live ones, reads the store and forwards changes. The next ones take over one after
 * the other when what those before them have forwarded is too old, whatever the reason: crashed, frozen, disconnected, rejected
 * by the store, or slow. When a message arrives says nothing about that, as it may have waited in queues on its way. While the store answers none
 * of them, the entries of a zone take turns at a table of large rows: copies for all of them would keep it from answering any. Times
 * are in milliseconds of the monotonic clock.
 */
import { rendezvousOrder } from '../model/random.js';

/** Maximum age of what an entry that reads the store successfully has forwarded: longest wait of a call, and latency. */
const USUAL_AGE = 1_000;
/** Age at which the second entry of a zone reads: the usual one plus the time to resend a lost packet. */
const FIRST_TAKEOVER = USUAL_AGE + 300;
/** Each further entry waits this much longer, so that only one takes over if it can: a call to the store and its forwarding. */
const TAKEOVER_STEP = 150;
/**
 * Entries beyond this step read after the same time as the one at it, or take turns with those before them. The highest age leaves
 * 400 ms of the shortest bound of 2 s, within which a removal or a configuration takes effect, for the call and for the requests
 * under way.
 */
const LAST_STEP = 2;
/** Entries that read at the same time beside the first one where entries take turns. */
const TURNS_AT_ONCE = LAST_STEP + 1;
/** Duration of a turn: the response timeout of a call (`TableFollower`) and its forwarding. */
const TURN = 1_650;
/**
 * Entries wait this much longer while a long answer of the store is arriving at an entry before them: its copies would fill the link
 * of the zone. If the link of that entry alone is slow, they take the configuration from a peer (`FleetRequestGate`), and reports
 * tell them the rest.
 */
const LONG_ANSWER_EXTENSION = 4_000;
/** Time for which a notice of a long answer holds: twice the interval at which it is repeated. */
const LONG_ANSWER_NOTICE_LIFETIME = 1_000;

/** What an entry has forwarded is kept for this long, in milliseconds: longer than the highest age at which others read. */
const RETENTION_TIME = 30_000;

/** The entries of a zone, from the point of view of one of them. */
export interface ZoneEntries {
  self: string;
  /** The other entries that are live and not leaving. */
  others: readonly string[];
  /** This entry is leaving. */
  isLeaving: boolean;
}

/** What one entry has forwarded. */
interface ForwardedState {
  /** Its state of the table is complete as of this time. */
  asOf: number;
  /** When it last told that a long answer is arriving. */
  longAnswerAt: number;
}

/** One entry's view of the readers of one table in its zone. */
export class StoreReaders {
  readonly #zone: string;
  readonly #takeTurns: boolean;
  readonly #forwarded = new Map<string, ForwardedState>();
  /** The table is complete here as of this time by what processes outside the order have told. */
  #completeAsOf = Number.NEGATIVE_INFINITY;
  /** How far entries of the own zone know the table, whoever has read it. */
  #knownAsOf = Number.NEGATIVE_INFINITY;

  /**
   * @param takeTurns - entries read by turns while nobody forwards changes; for a table of large rows, of which copies for all entries
   *   would make each of them later
   */
  constructor(zone: string, { takeTurns = false } = {}) {
    this.#zone = zone;
    this.#takeTurns = takeTurns;
  }

  /** Records that `entry` has forwarded all changes of the table up to `asOf`, or, if it is the own one, has read them. */
  noteNews(entry: string, asOf: number): void {
    this.#forgetOld(asOf);
    const state = this.#stateOf(entry);
    state.asOf = Math.max(state.asOf, asOf);
  }

  /** Records that entries of other zones know all changes of the table up to `asOf`, and that they have been applied here. */
  noteComplete(asOf: number): void {
    this.#completeAsOf = Math.max(this.#completeAsOf, asOf);
  }

  /**
   * Records that an entry of the own zone knows the table as of `asOf`, from whomever. Turns are counted from that while nobody has
   * forwarded anything to this process, which has just started.
   */
  noteKnown(asOf: number): void {
    this.#knownAsOf = Math.max(this.#knownAsOf, asOf);
  }

  /** Records a notice that a long answer is arriving at `entry`. */
  noteLongAnswer(entry: string, now: number): void {
    this.#stateOf(entry).longAnswerAt = now;
  }

  /**
   * Time until `self` reads the table unless an entry before it forwards changes; 0 if it is to read now.
   *
   * - An entry that is leaving comes last.
   * - What entries forwarded that have left meanwhile counts too, or all others would read as soon as a reader leaves.
   * - From the third on, entries do not read while other zones tell what they need: of a zone whose reader is late two read at the
   *   most, as copies for all of them would make each of them later.
   * - Where entries take turns, one whose calls are answered goes on reading, and the others leave it to that one.
   */
  timeUntilReading(entries: ZoneEntries, now: number): number {
    const { self } = entries;
    const order = this.#orderOf(entries);
    const place = order.indexOf(self);
    if (place === 0) return 0;
    const awaitsTurn = this.#takeTurns && !this.#isCurrent(self, now);
    const ignored = new Set(awaitsTurn ? [self] : order.slice(place));
    const reliedOn = [...this.#forwarded].flatMap(([entry, state]) => (ignored.has(entry) ? [] : state));
    // The first in order to take over does so whatever other zones tell, so that the zone has a reader of its own.
    const told = place === 1 ? Number.NEGATIVE_INFINITY : this.#completeAsOf;
    const heard = Math.max(told, ...reliedOn.map((state) => state.asOf));
    const asOf = awaitsTurn && heard === Number.NEGATIVE_INFINITY ? this.#knownAsOf : heard;
    const isLong = reliedOn.some(({ longAnswerAt }) => now - longAnswerAt < LONG_ANSWER_NOTICE_LIFETIME);
    const extension = isLong ? LONG_ANSWER_EXTENSION : 0;
    const untilTakeover = asOf + FIRST_TAKEOVER + extension - now;
    if (awaitsTurn) return timeUntilTurn(place - 1, order.length - 1, untilTakeover);
    return Math.max(0, untilTakeover + TAKEOVER_STEP * Math.min(place - 1, LAST_STEP));
  }

  /**
   * Time until `self` reads the table although another one forwards changes, as it lacks some of them; 0 if it is to read now. What most
   * entries of a zone lack, most are late with, so they take turns in this too.
   * @param begin - when such entries begin to read
   */
  timeUntilTurn(entries: ZoneEntries, begin: number, now: number): number {
    const place = this.#takeTurns ? this.#orderOf(entries).indexOf(entries.self) : 0;
    return place === 0
      ? Math.max(0, begin - now)
      : timeUntilTurn(place - 1, entries.others.length, begin - now);
  }

  #orderOf({ self, others, isLeaving }: ZoneEntries): string[] {
    return isLeaving
      ? [...rendezvousOrder(this.#zone, others), self]
      : rendezvousOrder(this.#zone, [self, ...others]);
  }

  /** Whether `entry` has read the table lately. */
  #isCurrent(entry: string, now: number): boolean {
    const state = this.#forwarded.get(entry);
    return state !== undefined && now - state.asOf < FIRST_TAKEOVER;
  }

  /** Forgets what entries forwarded so long ago that it no longer counts. */
  #forgetOld(now: number): void {
    for (const [entry, state] of this.#forwarded)
      if (now - Math.max(state.asOf, state.longAnswerAt) > RETENTION_TIME) this.#forwarded.delete(entry);
  }

  #stateOf(entry: string): ForwardedState {
    const known = this.#forwarded.get(entry);
    if (known !== undefined) return known;
    const created = { asOf: Number.NEGATIVE_INFINITY, longAnswerAt: Number.NEGATIVE_INFINITY };
    this.#forwarded.set(entry, created);
    return created;
  }
}

/**
 * Time until the turn of the entry at `index` of `count`, 0 during it. The first turns begin one step after the other, each further one
 * once the turn before it has ended.
 * @param untilFirst - time until the first turn of the first entry; negative afterwards
 */
function timeUntilTurn(index: number, count: number, untilFirst: number): number {
  if (untilFirst === Number.NEGATIVE_INFINITY) return 0;
  const [round, rounds] = [Math.floor(index / TURNS_AT_ONCE), Math.ceil(count / TURNS_AT_ONCE)];
  const elapsed = -untilFirst - TAKEOVER_STEP * (index % TURNS_AT_ONCE);
  if (elapsed < 0) return round * TURN - elapsed;
  const roundsUntil = (round - (Math.floor(elapsed / TURN) % rounds) + rounds) % rounds;
  return roundsUntil === 0 ? 0 : roundsUntil * TURN - (elapsed % TURN);
}
