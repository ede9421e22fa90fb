/**
 * Whether one request can still end before its process does: by the time that requests of its route and size took lately,
 * or else by all the time that it has. Before an order to stop everything can. Times are in milliseconds.
 */
import type { DrainSchedule } from '../systems/drain-schedule.js';
import type { LongestDurations } from '../systems/longest-durations.js';
import type { Attempt } from './attempt.js';

/** What it goes by. */
export interface TimeToEndComponents {
  /** Of the stop of this process. */
  drain: DrainSchedule;
  /** Of the requests of this process, by the names of their routes. */
  durations: LongestDurations;
}

/** The time of one request before the stop of its process. */
export class TimeToEnd {
  readonly #components: TimeToEndComponents;
  readonly #route: string;
  readonly #answerTokens: number;
  readonly #endsAt: number;

  /**
   * @param answerTokens - tokens that the answer may have; 0 where that is not known
   * @param endsAt - until when the request must have its final answer, in time of the steady clock
   */
  constructor(components: TimeToEndComponents, route: string, answerTokens: number, endsAt: number) {
    this.#components = components;
    this.#route = route;
    this.#answerTokens = answerTokens;
    this.#endsAt = endsAt;
  }

  /** Whether the answer can be whole before the process ends, if the request is sent `wait` after `now`. */
  suffices(now: number, wait = 0): boolean {
    const { drain, durations } = this.#components;
    if (!drain.isUnderWay) return true;
    const sentAt = now + wait;
    const timeLeft = this.#endsAt - sentAt;
    const expected = durations.expected(this.#route, this.#answerTokens, timeLeft, now) ?? timeLeft;
    return drain.canComplete(sentAt, Math.min(timeLeft, expected));
  }

  /** An attempt is sent. */
  noteSent({ startedAt }: Attempt): void {
    this.#components.durations.noteSent(this.#route, this.#answerTokens, startedAt);
  }

  /** While requests are taken only if they can end, those in progress tell how slow back ends have become. */
  noteProgress(attempt: Attempt, now: number): void {
    if (this.#components.drain.isUnderWay) this.#noteAge(attempt, now);
  }

  /** An attempt has ended; one without a whole answer would have taken longer than it has. */
  noteEnded(attempt: Attempt, isWhole: boolean, now: number): void {
    if (!isWhole) return this.#noteAge(attempt, now);
    const took = now - attempt.startedAt;
    this.#components.durations.noteEnded(this.#route, this.#answerTokens, took, now);
  }

  #noteAge({ sent, startedAt }: Attempt, now: number): void {
    if (sent) this.#components.durations.noteAge(this.#route, this.#answerTokens, now - startedAt, now);
  }
}
