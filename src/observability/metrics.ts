/** Prometheus metrics of a process. Values are read from the components that count them when the metrics are scraped. */
import { collectDefaultMetrics, Gauge, Registry } from 'prom-client';
import type { SendFigures, TrafficCounters } from '../protocol/connection.js';

/** Sampling interval of the event loop lag, in milliseconds. The library's default of 10 ms keeps waking an idle process. */
const EVENT_LOOP_SAMPLE_INTERVAL = 500;

/** A metric: its name (with unit), its help text, and a function that reads its value. */
export interface MetricSource {
  name: string;
  help: string;
  read: () => number | Record<string, number>;
  /** Label whose values are the keys of the record that `read` returns. */
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

  /** Registers a gauge for each source. */
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
          // Without a reset, labels that are no longer in the record would keep their last value.
          this.reset();
          for (const [key, figure] of Object.entries(value)) this.set({ [label!]: key }, figure);
        },
      });
    }
  }

  /** Returns the metrics in the Prometheus text format, the product's own first: a scraper may truncate a long page. */
  async text(): Promise<string> {
    const pages = await Promise.all([this.registry.metrics(), this.#runtime.metrics()]);
    return pages.join('\n');
  }
}

/** Metric of the bytes exchanged between the system's own processes. */
export function trafficMetrics(counters: TrafficCounters): MetricSource {
  return {
    name: 'traffic_bytes_total',
    help: 'Bytes between processes of the system, with framing, by kind and direction',
    label: 'kind',
    read: () => ({ ...counters }),
  };
}

/** Metrics of what a process sends to others: bytes by type of message, and how long frames wait. */
export function sendMetrics({ bytesByType, longestWait }: SendFigures): MetricSource[] {
  return [
    {
      name: 'sent_bytes_total',
      help: 'Bytes of messages to other processes of the system, by type',
      label: 'type',
      read: () => ({ ...bytesByType }),
    },
    {
      name: 'longest_send_wait_milliseconds',
      help: 'Longest time in which the operating system had not taken all of a frame to another process, by kind',
      label: 'kind',
      read: () => ({ ...longestWait }),
    },
  ];
}
