/** How often one request may be sent, to which back ends, and which of its sends count as repetitions. */
import { BackEndSet } from '../fleet/back-end-identity.js';
import type { RetryWindow } from '../systems/retry-window.js';
import type { AdmittedRequest } from './admitted-request.js';
import type { BackEndSelector, Requirements } from './back-end-selector.js';
import type { BackEndRow } from './back-end-table.js';
import type { CallerAnswer } from './caller-answer.js';
import type { OpenAttempts } from './open-attempts.js';
import type { SuspectContent } from './suspect-content.js';

/** Repeatable requests are sent at most this often, whatever a route allows. */
const MOST_SENDS = 4;
/** Bounds the sends of a request whose caller has a part of the answer: refusals must not end it. */
const MOST_SENDS_TO_RESUME = 8;

/** The request that is sent. */
export interface SendPolicyOptions {
  admitted: AdmittedRequest;
  /** The body is passed on as it comes and cannot be sent twice. */
  isBodyStreamed: () => boolean;
  content: Pick<SuspectContent, 'mayRunAgain'>;
  attempts: Pick<OpenAttempts, 'runs'>;
  answer: Pick<CallerAnswer, 'started' | 'isEventStream'>;
  selector: BackEndSelector;
  /** The repetitions of its service. */
  budget: RetryWindow;
}

/** The sends of one request. */
export class SendPolicy {
  readonly #options: SendPolicyOptions;
  readonly #tried = new BackEndSet();
  /** Back ends that may take it again over another connection. */
  readonly #onSilentConnections = new Set<BackEndRow>();
  #sends = 0;
  #isRepetition = false;
  /** Version of the weights that began the answer; undefined before, and where none is told. */
  version: number | undefined;

  constructor(options: SendPolicyOptions) {
    this.#options = options;
  }

  get sends(): number {
    return this.#sends;
  }

  /** True once it has been sent as often as any request may be. */
  get isExhausted(): boolean {
    return this.#sends >= (this.#options.answer.started ? MOST_SENDS_TO_RESUME : MOST_SENDS);
  }

  /** What it needs of a back end. */
  requirements(): Requirements {
    const { admitted, answer } = this.#options;
    const { service, table, route, timing, answerTokens } = admitted;
    return {
      service,
      engine: table.service(service)?.engine,
      isRepeatable: route.repeatability !== 'never',
      // The queues of back ends are for those that can be in time: one that comes again waits here for a free slot.
      mayQueue: this.#sends > 0 || !timing.isLastChance,
      answerTokens,
      isContinuation: answer.started,
      version: answer.started ? this.version : undefined,
      tried: this.#tried,
    };
  }

  /** It is sent to `row`. */
  noteSent({ record }: BackEndRow): void {
    this.#tried.add(record);
    this.#sends++;
  }

  /** It has reached a back end, or may have: each further send is a repetition. */
  noteRepetition(): void {
    this.#isRepetition = true;
  }

  /** A back end that refused it, or was not reached, may take it later. */
  allowLater({ record }: BackEndRow): void {
    this.#tried.delete(record);
  }

  /** Nothing comes on the connection of an attempt at `row`, while others may be answered there. */
  noteSilentConnection(row: BackEndRow): void {
    this.#onSilentConnections.add(row);
  }

  /** Back ends whose connections are silent may take the request over others where no other back end can. */
  allowOtherConnections(): void {
    if (this.#onSilentConnections.size === 0) return;
    const { selector } = this.#options;
    const requirements = this.requirements();
    const isOther =
      selector.slotCandidates(requirements).length > 0 || selector.select(requirements) !== undefined;
    if (isOther) return;
    for (const { record } of this.#onSilentConnections) this.#tried.delete(record);
    this.#onSilentConnections.clear();
  }

  /** Whether the budget allows the next send now; it is paid only as the request goes out, which may be later. */
  get isAllowedByBudget(): boolean {
    return !this.#isRepetition || this.#mayRepeat();
  }

  /** Pays for the next send where it is a repetition; false where the budget has none. */
  pay(): boolean {
    return !this.#isRepetition || this.#options.budget.spend(performance.now());
  }

  /** Whether one more back end may run the request now. */
  get maySendAgain(): boolean {
    return this.mayRunAgain && this.#mayRepeat();
  }

  /** Whether one more back end may run the request, if the budget has a repetition. */
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
