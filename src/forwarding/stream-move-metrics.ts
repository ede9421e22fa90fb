/** Metric of moves of streams off engines that switch versions, by outcome. */
import type { Metrics } from '../observability/metrics.js';

export class StreamMoveMetrics {
  /** Number of streams that another engine has resumed. */
  moved = 0;
  /** Number of moves given up because no engine had room, or because the chosen one refused, failed or was slow. */
  givenUp = 0;

  constructor(metrics: Metrics) {
    metrics.add([
      {
        name: 'stream_moves',
        help: 'Moves of streams off engines that are about to take another version, by outcome',
        label: 'outcome',
        read: () => ({ moved: this.moved, givenUp: this.givenUp }),
      },
    ]);
  }
}
