/** The rate of events over the last two seconds. Times are in milliseconds of the caller's clock. */

const PARTS = 8;
const PART_LENGTH = 250;
const MILLISECONDS = 1_000;

/** Counts events in parts of a window. */
export class RecentRate {
  readonly #counts: number[] = Array.from({ length: PARTS }, () => 0);
  /** Number of the latest part since the start of the clock. */
  #part = 0;
  #startedAt: number | undefined;

  note(now: number): void {
    this.#startedAt ??= now;
    this.#moveTo(now);
    this.#counts[this.#part % PARTS]++;
  }

  /** Events per second; 0 before the first. */
  perSecond(now: number): number {
    if (this.#startedAt === undefined) return 0;
    this.#moveTo(now);
    const span = (PARTS - 1) * PART_LENGTH + (now % PART_LENGTH);
    const observed = Math.max(PART_LENGTH, Math.min(span, now - this.#startedAt));
    return (this.#counts.reduce((sum, count) => sum + count, 0) * MILLISECONDS) / observed;
  }

  #moveTo(now: number): void {
    const part = Math.floor(now / PART_LENGTH);
    for (let next = Math.max(this.#part + 1, part - PARTS + 1); next <= part; next++)
      this.#counts[next % PARTS] = 0;
    this.#part = Math.max(this.#part, part);
  }
}
