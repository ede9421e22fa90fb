/**
 * News of the configuration that nobody waits for (renewals of leases) are held back and go along with the next that
 * matter, or after a while. What is sent covers a range of revisions without a gap: whoever knows its base knows all
 * rows up to its revision.
 */
import type { Row } from '../clients/table-service.js';

/** Rows changed after revision `base`, up to `revision`. */
export interface ConfigurationNews {
  base: number;
  revision: number;
  rows: Row[];
}

/** Tables whose changes others learn early enough by their own reading. */
const PATIENT_TABLES: ReadonlySet<string> = new Set(['leases']);

/** The news held back on one kind of link. */
export class HeldBackNews {
  readonly #longest: number;
  #held: ConfigurationNews | undefined;
  #heldSince = 0;

  /** News wait for `longest` milliseconds at most. */
  constructor(longest: number) {
    this.#longest = longest;
  }

  /** Takes news in; returns what is to be sent now, if anything is. */
  add(news: ConfigurationNews, now: number): ConfigurationNews | undefined {
    const follows = this.#held !== undefined && this.#held.revision === news.base;
    if (this.#held !== undefined && follows) this.#held = join(this.#held, news);
    else {
      // What lies between came by another way and was passed on there.
      this.#held = news;
      this.#heldSince = now;
    }
    const isUrgent = news.rows.some(({ table }) => !PATIENT_TABLES.has(table));
    if (!isUrgent && now - this.#heldSince < this.#longest) return undefined;
    const due = this.#held;
    this.#held = undefined;
    return due;
  }
}

/** One range of revisions from two that follow each other; of each row the later one. */
function join(earlier: ConfigurationNews, later: ConfigurationNews): ConfigurationNews {
  const rows = new Map<string, Row>();
  for (const row of [...earlier.rows, ...later.rows]) rows.set(`${row.table}/${row.key}`, row);
  return { base: earlier.base, revision: later.revision, rows: [...rows.values()] };
}
