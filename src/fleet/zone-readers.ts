/** Which tables of the store one entry reads itself, and which another entry of its zone reads for it. */
import type { FollowedTable, StoreUpdate } from '../protocol/store-update.js';
import { StoreReaders, type ZoneEntries } from '../systems/store-readers.js';
import type { StoreClock } from './store-clock.js';

export interface ZoneReadersOptions {
  /** Identity of this entry. */
  self: string;
  zone: string;
  /** Identities of the other entries of the zone that are live and not leaving. */
  others: () => readonly string[];
  /** This entry is leaving: any other one reads before it. */
  isLeaving: () => boolean;
  clock: StoreClock;
}

/** One entry's view of the readers of its zone. */
export class ZoneReaders {
  readonly #options: ZoneReadersOptions;
  readonly #readers: Record<FollowedTable, StoreReaders>;

  constructor(options: ZoneReadersOptions) {
    this.#options = options;
    const { zone } = options;
    this.#readers = {
      operator: new StoreReaders(zone, { takeTurns: true }),
      backEnds: new StoreReaders(zone),
    };
  }

  /** Records what the entry `from` has forwarded. */
  noteNews({ table, storeTime, isLongAnswerArriving }: StoreUpdate, from: string): void {
    const readers = this.#readers[table];
    readers.noteNews(from, this.#options.clock.localTimeAt(storeTime));
    if (isLongAnswerArriving === true) readers.noteLongAnswer(from, performance.now());
  }

  /** Records that the store has answered this entry. */
  noteAnswer(table: FollowedTable, storeTime: number): void {
    const { self, clock } = this.#options;
    this.#readers[table].noteNews(self, clock.localTimeAt(storeTime));
  }

  /** Records that the table is complete here as of `storeTime` by what an entry of `zone` has reported. */
  noteReport(table: FollowedTable, storeTime: number, zone: string): void {
    const asOf = this.#options.clock.localTimeAt(storeTime);
    if (zone === this.#options.zone) this.#readers[table].noteKnown(asOf);
    else this.#readers[table].noteComplete(asOf);
  }

  /** Time until this entry reads the table unless another forwards its changes before, in milliseconds; 0 if it reads now. */
  timeUntilReading(table: FollowedTable): number {
    return this.#readers[table].timeUntilReading(this.#entries, performance.now());
  }

  /** Time until this entry reads the table although another forwards its changes, as entries that lack some read from `begin` on. */
  timeUntilTurn(table: FollowedTable, begin: number): number {
    return this.#readers[table].timeUntilTurn(this.#entries, begin, performance.now());
  }

  get #entries(): ZoneEntries {
    const { self, others, isLeaving } = this.#options;
    return { self, others: others(), isLeaving: isLeaving() };
  }
}
