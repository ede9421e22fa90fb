/** HTTP server that accepts requests of callers and forwards them to back ends. */
import type { IncomingMessage, ServerResponse } from 'node:http';
import { createServer, type Server } from 'node:http';
import { Server as ConnectionServer, type Socket } from 'node:net';
import { setTimeout as sleep } from 'node:timers/promises';
import { Histogram } from 'prom-client';
import type { FleetView } from '../fleet/fleet-view.js';
import type { Random } from '../model/random.js';
import { StallDetector } from '../model/stall-detector.js';
import type { Startable } from '../model/startable.js';
import { endsWithin } from '../model/time-limit.js';
import type { Log } from '../observability/log.js';
import type { Metrics } from '../observability/metrics.js';
import { ClientErrorHandler } from '../server/client-error-handler.js';
import { dropAnswer } from '../server/dropped-answer.js';
import { closeIdleConnectionsOnceRead } from '../server/idle-connections.js';
import { listen } from '../server/listen.js';
import { PendingResponses } from '../server/pending-responses.js';
import { RequestRemainders } from '../server/request-remainders.js';
import { socketsRead } from '../server/sockets-read.js';
import type { DrainSchedule } from '../systems/drain-schedule.js';
import type { EventBudget } from '../systems/event-budget.js';
import type { RetryWindow } from '../systems/retry-window.js';
import { ServiceFloor } from '../systems/service-floor.js';
import type { AdmittedRequest } from './admitted-request.js';
import { AnswerNotices } from './answer-notices.js';
import type { BackEndBackoffs } from './back-end-backoffs.js';
import type { BackEndLimits } from './back-end-limits.js';
import type { BackEndSelector } from './back-end-selector.js';
import type { BackEndTable } from './back-end-table.js';
import type { BackEndWarmUps } from './back-end-warm-ups.js';
import { CallerReturns } from './caller-returns.js';
import { CutAnswerMetrics } from './cut-answer-metrics.js';
import type { DirectPermits } from './direct-permits.js';
import { DrainMetrics, type OutcomeArrivals } from './drain-metrics.js';
import type { EngineSlots } from './engine-slots.js';
import { ForwardedRequest } from './forwarded-request.js';
import type { HeaderNames } from './header-names.js';
import { createEventBudget } from './held-events.js';
import type { PoisonGuard } from './poison-guard.js';
import { outcomeOfEnding, type RequestEnding } from './request-ending.js';
import type { RequestOutcome } from './request-outcome.js';
import { ServiceRecord } from './service-record.js';
import { StreamMoveMetrics } from './stream-move-metrics.js';
import { UnreadAnswers } from './unread-answers.js';
import { VersionExpiryFigures } from './version-expiry-figures.js';

/** Interval at which requests in progress are checked, in milliseconds. */
const CHECK_INTERVAL = 50;
/** Maximum size of a request head in bytes; above the limits that a configuration may set. */
const MAX_HEADER_BYTES = 65_536;
/** Time for which connections stay open beyond the configured timeouts, in milliseconds. */
const TIMEOUT_MARGIN = 1_000;
const DEFAULT_IDLE_TIMEOUT = 30_000;
/** Time that the last answers have to be written when the server stops, in milliseconds; bounded as callers may not read. */
const FLUSH_TIMEOUT = 150;
/**
 * Once no new connections are accepted, those whose callers have not been sent `Connection: close` stay open for this time,
 * in milliseconds. It is counted from the close, as the last connections may have been opened just before it, and anew from
 * the end of each answer to a request that arrived before the order to stop. A busy caller sends its next request within a
 * round trip, which is far shorter.
 */
const LINGER_TIME = 300;
/** Consecutive turns of the event loop without a new connection after which none is pending, and the limit of all turns. */
const QUIET_TURNS = 4;
const MAX_TURNS = 100;
/** A turn of the event loop that takes longer may have been a stall, in which connections have arrived; in milliseconds. */
const MAX_QUIET_TURN = 20;
/** Interval at which it is checked whether the server is drained, in milliseconds. */
const DRAIN_CHECK_INTERVAL = 50;
/** Maximum number of times that answers are waited for at the stop, as further requests are read meanwhile. */
const MAX_FLUSHES = 3;
/** Bounds of the latency histogram, in seconds. */
const LATENCY_BUCKETS = [0.01, 0.025, 0.05, 0.1, 0.2, 0.4, 0.8, 1.5, 3, 6, 12];

