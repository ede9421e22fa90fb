/** Metric of answers that were cut after their caller had received a part, by the failure of their latest attempt. */
import type { Metrics } from '../observability/metrics.js';

/** Maximum number of distinct reasons; bounded because reasons include the texts of system errors. */
const MAX_REASONS = 16;
const OTHER_REASON = 'other';

export class CutAnswerMetrics {
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

  /** @param reason - failure of the latest attempt, or why the answer was cut if no attempt failed */
  note(reason: string): void {
    const isCounted = this.#counts.has(reason) || this.#counts.size < MAX_REASONS;
    const label = isCounted ? reason : OTHER_REASON;
    this.#counts.set(label, (this.#counts.get(label) ?? 0) + 1);
  }
}
