/**
 * Which entries of a zone read the platform's store. All of them need what stands there, within seconds; if each reads by
 * itself, calls grow with the entries, and each call is paid for. The first of a zone, by rendezvous hash over those that
 * live, reads and passes on what is new; the next take over one after the other when nothing comes from those before them,
 * whatever the reason: dead, frozen, cut off, or turned away by the store. Times are in milliseconds of the steady clock.
 */
import { rendezvousOrder } from '../model/random.js';

/** News come at least this often from an entry that the store answers: the longest wait of its calls, and their way. */
const USUAL_NEWS = 1_000;
/** Without news for this the second of a zone reads: above the usual time between news and a lost packet sent again. */
const FIRST_TAKEOVER = USUAL_NEWS + 300;
/** Each further one waits this much longer, so that one of them alone takes over where it can. */
const TAKEOVER_STEP = 350;
/** From this place on all read after the same time: none is without news for longer than the shortest bound, 2 s. */
const LAST_STEP = 2;

/** The readers of one table in one zone, as one of its entries sees them. */
export class StoreReaders {
  readonly #zone: string;
  readonly #newsAt = new Map<string, number>();

  constructor(zone: string) {
    this.#zone = zone;
  }

  /** What is new in the table has come from `entry`, or the word that nothing is. */
  noteNews(entry: string, now: number): void {
    this.#newsAt.set(entry, now);
  }

  /** Whether `self` is to read the table, `others` being the other entries of its zone that live. */
  isReader(self: string, others: readonly string[], now: number): boolean {
    const order = rendezvousOrder(this.#zone, [self, ...others]);
    const place = order.indexOf(self);
    const news = order.slice(0, place).map((entry) => this.#newsAt.get(entry) ?? Number.NEGATIVE_INFINITY);
    if (place === 0) return true;
    return now - Math.max(...news) >= FIRST_TAKEOVER + TAKEOVER_STEP * Math.min(place - 1, LAST_STEP);
  }

  /** Forgets entries that do not live any more. */
  forget(entry: string): void {
    this.#newsAt.delete(entry);
  }
}
