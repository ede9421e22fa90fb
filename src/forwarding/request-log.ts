/** Writes the log lines of one request. */
import type { FleetView } from '../fleet/fleet-view.js';
import type { Log } from '../observability/log.js';
import type { DrainSchedule } from '../systems/drain-schedule.js';
import type { AttemptFailure } from './attempt.js';
import type { BackEndUse } from './back-end-use.js';
import type { CutAnswerMetrics } from './cut-answer-metrics.js';
import { errorResponseOf } from './forwarding-errors.js';
import type { RequestEnding } from './request-ending.js';

const INTERNAL_ERROR = 500;

export interface RequestLogComponents {
  log: Log;
  drain: DrainSchedule;
  fleet: FleetView;
  cutMetrics: CutAnswerMetrics;
}

/** The properties of a request that are logged. */
export interface LoggedRequest {
  id: string;
  arrivedAt: number;
  /** `host:port` of the caller's side of its connection. */
  connection: string;
  service(): string;
  /** Whether the caller has received a part of the answer. */
  hasPart(): boolean;
}

interface FailedAttempt {
  backEnd: string;
  type: AttemptFailure['type'];
  reason: string;
  /** Time since the back end last sent a part of the answer, in milliseconds. */
  silentMs: number;
}

/** Additional fields of the log line for a cut answer. */
export interface CutContext {
  sends: number;
  /** Excluded back ends by reason. */
  excluded: object;
}

export class RequestLog {
  readonly #components: RequestLogComponents;
  readonly #request: LoggedRequest;
  #latestFailure: FailedAttempt | undefined;

  constructor(components: RequestLogComponents, request: LoggedRequest) {
    this.#components = components;
    this.#request = request;
  }

  /** Age of the request in milliseconds. */
  get age(): number {
    return Math.round(performance.now() - this.#request.arrivedAt);
  }

  note(message: string, fields: object): void {
    const { drain, log } = this.#components;
    const { id, service } = this.#request;
    const sinceStop = drain.elapsed(performance.now());
    const ofStop = sinceStop === undefined ? {} : { sinceStopMs: Math.round(sinceStop) };
    log.info(message, { request: id, service: service(), ...ofStop, ...fields });
  }

  noteAbandoned(cause: unknown): void {
    const text = String((cause as Error)?.stack ?? cause);
    const { id, connection } = this.#request;
    this.#components.log.error('request abandoned', { request: id, connection, cause: text });
  }

  /** The caller gets the whole answer of a back end. */
  noteAnswered(
    { row, answer, firstAnswerAfter }: BackEndUse,
    took: number,
    version: number | undefined,
  ): void {
    const { status } = answer;
    const isFailure = status >= INTERNAL_ERROR;
    this.#noteEnd(isFailure ? 'failure passed on' : 'served', {
      backEnd: row.record.id,
      ...(isFailure ? { status } : {}),
      tookMs: Math.round(took),
      firstMs: firstAnswerAfter,
      version,
    });
  }

  noteFailure({ row, attempt, progressAt }: BackEndUse, failure: AttemptFailure): void {
    const backEnd = row.record.id;
    const silentMs = Math.round(performance.now() - progressAt);
    const reason = failure.type === 'refused' ? `status ${failure.status}` : failure.reason;
    this.#latestFailure = { backEnd, type: failure.type, reason, silentMs };
    const hasPart = this.#request.hasPart();
    const { localPort, requests: requestsOnConnection } = attempt.connection ?? {};
    this.note('attempt failed', {
      backEnd,
      ...failure,
      localPort,
      requestsOnConnection,
      silentMs,
      hasPart,
      ageMs: this.age,
    });
  }

  /**
   * An answer has begun on a version that had expired.
   * @param answer - the version, the time since its expiry in milliseconds, and the number of the send
   */
  noteExpiredVersion(
    { row, attempt }: BackEndUse,
    { version, timeSinceExpiry, send }: { version: number; timeSinceExpiry: number; send: number },
  ): void {
    this.note('began on an expired version', {
      backEnd: row.record.id,
      version,
      expiredMs: Math.round(timeSinceExpiry),
      send,
      sentMsAgo: Math.round(performance.now() - attempt.startedAt),
    });
  }

  /**
   * @param use - the first attempt that is open
   * @param routeName - the route of the request; undefined if none matched
   */
  noteEnding(ending: RequestEnding, use: BackEndUse | undefined, routeName: string | undefined): void {
    if (ending.type === 'left')
      return this.#noteEnd('caller left', { backEnd: use?.row.record.id, ageMs: this.age });
    if (ending.type !== 'failed') return;
    const { status } = errorResponseOf(ending.error);
    const route = ending.routeName ?? routeName;
    this.#noteEnd('ended', { status, ...ending.error, ageMs: this.age, route });
  }

  noteCut(
    { reason }: RequestEnding & { type: 'cut' },
    use: BackEndUse | undefined,
    context: CutContext,
  ): void {
    const { fleet, cutMetrics } = this.#components;
    const now = performance.now();
    const open =
      use === undefined ? {} : { backEnd: use.row.record.id, silentMs: Math.round(now - use.progressAt) };
    // With an open attempt no earlier failure is the cause.
    const cause = use === undefined ? (this.#latestFailure?.reason ?? reason) : reason;
    cutMetrics.note(cause);
    this.#noteEnd('answer cut', {
      reason,
      ...open,
      latestFailure: this.#latestFailure,
      ...context,
      configuration: fleet.configurationRevision,
      configurationAgeMs: Math.round(now - fleet.configurationAppliedAt),
      ageMs: this.age,
    });
  }

  /** Writes the line that tells how the request ended. */
  #noteEnd(message: string, fields: object): void {
    this.note(message, { connection: this.#request.connection, ...fields });
  }
}
