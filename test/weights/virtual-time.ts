/**
 * Virtual time for code that uses the global timers and `performance.now`. Faster than fake timers with hundreds of timers
 * pending, as limits of calls are.
 */
import { vi } from 'vitest';
import { VirtualClock } from '../../bench/simulation/virtual-clock.js';

const realImmediate = setImmediate;

/** Replaces the timers and the clock until {@link VirtualTime.restore}; starts at 0. */
export class VirtualTime {
  readonly #clock = new VirtualClock();
  #resumesAt = 0;

  constructor() {
    vi.spyOn(performance, 'now').mockImplementation(() => this.#clock.now);
    vi.stubGlobal('setTimeout', (run: () => void, delay = 0) => this.#schedule(run, delay, false));
    vi.stubGlobal('setInterval', (run: () => void, delay: number) => this.#schedule(run, delay, true));
    for (const name of ['clearTimeout', 'clearInterval'])
      vi.stubGlobal(name, (timer: { cancel?: () => void } | undefined) => timer?.cancel?.());
  }

  /** Runs timers and what they cause until time `end`, in milliseconds. */
  async runUntil(end: number): Promise<void> {
    let hasEnded = false;
    this.#clock.schedule(end, () => {
      hasEnded = true;
    });
    while (!hasEnded) {
      let count = 0;
      this.#clock.runUntil(end, () => count++ > 0);
      await new Promise((resolve) => realImmediate(resolve));
    }
  }

  /** No timer fires for `milliseconds`, as in a process that stands still; those that were due fire late. */
  standStill(milliseconds: number): void {
    this.#resumesAt = this.#clock.now + milliseconds;
  }

  restore(): void {
    vi.unstubAllGlobals();
    vi.restoreAllMocks();
  }

  #schedule(run: () => void, delay: number, repeats: boolean) {
    let isCancelled = false;
    const fire = () => {
      if (isCancelled) return;
      if (this.#clock.now < this.#resumesAt) return this.#clock.schedule(this.#resumesAt, fire);
      if (repeats) this.#clock.schedule(this.#clock.now + delay, fire);
      run();
    };
    this.#clock.schedule(this.#clock.now + Math.max(1, delay), fire);
    const timer = {
      cancel: () => {
        isCancelled = true;
      },
      ref: () => timer,
      unref: () => timer,
    };
    return timer;
  }
}
