/** Logs when and from whom this process learns that a back end is leaving or gone. */
import type { Log } from '../observability/log.js';
import type { BackEndChange } from './back-end-list.js';
import type { FleetListener } from './fleet-view.js';
import type { ListFreshness } from './list-freshness.js';

export class DepartureLog implements FleetListener {
  readonly #freshness: Pick<ListFreshness, 'age' | 'source'>;
  readonly #log: Log;
  /** Back ends that are listed and not leaving. */
  readonly #serving = new Set<string>();

  constructor(freshness: Pick<ListFreshness, 'age' | 'source'>, log: Log) {
    this.#freshness = freshness;
    this.#log = log;
  }

  onBackEnds(changes: readonly BackEndChange[]): void {
    for (const change of changes) {
      if (change.type === 'changed' && !change.record.leaving) this.#serving.add(change.record.id);
      else if (change.type === 'changed') this.#note('back end is leaving', change.record);
      else this.#note('back end gone', change);
    }
  }

  #note(message: string, { id, revision }: { id: string; revision: number }): void {
    if (!this.#serving.delete(id)) return;
    const { source } = this.#freshness;
    const ageMs = Math.round(this.#freshness.age(performance.now()));
    this.#log.info(message, { backEnd: id, revision, source, ageMs });
  }
}
