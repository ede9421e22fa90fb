/**
 * The time of a planned stop: from the order to stop until the process must have ended by itself. Times are in
 * milliseconds of the steady clock.
 */

/** When a process that is told to stop does what. */
export class DrainSchedule {
  #orderedAt: number | undefined;

  /** The order to stop came at `now`; a second one changes nothing. */
  begin(now: number): void {
    this.#orderedAt ??= now;
  }

  /** True from the order to stop on. */
  get isUnderWay(): boolean {
    return this.#orderedAt !== undefined;
  }

  /** Time since the order to stop; negative for what was before it, undefined without one. */
  elapsed(now: number): number | undefined {
    return this.#orderedAt === undefined ? undefined : now - this.#orderedAt;
  }
}