export interface ForwardingComponents {
  /** Schedule of the stop of this process. */
  drain: DrainSchedule;
  names: HeaderNames;
  /** Names of headers that this system sets; they are removed from requests of callers. */
  reservedHeaders: ReadonlySet<string>;
  fleet: FleetView;
  backEnds: BackEndTable;
  limits: BackEndLimits;
  warmUps: BackEndWarmUps;
  backoffs: BackEndBackoffs;
  notices: AnswerNotices;
  permits: DirectPermits;
  selector: BackEndSelector;
  slots: EngineSlots;
  random: Random;
  log: Log;
  expiryFigures: VersionExpiryFigures;
  moveMetrics: StreamMoveMetrics;
  cutMetrics: CutAnswerMetrics;
  unread: UnreadAnswers;
  eventBudget: EventBudget;
  poison: PoisonGuard;
  returns: CallerReturns;
  budgetOf(service: string): RetryWindow;
  floor: ServiceFloor;
  /** Whether no further request has been read on the connection of a response. */
  isLastOnConnection(response: ServerResponse): boolean;
  /** @param admitted - undefined if the request was rejected on arrival */
  onSettled(
    request: ForwardedRequest,
    ending: RequestEnding,
    milliseconds: number,
    admitted: AdmittedRequest | undefined,
  ): void;
}

export class ForwardingServer implements Startable {
  readonly #address: string;
  readonly #components: ForwardingComponents;
  readonly #active = new Set<ForwardedRequest>();
  readonly #counters: Partial<Record<RequestOutcome, number>> = {};
  readonly #latency: Histogram;
  readonly #drainMetrics: DrainMetrics;
  readonly #service: ServiceRecord;
  #server: Server | undefined;
  /** Open connections of callers. */
  readonly #connections = new Set<Socket>();
  #remainders: RequestRemainders | undefined;
  #pending: PendingResponses | undefined;
  #timer: NodeJS.Timeout | undefined;
  readonly #standstills = new StallDetector(CHECK_INTERVAL, performance.now());
  /** Total time in which this process was not scheduled while requests were in progress, in milliseconds. */
  #stalledTime = 0;
  #acceptedAt = 0;
  #isClosed = false;
  /** Latest time from which `LINGER_TIME` counts. */
  #lingerStartedAt = Number.NEGATIVE_INFINITY;
  /** Responses that have not been written completely. */
  readonly #responses = new Set<ServerResponse>();
  #onFlushed: () => void = () => {};

