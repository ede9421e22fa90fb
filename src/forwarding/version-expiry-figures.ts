/** What on-call needs to see of versions that expire: requests withdrawn in time, and those that began too late. */
import type { Metrics } from '../observability/metrics.js';

/** The figures of one process. */
export class VersionExpiryFigures {
  /** Requests taken back from back ends whose version was about to expire. */
  withdrawn = 0;
  /** Answers that began on a version after it had expired, as seen here: their first bytes are some ms under way. */
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
