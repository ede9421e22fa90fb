/** What becomes of requests that arrive after the order to stop, for on-call: how late each came and how it ended. */
import { Histogram } from 'prom-client';
import type { Metrics } from '../observability/metrics.js';
import type { RequestOutcome } from './request-outcome.js';

/** Bounds of the times since the order to stop, in seconds: users give 8 s, with finer steps where it is decided. */
const ARRIVAL_BUCKETS = [0.5, 1, 1.5, 2, 2.5, 3, 3.5, 4, 5, 6, 7, 8];
const MILLISECONDS = 1_000;

/** Figures of one outcome. */
export interface ArrivalsWithOutcome {
  count: number;
  /** When the last of them arrived, in milliseconds since the order to stop. */
  latestMs: number;
}

/** The figures of one process. */
export class DrainFigures {
  readonly #arrivals: Histogram;
  readonly #byOutcome: Partial<Record<RequestOutcome, ArrivalsWithOutcome>> = {};

  constructor(metrics: Metrics) {
    this.#arrivals = new Histogram({
      name: 'thistleway_drain_arrival_seconds',
      help: 'Time from the order to stop to the arrival of a request, by the outcome of the request',
      labelNames: ['outcome'],
      buckets: ARRIVAL_BUCKETS,
      registers: [metrics.registry],
    });
  }

  /** By outcome; metrics of a process that ends are seldom read once more, so this goes to its log too. */
  get byOutcome(): Readonly<Partial<Record<RequestOutcome, ArrivalsWithOutcome>>> {
    return this.#byOutcome;
  }

  /** Notes a request that arrived `elapsed` milliseconds after the order to stop. */
  note(outcome: RequestOutcome, elapsed: number): void {
    this.#arrivals.observe({ outcome }, elapsed / MILLISECONDS);
    const { count, latestMs } = this.#byOutcome[outcome] ?? { count: 0, latestMs: 0 };
    this.#byOutcome[outcome] = { count: count + 1, latestMs: Math.max(latestMs, Math.round(elapsed)) };
  }
}
