/** What on-call needs to see of streams at engines that take another version: how many moved, and how many stayed. */
import type { Metrics } from '../observability/metrics.js';

/** The figures of one process. */
export class StreamMoveFigures {
  /** Streams that another engine has resumed. */
  moved = 0;
  /** Moves that were given up: no engine had room, or the one that was asked refused, failed or was slow. */
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
