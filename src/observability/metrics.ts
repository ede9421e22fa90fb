/** Prometheus metrics of a process; figures that other parts count are read when the metrics are asked for. */
import { collectDefaultMetrics, Gauge, Registry } from 'prom-client';
import type { TrafficCounters } from '../protocol/connection.js';

/** Time between two samples of the event loop's lag, in milliseconds: the library's 10 wake an idle process for it. */
const EVENT_LOOP_SAMPLE_INTERVAL = 500;

/** One figure: its name (with unit), its help text, and where it is read. */
export interface MetricSource {
  name: string;
  help: string;
  read: () => number | Record<string, number>;
  /** Name of the label that the keys of a record become. */
  label?: string;
}

/** The metrics of one process. */
export class Metrics {
  readonly registry = new Registry();
  readonly #runtime = new Registry();

  constructor(role: string) {
    for (const registry of [this.registry, this.#runtime]) registry.setDefaultLabels({ role });
    collectDefaultMetrics({
      register: this.#runtime,
      prefix: 'thistleway_',
      eventLoopMonitoringPrecision: EVENT_LOOP_SAMPLE_INTERVAL,
    });
  }

  /** Adds figures. */
  add(sources: readonly MetricSource[]): void {
    for (const { name, help, read, label } of sources) {
      const labelNames = label === undefined ? [] : [label];
      const registers = [this.registry];
      new Gauge({
        name: `thistleway_${name}`,
        help,
        labelNames,
        registers,
        collect() {
          const value = read();
          if (typeof value === 'number') return this.set(value);
          // Otherwise, labels that are no longer in the record would keep their last value.
          this.reset();
          for (const [key, figure] of Object.entries(value)) this.set({ [label!]: key }, figure);
        },
      });
    }
  }

  /** The metrics in the Prometheus text format: the product's own first, as a reader that cuts a page off would lose them. */
  async text(): Promise<string> {
    const pages = await Promise.all([this.registry.metrics(), this.#runtime.metrics()]);
    return pages.join('\n');
  }
}

/** Bytes between the system's own processes. */
export function trafficMetrics(counters: TrafficCounters): MetricSource {
  return {
    name: 'traffic_bytes_total',
    help: 'Bytes between processes of the system, with framing, by kind and direction',
    label: 'kind',
    read: () => ({ ...counters }),
  };
}
