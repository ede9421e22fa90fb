/** Answers that were cut after their caller had a part of them, for metrics: how many, by how their latest attempt ended. */
import type { Metrics } from '../observability/metrics.js';

/** Reasons that are counted apart; the texts of system errors could grow without bound. */
const MOST_REASONS = 16;
const OTHER_REASON = 'other';

/** The figures of one process. */
export class CutFigures {
  readonly #counts = new Map<string, number>();

  constructor(metrics: Metrics) {
    metrics.add([
      {
        name: 'answers_cut',
        help: 'Answers that ended incomplete after their caller had a part of them, by how their latest attempt ended',
        label: 'reason',
        read: () => Object.fromEntries(this.#counts),
      },
    ]);
  }

  /** @param reason - how the latest attempt failed, or why the answer was cut where none did */
  note(reason: string): void {
    const isCounted = this.#counts.has(reason) || this.#counts.size < MOST_REASONS;
    const label = isCounted ? reason : OTHER_REASON;
    this.#counts.set(label, (this.#counts.get(label) ?? 0) + 1);
  }
}
