/** Metrics of requests that arrive after the order to stop: their arrival times and outcomes. */
import { Histogram } from 'prom-client';
import type { Metrics } from '../observability/metrics.js';
import type { RequestOutcome } from './request-outcome.js';

/**
 * Bounds of the histogram of arrival times since the order to stop, in seconds. Deployments give a process 8 s to stop; the
 * steps are finer in the range in which it decides whether a request can still complete.
 */
const ARRIVAL_BUCKETS = [0.5, 1, 1.5, 2, 2.5, 3, 3.5, 4, 5, 6, 7, 8];
const MILLISECONDS = 1_000;

export interface OutcomeArrivals {
  count: number;
  /** Arrival time of the last such request, in milliseconds since the order to stop. */
  latestMs: number;
}

export class DrainMetrics {
  readonly #arrivals: Histogram;
  readonly #byOutcome: Partial<Record<RequestOutcome, OutcomeArrivals>> = {};

  constructor(metrics: Metrics) {
    this.#arrivals = new Histogram({
      name: 'thistleway_drain_arrival_seconds',
      help: 'Time from the order to stop to the arrival of a request, by the outcome of the request',
      labelNames: ['outcome'],
      buckets: ARRIVAL_BUCKETS,
      registers: [metrics.registry],
    });
  }

  /** Counts by outcome. They are logged too, as the metrics of a process that exits are rarely scraped again. */
  get byOutcome(): Readonly<Partial<Record<RequestOutcome, OutcomeArrivals>>> {
    return this.#byOutcome;
  }

  /** Counts a request that arrived `elapsed` milliseconds after the order to stop. */
  note(outcome: RequestOutcome, elapsed: number): void {
    this.#arrivals.observe({ outcome }, elapsed / MILLISECONDS);
    const { count, latestMs } = this.#byOutcome[outcome] ?? { count: 0, latestMs: 0 };
    this.#byOutcome[outcome] = { count: count + 1, latestMs: Math.max(latestMs, Math.round(elapsed)) };
  }
}
