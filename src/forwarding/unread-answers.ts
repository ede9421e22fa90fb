/**
 * Tracks the answers of which callers have not read everything yet. They stay open until they have been read or their callers
 * no longer wait, also after the back end has sent the whole answer.
 */
import type { ServerResponse } from 'node:http';
import type { Log } from '../observability/log.js';
import type { Metrics } from '../observability/metrics.js';
import { dropAnswer } from '../server/dropped-answer.js';
import { type CallerPatience, UnreadBudget } from '../systems/unread-budget.js';

/** Interval at which progress of the callers is checked, in milliseconds. */
const CHECK_INTERVAL = 250;

/** The unread answers of one entry. */
export class UnreadAnswers {
  readonly #budget = new UnreadBudget<ServerResponse>();
  readonly #log: Log;
  readonly #counts = { paused: 0, ended: 0 };
  #timer: NodeJS.Timeout | undefined;

  constructor(log: Log, metrics: Metrics) {
    this.#log = log;
    metrics.add([
      {
        name: 'unread_answer_bytes',
        help: 'Bytes of answers held for callers that have not read them yet',
        read: () => this.#budget.held,
      },
      {
        name: 'unread_answers',
        help: 'Answers of which a part is held for a caller that has not read it yet',
        read: () => this.#budget.size,
      },
      {
        name: 'unread_answers_limited',
        help: 'Answers since the start whose back end was paused as too much was unread, and those ended as their callers read nothing',
        label: 'kind',
        read: () => ({ ...this.#counts }),
      },
    ]);
  }

  /** Records that a part of the answer in `response` is unread; returns whether more of it may be held. */
  hold(response: ServerResponse, caller: CallerPatience): boolean {
    if (this.#budget.size === 0) this.#beginChecks();
    const taken = this.#budget.has(response) ? undefined : takenOf(response);
    const mayHold = this.#budget.note(response, unreadOf(response), taken, caller, performance.now());
    if (!mayHold) this.#counts.paused++;
    return mayHold;
  }

  stop(): void {
    clearInterval(this.#timer);
    this.#timer = undefined;
  }

  #beginChecks(): void {
    this.stop();
    this.#timer = setInterval(() => this.#check(performance.now()), CHECK_INTERVAL);
    this.#timer.unref();
  }

  #check(now: number): void {
    for (const response of this.#budget.answers()) this.#checkAnswer(response, now);
    if (this.#budget.size === 0) this.stop();
  }

  #checkAnswer(response: ServerResponse, now: number): void {
    const unread = unreadOf(response);
    if (response.destroyed || response.writableFinished || unread === 0) return this.#budget.forget(response);
    if (!this.#budget.hasExpired(response, unread, takenOf(response), now)) return;
    this.#counts.ended++;
    const unreadMs = Math.round(this.#budget.unreadFor(response, now));
    this.#log.info('answer ended unread', { bytes: unread, unreadMs, isComplete: response.writableEnded });
    this.#budget.forget(response);
    dropAnswer(response);
  }
}

/** Bytes of the answer that the connection has not taken yet. */
function unreadOf(response: ServerResponse): number {
  return response.writableLength;
}

/**
 * Bytes that the connection has taken since it was opened. The socket sums all that it has queued to tell them, so this is not
 * called for each part.
 */
function takenOf({ socket, writableLength }: ServerResponse): number {
  return (socket?.bytesWritten ?? 0) - writableLength;
}
