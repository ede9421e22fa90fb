/**
 * Reads what back ends state about themselves in the headers of their answers: a rate limit, a back-off time, and that they
 * are leaving.
 */
import type { FleetView } from '../fleet/fleet-view.js';
import type { BackEndIdentity } from '../model/back-end-identity.js';
import type { Log } from '../observability/log.js';
import type { Metrics } from '../observability/metrics.js';
import type { AnswerSummary } from './attempt.js';
import type { BackEndBackoffs } from './back-end-backoffs.js';
import type { BackEndLimits } from './back-end-limits.js';
import type { BackEndUse } from './back-end-use.js';
import { type HeaderNames, RETRY_AFTER } from './header-names.js';
import { readRateLimit } from './rate-limit-notice.js';
import { readRetryAfter } from './retry-after-notice.js';

const FIRST_SERVER_ERROR = 500;
const SERVICE_UNAVAILABLE = 503;
/** Value of the header by which a back end states that it is leaving. */
const LEAVING = '1';

export interface AnswerNoticesOptions {
  names: HeaderNames;
  fleet: Pick<FleetView, 'applyLeaving'>;
  limits: BackEndLimits;
  backoffs: BackEndBackoffs;
  log: Log;
  metrics: Metrics;
}

/** Handles the notices in the answers to this process. */
export class AnswerNotices {
  readonly #options: AnswerNoticesOptions;
  #leavingAnswers = 0;

  constructor(options: AnswerNoticesOptions) {
    this.#options = options;
    options.metrics.add([
      {
        name: 'answers_of_leaving_back_ends',
        help: 'Answers since the start by which back ends stated that they are leaving',
        read: () => this.#leavingAnswers,
      },
    ]);
  }

  /** Handles the notices of one answer, which may be a refusal. */
  apply(use: BackEndUse, answer: AnswerSummary): void {
    const now = performance.now();
    this.#applyRateLimit(use, answer, now);
    this.#applyBackoff(use, answer, now);
    if (isLeaving(answer.headers[this.#options.names.leaving])) this.#noteLeaving(use.row.record);
  }

  #applyRateLimit({ row, attempt, claim }: BackEndUse, answer: AnswerSummary, now: number): void {
    const { limits, names } = this.#options;
    const notice = readRateLimit(answer.headers[names.rateLimit]);
    const mayLift = !answer.isRefusal && answer.status < FIRST_SERVER_ERROR;
    limits.noteAnswer({ backEnd: row.record, notice, sentAt: attempt.startedAt, mayLift }, now);
    if (notice.type === 'named') claim?.noteAnswer(notice.rate);
    else if (notice.type === 'absent' && mayLift) claim?.noteAnswer(undefined);
  }

  #applyBackoff({ row, attempt }: BackEndUse, { status, headers }: AnswerSummary, now: number): void {
    const header = status === SERVICE_UNAVAILABLE ? headers[RETRY_AFTER] : undefined;
    this.#options.backoffs.noteAnswer(row.record, readRetryAfter(header), attempt.startedAt, now);
  }

  #noteLeaving(backEnd: BackEndIdentity): void {
    this.#leavingAnswers++;
    if (!this.#options.fleet.applyLeaving(backEnd)) return;
    const { id, start } = backEnd;
    this.#options.log.info('back end states that it is leaving', { backEnd: id, start });
  }
}

/** A repeated header counts if any of its values does. */
function isLeaving(value: string | string[] | undefined): boolean {
  return [value].flat().some((one) => one?.trim() === LEAVING);
}
