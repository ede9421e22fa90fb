/** The interface for callers of back ends at their own address. */
import type { IncomingMessage, ServerResponse } from 'node:http';
import { createServer, type Server } from 'node:http';
import { Server as ConnectionServer } from 'node:net';
import { Histogram } from 'prom-client';
import type { FleetView } from '../fleet/fleet-view.js';
import type { Random } from '../model/random.js';
import { StallDetector } from '../model/standstills.js';
import type { Startable } from '../model/startable.js';
import { endsWithin } from '../model/time-limit.js';
import type { Log } from '../observability/log.js';
import type { Metrics } from '../observability/metrics.js';
import { closeIdleConnectionsOnceRead } from '../server/idle-connections.js';
import { UnreadableConnections } from '../server/unreadable-connections.js';
import { LongestDurations } from '../systems/longest-durations.js';
import type { RetryWindow } from '../systems/retry-window.js';
import type { BackEndLimits } from './back-end-limits.js';
import type { BackEndSelector } from './back-end-selector.js';
import type { BackEndTable } from './back-end-table.js';
import { CutFigures } from './cut-figures.js';
import type { DirectPermits } from './direct-permits.js';
import { type ArrivalsWithOutcome, DrainFigures } from './drain-figures.js';
import type { EngineSlots } from './engine-slots.js';
import { ForwardedRequest } from './forwarded-request.js';
import type { HeaderNames } from './header-names.js';
import type { PoisonGuard } from './poison-guard.js';
import type { RequestOutcome } from './request-outcome.js';
import { StreamMoveFigures } from './stream-move-figures.js';
import type { TimeToEndComponents } from './time-to-end.js';
import { VersionExpiryFigures } from './version-expiry-figures.js';

/** Time between two looks at requests in progress, in milliseconds. */
const CHECK_INTERVAL = 50;
/** Head of a request, in bytes: above what configurations allow. */
const MOST_HEADER_BYTES = 65_536;
/** Idle connections of callers outlast what they were told by this, in milliseconds. */
const IDLE_MARGIN = 1_000;
const DEFAULT_IDLE_TIMEOUT = 30_000;
/** Last answers are given this long to go out at a stop, in milliseconds: callers that do not read are not waited for. */
const FLUSH_LIMIT = 150;
/**
 * Once no new connections are taken, those whose callers could not be told to leave them stay open for this, in
 * milliseconds: after the close, when the last ones have just been opened, and after an answer that began before the order
 * to stop. A caller that is busy sends its next request within a round trip, far less.
 */
const LINGER = 300;
/** Turns of the event loop in a row without a new connection after which none waits, and the most that are waited for. */
const QUIET_TURNS = 4;
const MOST_TURNS = 100;
/** Bounds of the latency histogram, in seconds. */
const LATENCY_BUCKETS = [0.01, 0.025, 0.05, 0.1, 0.2, 0.4, 0.8, 1.5, 3, 6, 12];

/** What requests are forwarded with. */
export interface ForwardingComponents extends TimeToEndComponents {
  names: HeaderNames;
  /** Names that callers may not set, as this system does. */
  headersSet: ReadonlySet<string>;
  fleet: FleetView;
  backEnds: BackEndTable;
  limits: BackEndLimits;
  permits: DirectPermits;
  selector: BackEndSelector;
  slots: EngineSlots;
  random: Random;
  log: Log;
  expiryFigures: VersionExpiryFigures;
  moveFigures: StreamMoveFigures;
  cutFigures: CutFigures;
  poison: PoisonGuard;
  budgetOf(service: string): RetryWindow;
  onSettled(request: ForwardedRequest, outcome: RequestOutcome, milliseconds: number): void;
}

/** Accepts requests at an address. */
export class ForwardingServer implements Startable {
  readonly #address: string;
  readonly #components: ForwardingComponents;
  readonly #active = new Set<ForwardedRequest>();
  readonly #counters: Partial<Record<RequestOutcome, number>> = {};
  readonly #latency: Histogram;
  readonly #drainFigures: DrainFigures;
  #server: Server | undefined;
  #timer: NodeJS.Timeout | undefined;
  readonly #standstills = new StallDetector(CHECK_INTERVAL, performance.now());
  /** Time in which this process got no processor while requests were in progress, in milliseconds. */
  #stoodStill = 0;
  #acceptedAt = 0;
  #isClosed = false;
  /** Since when callers may be sending on connections that they were not told to leave: the close, and early answers. */
  #lingersSince = Number.NEGATIVE_INFINITY;
  /** Answers that have not gone out. */
  readonly #responses = new Set<ServerResponse>();
  #onFlushed: () => void = () => {};

