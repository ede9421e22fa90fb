/** Periodic checks of the attempts of one request: withdraws or fails those that must end, and detects silent back ends. */
import type { StallDetector } from '../model/stall-detector.js';
import type { AdmittedRequest } from './admitted-request.js';
import type { BackEndOutcome } from './back-end-health.js';
import type { BackEndSelector } from './back-end-selector.js';
import type { BackEndRow, BackEndTable } from './back-end-table.js';
import type { BackEndUse } from './back-end-use.js';
import { healthOutcomeAtTimeout } from './request-outcome.js';
import { type Silence, silenceOf } from './silence.js';
import type { VersionExpiryFigures } from './version-expiry-figures.js';

/** Timeout for opening a new connection, in milliseconds. */
const CONNECT_TIMEOUT = 400;

export interface AttemptWatchComponents {
  backEnds: BackEndTable;
  selector: BackEndSelector;
  expiryFigures: Pick<VersionExpiryFigures, 'withdrawn'>;
}

/** The current state of the watched request. */
export interface WatchedRequest {
  readonly admitted: Pick<AdmittedRequest, 'route' | 'service'>;
  /** Whether the caller has received a part of the answer. */
  hasPart(): boolean;
  /** Whether the caller is not reading, so that writes to it would be buffered. */
  isCallerBlocked(): boolean;
  /** Whether the request may be sent to one more back end. */
  maySendAgain(): boolean;
  /** Called when the connection of an attempt at `row` is suspected to be silent. */
  onSilentConnection(row: BackEndRow): void;
  /** Called with each line to log. */
  onNote(message: string, fields: object): void;
}

/** Checks the attempts of one request. */
export class AttemptWatch {
  readonly #components: AttemptWatchComponents;
  readonly #request: WatchedRequest;

  constructor(components: AttemptWatchComponents, request: WatchedRequest) {
    this.#components = components;
    this.#request = request;
  }

  /** Checks one attempt: ends it if it must not continue, and records it if it is silent. */
  check(use: BackEndUse, now: number, standstills: StallDetector): void {
    // Checked first: otherwise an attempt that cannot be sent again could begin on an expired version.
    if (this.#mustNotBegin(use, now)) return this.#withdraw(use);
    const { attempt } = use;
    if (!attempt.sent) {
      if (standstills.runningTime(attempt.startedAt, now) > CONNECT_TIMEOUT)
        attempt.fail('no connection in time');
      return;
    }
    if (use.hasBegun && this.#request.isCallerBlocked()) return use.noteBackPressure(now);
    const silence = this.#silence(use, now, standstills);
    if (silence === 'connection') use.suspectIdleConnections(this.#components.backEnds);
    if (silence === 'none' || use.isSilent || !this.#request.maySendAgain()) return;
    this.#noteSilence(use, silence, now, standstills);
  }

  #withdraw({ attempt }: BackEndUse): void {
    this.#components.expiryFigures.withdrawn++;
    attempt.withdraw('version expires');
  }

  /** Called at the timeout of the request: records a back end that has not answered at all as silent. */
  noteTimeout(use: BackEndUse): void {
    const { backEnds } = this.#components;
    if (use.attempt.isOnSilentConnection) use.suspectIdleConnections(backEnds);
    const outcome = healthOutcomeAtTimeout(use);
    if (outcome !== undefined) this.#noteHealth(use.row, outcome, performance.now());
  }

  /** True if the answer has not begun and the version at the back end is about to expire. */
  #mustNotBegin({ row, assumedEngine, hasBegun }: BackEndUse, now: number): boolean {
    return !hasBegun && this.#components.selector.versions.mustWithdraw(row, assumedEngine, now);
  }

  /** Classifies the silence of an attempt, not counting time in which this process was not running. */
  #silence(use: BackEndUse, now: number, standstills: StallDetector): Silence {
    const { row, attempt, progressAt, isOvertaken } = use;
    const awaited = {
      route: this.#request.admitted.route,
      sentAt: attempt.startedAt,
      progressAt: now - standstills.runningTime(progressAt, now),
      isStreaming: this.#request.hasPart(),
      isOnSilentConnection: attempt.isOnSilentConnection,
      isOvertaken,
      backEndProgressAt: now - standstills.runningTime(row.progressAt, now),
      usualFirstAnswer: row.firstAnswerTime,
    };
    return silenceOf(awaited, now);
  }

  /** Records a silent attempt without ending it, as its back end may only be pausing. */
  #noteSilence(
    use: BackEndUse,
    silence: Exclude<Silence, 'none'>,
    now: number,
    standstills: StallDetector,
  ): void {
    const { row, progressAt } = use;
    const { backEnds } = this.#components;
    const silentFor = now - progressAt;
    this.#request.onNote('back end silent', {
      backEnd: row.record.id,
      silence,
      silentMs: Math.round(silentFor),
      stoodStillMs: Math.round(silentFor - standstills.runningTime(progressAt, now)),
      hasPart: this.#request.hasPart(),
    });
    const isFirstSilence = !use.hasBeenSilent;
    use.noteSilence();
    if (silence === 'backEnd') {
      // A back end that pauses several times in one answer counts as silent once.
      if (isFirstSilence) this.#noteHealth(row, 'silent', now);
      return;
    }
    use.suspectIdleConnections(backEnds);
    if (silence === 'backEndOrConnection') this.#noteHealth(row, 'silentConnection', now);
    this.#request.onSilentConnection(row);
  }

  #noteHealth({ health }: BackEndRow, outcome: BackEndOutcome, now: number): void {
    const { backEnds } = this.#components;
    health.note(outcome, now, backEnds.usualFailureShare(this.#request.admitted.service));
  }
}
