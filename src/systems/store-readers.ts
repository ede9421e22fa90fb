/**
 * Selects the entries of a zone that read the platform's store. All entries need its content within seconds, but if each
 * read it itself, the number of calls, which are billed, would grow with the number of entries. The first entry of a
 * zone, by rendezvous hash over the live ones, reads the store and forwards changes. The next ones take over one after
 * the other when nothing arrives from those before them, whatever the reason: crashed, frozen, disconnected, or rejected
 * by the store. Times are in milliseconds of the monotonic clock.
 */
import { rendezvousOrder } from '../model/random.js';

/** Maximum interval of messages from an entry that reads the store successfully: longest wait of a call, and latency. */
const USUAL_NEWS_INTERVAL = 1_000;
/** Silence after which the second entry of a zone reads: the usual interval plus the time to resend a lost packet. */
const FIRST_TAKEOVER = USUAL_NEWS_INTERVAL + 300;
/** Each further entry waits this much longer, so that only one takes over if it can: a call to the store and its forwarding. */
const TAKEOVER_STEP = 150;
/**
 * Entries beyond this step all read after the same time. The longest silence leaves 400 ms of the shortest bound of 2 s, within
 * which a removal or a configuration takes effect, for the call and for the requests under way.
 */
const LAST_STEP = 2;

/** One entry's view of the readers of one table in its zone. */
export class StoreReaders {
  readonly #zone: string;
  readonly #newsAt = new Map<string, number>();

  constructor(zone: string) {
    this.#zone = zone;
  }

  /** Records a message from `entry` with changes of the table, or with the notice that there are none. */
  noteNews(entry: string, now: number): void {
    this.#newsAt.set(entry, now);
  }

  /**
   * Time until `self` reads the table unless an entry before it forwards changes; 0 if it is to read now. `others` are the
   * other live entries of its zone.
   */
  timeUntilReading(self: string, others: readonly string[], now: number): number {
    const order = rendezvousOrder(this.#zone, [self, ...others]);
    const place = order.indexOf(self);
    if (place === 0) return 0;
    const news = order.slice(0, place).map((entry) => this.#newsAt.get(entry) ?? Number.NEGATIVE_INFINITY);
    const longestSilence = FIRST_TAKEOVER + TAKEOVER_STEP * Math.min(place - 1, LAST_STEP);
    return Math.max(0, Math.max(...news) + longestSilence - now);
  }

  /** Removes an entry that is no longer live. */
  forget(entry: string): void {
    this.#newsAt.delete(entry);
  }
}