  constructor(
    address: string,
    components: Omit<
      ForwardingComponents,
      | 'onSettled'
      | 'isLastOnConnection'
      | 'expiryFigures'
      | 'moveMetrics'
      | 'cutMetrics'
      | 'notices'
      | 'unread'
      | 'eventBudget'
      | 'returns'
      | 'floor'
    >,
    metrics: Metrics,
  ) {
    this.#address = address;
    const floor = new ServiceFloor(components.random);
    this.#service = new ServiceRecord(floor, metrics);
    this.#components = {
      ...components,
      expiryFigures: new VersionExpiryFigures(metrics),
      moveMetrics: new StreamMoveMetrics(metrics),
      cutMetrics: new CutAnswerMetrics(metrics),
      unread: new UnreadAnswers(components.log, metrics),
      eventBudget: createEventBudget(metrics),
      notices: new AnswerNotices({ ...components, metrics }),
      returns: new CallerReturns({ ...components, metrics }),
      floor,
      isLastOnConnection: (response) => this.#pending?.isLast(response) ?? true,
      onSettled: (request, ending, milliseconds, admitted) => {
        this.#onSettled(request, outcomeOfEnding(ending), milliseconds);
        if (admitted !== undefined) this.#service.note(admitted, ending, performance.now());
      },
    };
    components.poison.onQuarantined = () => {
      for (const request of this.#active) request.onQuarantined();
    };
    this.#latency = new Histogram({
      name: 'thistleway_forwarded_seconds',
      help: 'Time from a request to the end of its answer, by outcome',
      labelNames: ['outcome'],
      buckets: LATENCY_BUCKETS,
      registers: [metrics.registry],
    });
    this.#drainMetrics = new DrainMetrics(metrics);
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
        read: () => this.#stalledTime,
      },
      {
        name: 'silent_connections',
        help: 'Kept connections to back ends on which nothing came any more',
        read: () => components.backEnds.silentConnections,
      },
      {
        name: 'request_remainders',
        help: 'Requests since the start that were answered before their body had been read, by how the rest of it ended',
        label: 'outcome',
        read: () => ({ ...this.#remainders?.counts }),
      },
    ]);
  }

  /** Number of requests in progress. */
  get active(): number {
    return this.#active.size;
  }

  /** Requests that arrived after the order to stop, by outcome. */
  get arrivalsWhileDraining(): Readonly<Partial<Record<RequestOutcome, OutcomeArrivals>>> {
    return this.#drainMetrics.byOutcome;
  }

  async start(): Promise<void> {
    const server = createServer(
      { maxHeaderSize: MAX_HEADER_BYTES, keepAliveTimeout: DEFAULT_IDLE_TIMEOUT, requestTimeout: 0 },
      (request, response) => this.#accept(request, response),
    );
    this.#pending = new PendingResponses(server);
    new ClientErrorHandler(server, (_error, socket) => socket.destroy());
    server.on('connection', (socket) => {
      this.#connections.add(socket);
      socket.once('close', () => this.#connections.delete(socket));
    });
    closeIdleConnectionsOnceRead(server);
    this.#remainders = new RequestRemainders(server);
    await listen(server, this.#address);
    this.#server = server;
    this.#components.fleet.listen({
      onConfiguration: ({ configuration }) => {
        if (this.#isClosed) return;
        server.keepAliveTimeout = configuration.limits.idleTimeout + TIMEOUT_MARGIN;
        server.headersTimeout = configuration.limits.headerTimeout + TIMEOUT_MARGIN;
      },
    });
  }

  /** Time since the latest request arrived, in milliseconds. */
  get timeSinceLastRequest(): number {
    return performance.now() - this.#acceptedAt;
  }

  /**
   * Accepts no new connections and closes idle ones. A connection in use closes at the end of its answer if that has
   * `Connection: close`. Otherwise it stays open for `LINGER_TIME`, so that the answer to the caller's next request can have it.
   */
  async close(): Promise<void> {
    if (this.#server === undefined) return;
    await acceptPendingConnections(this.#server);
    this.#isClosed = true;
    this.#lingerStartedAt = performance.now();
    this.#server.keepAliveTimeout = LINGER_TIME;
    // `close` of an HTTP server would also close connections that it considers idle.
    ConnectionServer.prototype.close.call(this.#server);
    setTimeout(() => void socketsRead().then(() => this.#closeIdleConnections()), LINGER_TIME).unref();
  }

  /**
   * Resolves once each answer has been written and no caller can have another request here, or at the end of the grace time.
   * To be called after `close`.
   */
  async drained(): Promise<void> {
    const { drain } = this.#components;
    const standstills = new StallDetector(DRAIN_CHECK_INTERVAL, performance.now());
    while (performance.now() < drain.endsAt) {
      // What has arrived during a stall is read before its time counts.
      if (this.isDrained) await socketsRead();
      if (this.isDrained) return;
      await sleep(DRAIN_CHECK_INTERVAL);
      const stoodStill = standstills.tick(performance.now());
      if (stoodStill > 0 && this.#timer === undefined) this.#noteStandstill(stoodStill);
    }
  }

  /** Closes idle connections; those just accepted count as idle too, until their first request has been read. */
  #closeIdleConnections(): void {
    if (!this.#isFlushing) this.#server?.closeIdleConnections();
  }

  /**
   * True while an ended response has not been flushed. The HTTP server considers its connection idle then, although the
   * caller does not have the whole answer yet. Connections that stay open for this reason still serve requests.
   */
  get #isFlushing(): boolean {
    return [...this.#responses].some(
      ({ writableEnded, writableFinished }) => writableEnded && !writableFinished,
    );
  }

  /** True once each answer has been written and `LINGER_TIME` is over for all connections. */
  get isDrained(): boolean {
    return this.#responses.size === 0 && performance.now() - this.#lingerStartedAt > LINGER_TIME;
  }

  async stop(): Promise<void> {
    clearInterval(this.#timer);
    // Requests that are read while the last answers are written are refused.
    this.#components.drain.finish(performance.now());
    await this.#writeLastAnswers();
    this.#components.unread.stop();
    if (this.#server !== undefined) this.#noteConnectionsClosed();
    for (const response of this.#responses) dropAnswer(response);
    this.#server?.closeAllConnections();
    this.#server?.close();
    this.#server = undefined;
  }

  /**
   * Ends the requests in progress, and reads and refuses those that have arrived, so that none is reset unread. The connections
   * must be closed in the turn in which this resolves.
   */
  async #writeLastAnswers(): Promise<void> {
    const { drain } = this.#components;
    for (let flushes = 0; flushes < MAX_FLUSHES; flushes++) {
      for (const request of this.#active) request.stop();
      await endsWithin(this.#flushed(), drain.lastStepTime(FLUSH_TIMEOUT, performance.now()));
      await socketsRead();
      if (this.#active.size === 0) return;
    }
  }

  #noteConnectionsClosed(): void {
    this.#components.log.info('connections closed', {
      open: this.#connections.size,
      unanswered: this.#responses.size,
      sinceLastRequestMs: Math.round(this.timeSinceLastRequest),
    });
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

  #arrivedWhileDraining({ arrivedAt }: ForwardedRequest): boolean {
    return (this.#components.drain.elapsed(arrivedAt) ?? -1) >= 0;
  }

  /** Resolves when each response has been written or its connection has closed. */
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
    for (const request of this.#active) request.check(now, this.#standstills);
    if (this.#active.size > 0) return;
    clearInterval(this.#timer);
    this.#timer = undefined;
  }

  /** Logs and counts a stall of this process, which delays timeouts, withdrawals and answers. */
  #noteStandstill(milliseconds: number): void {
    this.#stalledTime += milliseconds;
    this.#components.log.warn('stood still', {
      milliseconds: Math.round(milliseconds),
      inProgress: this.active,
    });
  }

  #onSettled(request: ForwardedRequest, outcome: RequestOutcome, milliseconds: number): void {
    this.#active.delete(request);
    if (!this.#arrivedWhileDraining(request)) this.#lingerStartedAt = performance.now();
    this.#counters[outcome] = (this.#counters[outcome] ?? 0) + 1;
    this.#latency.observe({ outcome }, milliseconds / 1_000);
    if (!this.#arrivedWhileDraining(request)) return;
    this.#drainMetrics.note(outcome, this.#components.drain.elapsed(request.arrivedAt) ?? 0);
  }
}

/**
 * Waits until the event loop has accepted the pending connections, of which there may be many after a stall of this process:
 * closing the server resets connections that it has not accepted.
 */
async function acceptPendingConnections(server: Server): Promise<void> {
  let accepted = 0;
  const count = () => accepted++;
  server.on('connection', count);
  for (let turns = 0, quietTurns = 0; turns < MAX_TURNS && quietTurns < QUIET_TURNS; turns++) {
    const before = accepted;
    const startedAt = performance.now();
    await new Promise((resolve) => setImmediate(resolve));
    const isQuiet = accepted === before && performance.now() - startedAt <= MAX_QUIET_TURN;
    quietTurns = isQuiet ? quietTurns + 1 : 0;
  }
  server.off('connection', count);
}
