/** The interface for callers of back ends at their own address. */
import type { IncomingMessage, ServerResponse } from 'node:http';
import { createServer, type Server } from 'node:http';
import { Histogram } from 'prom-client';
import type { FleetView } from '../fleet/fleet-view.js';
import type { Random } from '../model/random.js';
import { Standstills } from '../model/standstills.js';
import type { Startable } from '../model/startable.js';
import type { Log } from '../observability/log.js';
import type { Metrics } from '../observability/metrics.js';
import type { RetryWindow } from '../systems/retry-window.js';
import type { BackEndSelector } from './back-end-selector.js';
import type { BackEndTable } from './back-end-table.js';
import { ForwardedRequest, type RequestOutcome } from './forwarded-request.js';
import type { HeaderNames } from './header-names.js';

/** Time between two looks at requests in progress, in milliseconds. */
const CHECK_INTERVAL = 50;
/** Head of a request, in bytes: above what configurations allow. */
const MOST_HEADER_BYTES = 65_536;
/** Idle connections of callers outlast what they were told by this, in milliseconds. */
const IDLE_MARGIN = 1_000;
const DEFAULT_IDLE_TIMEOUT = 30_000;
/** Bounds of the latency histogram, in seconds. */
const LATENCY_BUCKETS = [0.01, 0.025, 0.05, 0.1, 0.2, 0.4, 0.8, 1.5, 3, 6, 12];

/** What requests are forwarded with. */
export interface ForwardingComponents {
  names: HeaderNames;
  /** Names that callers may not set, as this system does. */
  headersSet: ReadonlySet<string>;
  fleet: FleetView;
  backEnds: BackEndTable;
  selector: BackEndSelector;
  random: Random;
  log: Log;
  budgetOf(service: string): RetryWindow;
  isLeaving(): boolean;
  onSettled(request: ForwardedRequest, outcome: RequestOutcome, milliseconds: number): void;
}

/** Accepts requests at an address. */
export class ForwardingServer implements Startable {
  readonly #address: string;
  readonly #components: ForwardingComponents;
  readonly #active = new Set<ForwardedRequest>();
  readonly #counters: Partial<Record<RequestOutcome, number>> = {};
  readonly #latency: Histogram;
  #server: Server | undefined;
  #timer: NodeJS.Timeout | undefined;
  readonly #standstills = new Standstills(CHECK_INTERVAL, performance.now());
  #acceptedAt = 0;

  constructor(address: string, components: Omit<ForwardingComponents, 'onSettled'>, metrics: Metrics) {
    this.#address = address;
    this.#components = {
      ...components,
      onSettled: (request, outcome, milliseconds) => this.#onSettled(request, outcome, milliseconds),
    };
    this.#latency = new Histogram({
      name: 'thistleway_forwarded_seconds',
      help: 'Time from a request to the end of its answer, by outcome',
      labelNames: ['outcome'],
      buckets: LATENCY_BUCKETS,
      registers: [metrics.registry],
    });
    metrics.add([
      {
        name: 'forwarded',
        help: 'Requests by outcome',
        label: 'outcome',
        read: () => ({ ...this.#counters }) as Record<string, number>,
      },
      { name: 'forwarded_in_progress', help: 'Requests in progress', read: () => this.active },
    ]);
  }

  /** Requests in progress. */
  get active(): number {
    return this.#active.size;
  }

  async start(): Promise<void> {
    const [host, port] = this.#address.split(':');
    const server = createServer(
      { maxHeaderSize: MOST_HEADER_BYTES, keepAliveTimeout: DEFAULT_IDLE_TIMEOUT, requestTimeout: 0 },
      (request, response) => this.#accept(request, response),
    );
    server.on('clientError', (_error, socket) => socket.destroy());
    await new Promise<void>((resolve, reject) => {
      server.once('error', reject);
      server.listen(Number(port), host, resolve);
    });
    this.#server = server;
    this.#components.fleet.listen({
      onConfiguration: ({ configuration }) => {
        server.keepAliveTimeout = configuration.limits.idleTimeout + IDLE_MARGIN;
        server.headersTimeout = configuration.limits.headerTimeout + IDLE_MARGIN;
      },
    });
  }

  /** Time since the latest request came, in milliseconds. */
  get quietFor(): number {
    return performance.now() - this.#acceptedAt;
  }

  /** Takes no new connection and ends idle ones; those in use end with their answers. */
  close(): void {
    this.#server?.close();
    this.#server?.closeIdleConnections();
  }

  async stop(): Promise<void> {
    clearInterval(this.#timer);
    this.#server?.closeAllConnections();
    this.#server?.close();
    this.#server = undefined;
  }

  #accept(request: IncomingMessage, response: ServerResponse): void {
    const forwarded = new ForwardedRequest(this.#components, request, response);
    this.#active.add(forwarded);
    this.#acceptedAt = performance.now();
    if (this.#timer === undefined) this.#beginChecks();
    forwarded.start().catch((cause) => forwarded.abandon(cause));
  }

  #beginChecks(): void {
    this.#standstills.begin(performance.now());
    this.#timer = setInterval(() => this.#check(), CHECK_INTERVAL);
  }

  #check(): void {
    const now = performance.now();
    this.#standstills.tick(now);
    for (const request of this.#active) request.check(now, this.#standstills);
    if (this.#active.size > 0) return;
    clearInterval(this.#timer);
    this.#timer = undefined;
  }

  #onSettled(request: ForwardedRequest, outcome: RequestOutcome, milliseconds: number): void {
    this.#active.delete(request);
    this.#counters[outcome] = (this.#counters[outcome] ?? 0) + 1;
    this.#latency.observe({ outcome }, milliseconds / 1_000);
  }
}
