/** Pauses and failures of a stand-in worker while it responds. A worker that pauses is healthy and resumes. */
import type { Random } from '../../../src/model/random.js';

/** Range of the length of one pause, in milliseconds. */
const MIN_PAUSE = 700;
const MAX_PAUSE = 1_500;
/** Interval at which a paused response checks whether its caller has left, in milliseconds. */
const POLL_INTERVAL = 10;

/** How a worker handles a request to continue a stream after an event. */
export type Continuation = 'serves' | 'refuses' | 'breaksOff';

/** Faults of one worker's responses. */
export class Stalls {
  /** Percentage of events, or other parts of a response, that are preceded by a pause. */
  eventPausePercent = 0;
  /** Percentage of responses that are preceded by a pause. */
  startPausePercent = 0;
  /** How continued streams are handled, in `continuationPercent` of cases; the others are served. */
  continuation: Continuation = 'serves';
  continuationPercent = 0;
  #random: Random | undefined;
  /** Until when all responses are suspended, in milliseconds of the monotonic clock. */
  #suspendedUntil = 0;

  /** Sets the source of random numbers. */
  drawFrom(random: Random): void {
    this.#random = random;
  }

  suspend(milliseconds: number): void {
    this.#suspendedUntil = Math.max(this.#suspendedUntil, performance.now() + milliseconds);
  }

  clear(): void {
    this.eventPausePercent = 0;
    this.startPausePercent = 0;
    this.continuation = 'serves';
    this.#suspendedUntil = 0;
  }

  /** Draws how the next continued stream is handled. */
  drawContinuation(): Continuation {
    return this.#drawsTrue(this.continuationPercent) ? this.continuation : 'serves';
  }

  beforeStart(isGone: () => boolean): Promise<void> {
    return this.#pause(this.startPausePercent, isGone);
  }

  beforePart(isGone: () => boolean): Promise<void> {
    return this.#pause(this.eventPausePercent, isGone);
  }

  /** Pauses with a probability of `percent`, and while the worker is suspended; returns early once the caller has left. */
  async #pause(percent: number, isGone: () => boolean): Promise<void> {
    const pauses = this.#drawsTrue(percent);
    if (!pauses && performance.now() >= this.#suspendedUntil) return;
    const range = MAX_PAUSE - MIN_PAUSE;
    const until = pauses ? performance.now() + MIN_PAUSE + this.#random!.below(range) : 0;
    while (performance.now() < Math.max(until, this.#suspendedUntil) && !isGone())
      await new Promise((resolve) => setTimeout(resolve, POLL_INTERVAL));
  }

  #drawsTrue(percent: number): boolean {
    return percent > 0 && this.#random !== undefined && this.#random.below(100) < percent;
  }
}
