/**
 * Estimates whether one request can complete before its process exits. The estimate is the duration of recent requests of
 * its route and size or, if too few are known, all the time up to its deadline. Before the order to stop every request can.
 * Times are in milliseconds.
 */
import type { DrainSchedule } from '../systems/drain-schedule.js';
import type { LongestDurations } from '../systems/longest-durations.js';
import type { Attempt } from './attempt.js';

export interface CompletionEstimateComponents {
  /** Schedule of the stop of this process. */
  drain: DrainSchedule;
  /** Durations of requests of this process, by route name. */
  durations: LongestDurations;
}

export class CompletionEstimate {
  readonly #components: CompletionEstimateComponents;
  readonly #route: string;
  readonly #answerTokens: number;
  readonly #deadline: number;

  /**
   * @param answerTokens - maximum number of tokens of the answer; 0 if unknown
   * @param deadline - time by which the request must have its final answer, on the monotonic clock
   */
  constructor(
    components: CompletionEstimateComponents,
    route: string,
    answerTokens: number,
    deadline: number,
  ) {
    this.#components = components;
    this.#route = route;
    this.#answerTokens = answerTokens;
    this.#deadline = deadline;
  }

  /** Whether the answer can be complete before the process exits, if the request is sent `wait` after `now`. */
  canComplete(now: number, wait = 0): boolean {
    const { drain, durations } = this.#components;
    if (!drain.isUnderWay) return true;
    const sentAt = now + wait;
    const timeLeft = this.#deadline - sentAt;
    const expected = durations.expected(this.#route, this.#answerTokens, timeLeft, now) ?? timeLeft;
    return drain.canComplete(sentAt, Math.min(timeLeft, expected));
  }

  /** Records that an attempt is sent. */
  noteSent({ startedAt }: Attempt): void {
    this.#components.durations.noteSent(this.#route, this.#answerTokens, startedAt);
  }

  /** During the stop, records the age of an open attempt, so that estimates follow back ends that have become slower. */
  noteProgress(attempt: Attempt, now: number): void {
    if (this.#components.drain.isUnderWay) this.#noteAge(attempt, now);
  }

  /** Records that an attempt has ended. Without a complete answer its duration is only a lower bound. */
  noteEnded(attempt: Attempt, isComplete: boolean, now: number): void {
    if (!isComplete) return this.#noteAge(attempt, now);
    const took = now - attempt.startedAt;
    this.#components.durations.noteEnded(this.#route, this.#answerTokens, took, now);
  }

  #noteAge({ sent, startedAt }: Attempt, now: number): void {
    if (sent) this.#components.durations.noteAge(this.#route, this.#answerTokens, now - startedAt, now);
  }
}
