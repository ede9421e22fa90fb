/** Pauses and failures of a stand-in worker in the middle of its answers: a worker that pauses is sound, and goes on. */
import type { Random } from '../../../src/model/random.js';

/** Range of a pause of one answer, in milliseconds. */
const SHORTEST_PAUSE = 700;
const LONGEST_PAUSE = 1_500;
/** Time between two looks of a pausing answer at its caller, in milliseconds. */
const LOOK_INTERVAL = 10;

/** How a worker meets a stream that goes on after an event. */
export type Continuation = 'serves' | 'refuses' | 'breaksOff';

/** What a worker does to its answers besides writing them. */
export class Stalls {
  /** Pauses in a hundred events, or parts of an answer. */
  eventsInHundred = 0;
  /** Pauses in a hundred answers before anything of them comes. */
  startsInHundred = 0;
  /** How it meets streams that go on, and in how many of a hundred cases. */
  continuation: Continuation = 'serves';
  continuationsInHundred = 0;
  #random: Random | undefined;
  /** Until when all its answers stand still, in milliseconds of the steady clock. */
  #standsUntil = 0;

  /** Draws from `random` from now on. */
  drawFrom(random: Random): void {
    this.#random = random;
  }

  standStill(milliseconds: number): void {
    this.#standsUntil = Math.max(this.#standsUntil, performance.now() + milliseconds);
  }

  heal(): void {
    this.eventsInHundred = 0;
    this.startsInHundred = 0;
    this.continuation = 'serves';
    this.#standsUntil = 0;
  }

  /** How the next stream that goes on is met. */
  meetContinuation(): Continuation {
    return this.#happens(this.continuationsInHundred) ? this.continuation : 'serves';
  }

  beforeStart(isGone: () => boolean): Promise<void> {
    return this.#pause(this.startsInHundred, isGone);
  }

  beforePart(isGone: () => boolean): Promise<void> {
    return this.#pause(this.eventsInHundred, isGone);
  }

  /** Pauses in some of a hundred cases, and while the worker stands still; ends at once where the caller has gone. */
  async #pause(inHundred: number, isGone: () => boolean): Promise<void> {
    const pauses = this.#happens(inHundred);
    if (!pauses && performance.now() >= this.#standsUntil) return;
    const range = LONGEST_PAUSE - SHORTEST_PAUSE;
    const until = pauses ? performance.now() + SHORTEST_PAUSE + this.#random!.below(range) : 0;
    while (performance.now() < Math.max(until, this.#standsUntil) && !isGone())
      await new Promise((resolve) => setTimeout(resolve, LOOK_INTERVAL));
  }

  #happens(inHundred: number): boolean {
    return inHundred > 0 && this.#random !== undefined && this.#random.below(100) < inHundred;
  }
}
