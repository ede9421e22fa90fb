/**
 * Delays configuration changes that are not urgent (lease renewals), and sends them together with the next urgent change
 * or after a maximum delay. Each message covers a contiguous range of revisions: a receiver that has the base revision
 * has all rows up to the message's revision.
 */
import type { Row } from '../clients/table-service.js';

/** Rows changed after revision `base`, up to `revision`. */
export interface ConfigurationNews {
  base: number;
  revision: number;
  rows: Row[];
}

/** Tables whose changes other processes see early enough by reading them themselves. */
const DEFERRABLE_TABLES: ReadonlySet<string> = new Set(['leases']);

/** The changes held back on one kind of link. */
export class HeldBackNews {
  readonly #maxDelay: number;
  #held: ConfigurationNews | undefined;
  #heldSince = 0;

  /** @param maxDelay - maximum delay, in milliseconds */
  constructor(maxDelay: number) {
    this.#maxDelay = maxDelay;
  }

  /** Adds changes; returns the changes to send now, if any. */
  add(news: ConfigurationNews, now: number): ConfigurationNews | undefined {
    const follows = this.#held !== undefined && this.#held.revision === news.base;
    if (this.#held !== undefined && follows) this.#held = join(this.#held, news);
    else {
      // The revisions in between were received by another way and forwarded there.
      this.#held = news;
      this.#heldSince = now;
    }
    const isUrgent = news.rows.some(({ table }) => !DEFERRABLE_TABLES.has(table));
    if (!isUrgent && now - this.#heldSince < this.#maxDelay) return undefined;
    const due = this.#held;
    this.#held = undefined;
    return due;
  }
}

/** Merges two consecutive ranges of revisions; the later change of a row wins. */
function join(earlier: ConfigurationNews, later: ConfigurationNews): ConfigurationNews {
  const rows = new Map<string, Row>();
  for (const row of [...earlier.rows, ...later.rows]) rows.set(`${row.table}/${row.key}`, row);
  return { base: earlier.base, revision: later.revision, rows: [...rows.values()] };
}