  constructor(
    address: string,
    components: Omit<
      ForwardingComponents,
      'onSettled' | 'durations' | 'expiryFigures' | 'moveFigures' | 'cutFigures'
    >,
    metrics: Metrics,
  ) {
    this.#address = address;
    this.#components = {
      ...components,
      durations: new LongestDurations(),
      expiryFigures: new VersionExpiryFigures(metrics),
      moveFigures: new StreamMoveFigures(metrics),
      cutFigures: new CutFigures(metrics),
      onSettled: (request, outcome, milliseconds) => this.#onSettled(request, outcome, milliseconds),
    };
    components.poison.onQuarantined = (fingerprints) => {
      for (const request of this.#active) request.onQuarantined(fingerprints);
    };
    this.#latency = new Histogram({
      name: 'thistleway_forwarded_seconds',
      help: 'Time from a request to the end of its answer, by outcome',
      labelNames: ['outcome'],
      buckets: LATENCY_BUCKETS,
      registers: [metrics.registry],
    });
    this.#drainFigures = new DrainFigures(metrics);
    metrics.add([
      {
        name: 'forwarded',
        help: 'Requests by outcome',
        label: 'outcome',
        read: () => ({ ...this.#counters }) as Record<string, number>,
      },
      { name: 'forwarded_in_progress', help: 'Requests in progress', read: () => this.active },
      {
        name: 'stood_still_milliseconds',
        help: 'Time in which this process got no processor while requests were in progress',
        read: () => this.#stoodStill,
      },
      {
        name: 'silent_connections',
        help: 'Kept connections to back ends on which nothing came any more',
        read: () => components.backEnds.silentConnections,
      },
    ]);
  }

  /** Requests in progress. */
  get active(): number {
    return this.#active.size;
  }

  /** What became of requests that arrived after the order to stop. */
  get arrivalsWhileDraining(): Readonly<Partial<Record<RequestOutcome, ArrivalsWithOutcome>>> {
    return this.#drainFigures.byOutcome;
  }

  async start(): Promise<void> {
    const [host, port] = this.#address.split(':');
    const server = createServer(
      { maxHeaderSize: MOST_HEADER_BYTES, keepAliveTimeout: DEFAULT_IDLE_TIMEOUT, requestTimeout: 0 },
      (request, response) => this.#accept(request, response),
    );
    new UnreadableConnections(server, (_error, socket) => socket.destroy());
    closeIdleConnectionsOnceRead(server);
    await new Promise<void>((resolve, reject) => {
      server.once('error', reject);
      server.listen(Number(port), host, resolve);
    });
    this.#server = server;
    this.#components.fleet.listen({
      onConfiguration: ({ configuration }) => {
        if (this.#isClosed) return;
        server.keepAliveTimeout = configuration.limits.idleTimeout + IDLE_MARGIN;
        server.headersTimeout = configuration.limits.headerTimeout + IDLE_MARGIN;
      },
    });
  }

  /** Time since the latest request came, in milliseconds. */
  get quietFor(): number {
    return performance.now() - this.#acceptedAt;
  }

  /**
   * Takes no new connection and ends idle ones. Those in use end with their answers: at once where the caller was told, and
   * otherwise when it has had the time to send its next request there, whose answer tells it.
   */
  async close(): Promise<void> {
    if (this.#server === undefined) return;
    await acceptWaiting(this.#server);
    this.#isClosed = true;
    this.#lingersSince = performance.now();
    this.#server.keepAliveTimeout = LINGER;
    // The `close` of an HTTP server also ends the connections that it takes for idle.
    ConnectionServer.prototype.close.call(this.#server);
    setTimeout(() => setImmediate(() => this.#closeIdleConnections()), LINGER).unref();
  }

  /** Connections that were just accepted count as idle, too, until their first request is read. */
  #closeIdleConnections(): void {
    if (!this.#isAnswerGoingOut) this.#server?.closeIdleConnections();
  }

  /**
   * True while the end of an answer is written, but not out. The HTTP server takes its connection for idle, although the
   * caller does not have the whole answer yet. Connections that are left open for this serve what still comes there.
   */
  get #isAnswerGoingOut(): boolean {
    return [...this.#responses].some(
      ({ writableEnded, writableFinished }) => writableEnded && !writableFinished,
    );
  }

  /** True once each answer is out and no caller may still be using a connection that it was not told to leave. */
  get isSettled(): boolean {
    return this.#responses.size === 0 && performance.now() - this.#lingersSince > LINGER;
  }

  async stop(): Promise<void> {
    clearInterval(this.#timer);
    // What is still read while the last answers go out is refused.
    this.#components.drain.finish(performance.now());
    for (const request of this.#active) request.stop();
    await endsWithin(this.#flushed(), FLUSH_LIMIT);
    this.#server?.closeAllConnections();
    this.#server?.close();
    this.#server = undefined;
  }

  #accept(request: IncomingMessage, response: ServerResponse): void {
    this.#responses.add(response);
    response.once('close', () => this.#onResponseClosed(response));
    const forwarded = new ForwardedRequest(this.#components, request, response);
    this.#active.add(forwarded);
    this.#acceptedAt = performance.now();
    if (this.#timer === undefined) this.#beginChecks();
    forwarded.start().catch((cause) => forwarded.abandon(cause));
  }

  #arrivedAfterOrder({ arrivedAt }: ForwardedRequest): boolean {
    return (this.#components.drain.elapsed(arrivedAt) ?? -1) >= 0;
  }

  /** Resolves when each answer has gone out, or its caller has. */
  #flushed(): Promise<void> {
    return new Promise((resolve) => {
      this.#onFlushed = resolve;
      if (this.#responses.size === 0) resolve();
    });
  }

  #onResponseClosed(response: ServerResponse): void {
    this.#responses.delete(response);
    if (this.#responses.size === 0) this.#onFlushed();
  }

  #beginChecks(): void {
    this.#standstills.reset(performance.now());
    this.#timer = setInterval(() => this.#check(), CHECK_INTERVAL);
  }

  #check(): void {
    const now = performance.now();
    const stoodStill = this.#standstills.tick(now);
    if (stoodStill > 0) this.#noteStandstill(stoodStill);
    for (const request of this.#active) this.#checkOne(request, now);
    if (this.#active.size > 0) return;
    clearInterval(this.#timer);
    this.#timer = undefined;
  }

  /** What was due meanwhile comes late: time-outs, withdrawals, answers to others. */
  #noteStandstill(milliseconds: number): void {
    this.#stoodStill += milliseconds;
    this.#components.log.warn('stood still', {
      milliseconds: Math.round(milliseconds),
      inProgress: this.active,
    });
  }

  /** A fault at one request ends that one. */
  #checkOne(request: ForwardedRequest, now: number): void {
    try {
      request.check(now, this.#standstills);
    } catch (cause) {
      request.abandon(cause);
    }
  }

  #onSettled(request: ForwardedRequest, outcome: RequestOutcome, milliseconds: number): void {
    this.#active.delete(request);
    if (!this.#arrivedAfterOrder(request)) this.#lingersSince = performance.now();
    this.#counters[outcome] = (this.#counters[outcome] ?? 0) + 1;
    this.#latency.observe({ outcome }, milliseconds / 1_000);
    if (!this.#arrivedAfterOrder(request)) return;
    this.#drainFigures.note(outcome, this.#components.drain.elapsed(request.arrivedAt) ?? 0);
  }
}

/**
 * Waits until the event loop has accepted and read what was waiting, as after a standstill: a server that closes resets the
 * connections that wait for it.
 */
async function acceptWaiting(server: Server): Promise<void> {
  let accepted = 0;
  const count = () => accepted++;
  server.on('connection', count);
  for (let turns = 0, quietTurns = 0; turns < MOST_TURNS && quietTurns < QUIET_TURNS; turns++) {
    const before = accepted;
    await new Promise((resolve) => setImmediate(resolve));
    quietTurns = accepted === before ? quietTurns + 1 : 0;
  }
  server.off('connection', count);
}
