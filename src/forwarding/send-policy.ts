/** Decides how often one request may be sent, to which back ends, and which of its sends count against the retry budget. */
import { BackEndSet } from '../fleet/back-end-identity.js';
import type { RetryWindow } from '../systems/retry-window.js';
import type { AdmittedRequest } from './admitted-request.js';
import { type AttemptFailure, mayHaveReachedBackEnd } from './attempt.js';
import type { Requirements } from './back-end-eligibility.js';
import type { BackEndSelector } from './back-end-selector.js';
import { type BackEndRow, isInSwitch } from './back-end-table.js';
import type { CallerAnswer } from './caller-answer.js';
import type { OpenAttempts } from './open-attempts.js';
import type { SuspectContent } from './suspect-content.js';

/** Maximum number of sends of a request whose answer has not begun, whatever its route allows. */
const MAX_SENDS = 4;
/** The same once the answer has begun; higher, because a few refusals must not cut the answer. */
const MAX_SENDS_TO_RESUME = 8;

export interface SendPolicyOptions {
  admitted: AdmittedRequest;
  /** Whether the body is streamed without being buffered, and so cannot be sent twice. */
  isBodyStreamed: () => boolean;
  content: Pick<SuspectContent, 'mayRunAgain'>;
  attempts: Pick<OpenAttempts, 'runs' | 'size'>;
  answer: Pick<CallerAnswer, 'started' | 'isEventStream'>;
  selector: BackEndSelector;
  /** Retry budget of the service. */
  budget: RetryWindow;
}

/** The sends of one request. */
export class SendPolicy {
  readonly #options: SendPolicyOptions;
  readonly #tried = new BackEndSet();
  /** Back ends at which only the connection is suspected to be silent; they may get the request over another one. */
  readonly #onSilentConnections = new Set<BackEndRow>();
  #sends = 0;
  #isRepetition = false;
  /** Version of the weights with which the answer began; undefined before that, or if the back end did not name it. */
  version: number | undefined;

  constructor(options: SendPolicyOptions) {
    this.#options = options;
  }

  get sends(): number {
    return this.#sends;
  }

  /** True once the limit of sends is reached. */
  get isExhausted(): boolean {
    return this.#sends >= (this.#options.answer.started ? MAX_SENDS_TO_RESUME : MAX_SENDS);
  }

  /**
   * What a back end must fulfil to get the next send.
   * @param isLastResort - whether the request would be refused otherwise
   */
  requirements(isLastResort = false): Requirements {
    const { admitted, answer } = this.#options;
    const { service, table, route, regions, timing, answerTokens } = admitted;
    return {
      service,
      engine: table.service(service)?.engine,
      regions: regions.allowed,
      isRepeatable: route.repeatability !== 'never',
      // Queues of back ends are for requests that can meet their objective: a late one waits here for a free slot.
      mayQueue: this.#sends > 0 || !route.isStream || !timing.isPastObjective(performance.now()),
      answerTokens,
      isContinuation: answer.started,
      version: answer.started ? this.version : undefined,
      tried: this.#tried,
      isLastResort,
    };
  }

  /**
   * Whether an attempt at `row` may go out now that a connection is open for it.
   * @param mustSend - whether it goes out even if the back end has asked for no more requests; it never does to an engine that
   * may hold weights which are not proven
   */
  mayGoOut(row: BackEndRow, mustSend: boolean): boolean {
    const { admitted, selector } = this.#options;
    if (isInSwitch(row)) return false;
    if (!selector.isInRegions(row, admitted.regions.allowed)) return false;
    return mustSend || !selector.isUnavailable(row, performance.now());
  }

  /** Records a send to `row`. */
  noteSent({ record }: BackEndRow): void {
    this.#tried.add(record);
    this.#sends++;
  }

  /** The request has reached a back end, or may have: each further send counts as a retry. */
  noteRepetition(): void {
    this.#isRepetition = true;
  }

  /** An attempt at `row` has failed: allows another send there if that is of use, and counts further sends as retries. */
  noteFailure(row: BackEndRow, failure: AttemptFailure): void {
    if (this.#mayResend(row, failure)) this.#tried.delete(row.record);
    if (mayHaveReachedBackEnd(failure)) this.noteRepetition();
  }

  /** Whether a back end that has not run the request may get it again. */
  #mayResend(row: BackEndRow, failure: AttemptFailure): boolean {
    if (failure.type === 'withdrawn') return !failure.wentOut;
    if (failure.type !== 'refused' && failure.type !== 'notSent') return false;
    const { answer, attempts, selector } = this.#options;
    if (answer.started || attempts.size > 0) return true;
    // Until its back-off has ended, only requests that no other back end can take go there.
    return failure.type === 'refused' && selector.isUnavailable(row, performance.now());
  }

  /** Nothing arrives on the connection of an attempt at `row`, though the back end may answer on other connections. */
  noteSilentConnection(row: BackEndRow): void {
    this.#onSilentConnections.add(row);
  }

  /** Allows sends over another connection to back ends with a silent connection, if no other back end is available. */
  allowOtherConnections(): void {
    if (this.#onSilentConnections.size === 0) return;
    const { selector } = this.#options;
    const requirements = this.requirements();
    const hasOther =
      selector.slotCandidates(requirements).length > 0 || selector.select(requirements) !== undefined;
    if (hasOther) return;
    for (const { record } of this.#onSilentConnections) this.#tried.delete(record);
    this.#onSilentConnections.clear();
  }

  /** Whether the budget allows the next send now; `chargeBudget` charges it when the request is sent, which may be later. */
  get isAllowedByBudget(): boolean {
    return !this.#isRepetition || this.#mayRepeat();
  }

  /** Charges the budget for the next send if it is a retry; returns false if the budget is used up. */
  chargeBudget(): boolean {
    return !this.#isRepetition || this.#options.budget.spend(performance.now());
  }

  /** Whether one more back end may run the request now. */
  get maySendAgain(): boolean {
    return this.mayRunAgain && this.#mayRepeat();
  }

  /** Whether one more back end may run the request, not considering the budget. */
  get mayRunAgain(): boolean {
    const { admitted, isBodyStreamed, content, attempts, answer } = this.#options;
    const { repeatability, maxAttempts } = admitted.route;
    if (repeatability === 'never' || isBodyStreamed()) return false;
    if (attempts.runs >= maxAttempts || this.isExhausted || !content.mayRunAgain) return false;
    if (!answer.started) return true;
    return repeatability === 'resumable' && answer.isEventStream;
  }

  #mayRepeat(): boolean {
    return this.#options.budget.allows(performance.now());
  }
}
