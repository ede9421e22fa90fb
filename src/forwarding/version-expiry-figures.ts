/**
 * Metrics on the expiry of versions for operators: requests that were withdrawn in time, and answers that started too
 * late.
 */
import type { Metrics } from '../observability/metrics.js';

/** Version expiry counters of one process. */
export class VersionExpiryFigures {
  /** Requests withdrawn from back ends whose version was about to expire. */
  withdrawn = 0;
  /** Answers whose first bytes arrived after their version had expired. They were sent a few milliseconds earlier. */
  begunLate = 0;

  constructor(metrics: Metrics) {
    metrics.add([
      {
        name: 'version_withdrawals',
        help: 'Requests taken back from back ends before they could begin on an expired version',
        read: () => this.withdrawn,
      },
      {
        name: 'version_late_begins',
        help: 'Answers that began on a version after it had expired',
        read: () => this.begunLate,
      },
    ]);
  }
}
