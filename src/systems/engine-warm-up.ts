/**
 * Decides at an agent whether its engine is cold: for the declared time from each of its starts. Times are in milliseconds of the
 * monotonic clock.
 */
import type { BackEndIdentity } from '../model/back-end-identity.js';
import type { WarmUp } from '../model/warm-up.js';
import type { ColdEngine } from './slot-queue.js';

/**
 * The engine of one agent. An agent that has just started cannot tell for how long its engine has been running, and takes it for
 * one that has just started too. So it does with one that did not answer for some time and does not name its start.
 */
export class EngineWarmUp {
  #declared: WarmUp | undefined;
  #start: BackEndIdentity['start'];
  #isReached = false;
  /** When the current start was first seen. */
  #startedAt = Number.NEGATIVE_INFINITY;

  /** @param warmUp - what the engine's service declares, at a rate of 0 for nothing; undefined if that is not known */
  declare(warmUp: WarmUp | undefined): void {
    this.#declared = warmUp ?? this.#declared;
  }

  /** Applies an observation. @param engine - undefined if the engine did not answer */
  observe(engine: Pick<BackEndIdentity, 'start'> | undefined, now: number): void {
    const wasReached = this.#isReached;
    this.#isReached = engine !== undefined;
    if (engine === undefined) return;
    const { start } = engine;
    const hasStarted = start === undefined ? !wasReached : start !== this.#start;
    this.#start = start;
    if (hasStarted) this.#startedAt = now;
  }

  /** The engine as long as it is cold. */
  cold(now: number): ColdEngine | undefined {
    if (this.#declared === undefined || this.#declared.rate <= 0) return undefined;
    const until = this.#startedAt + this.#declared.time;
    return now < until ? { rate: this.#declared.rate, until } : undefined;
  }

  /** Time for which the engine stays cold; 0 if it is warm. */
  coldLeft(now: number): number {
    return Math.max(0, (this.cold(now)?.until ?? now) - now);
  }
}
