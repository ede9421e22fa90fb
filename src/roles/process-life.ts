/**
 * Runs a role as a process: starts it, stops it in order at the first signal or after an error that nobody handled, and logs why
 * the process ends.
 */
import type { Startable } from '../model/startable.js';
import { StopSignal, startUntilStopSignal } from '../model/stop-signal.js';
import { type UncaughtError, UncaughtErrors } from '../model/uncaught-errors.js';
import type { Log } from '../observability/log.js';

const EXIT_FAILURE = 1;

/** How a process ends. */
export interface ProcessEnding {
  /** Stops it in order; called with the time of the order, in milliseconds of the monotonic clock. */
  leave: (orderedAt: number) => Promise<unknown>;
  /**
   * After an uncaught error the stop is ordered within this time, in milliseconds, drawn at random: processes that fail together,
   * at the same data, must not leave together.
   */
  spread: number;
}

/** The life of one process. To be created before anything else, so that no signal ends the process. */
export class ProcessLife {
  readonly #signal = new StopSignal(['SIGTERM']);
  readonly #errors = new UncaughtErrors((error) => this.#noteError(error));
  #log: Pick<Log, 'error' | 'info'> | undefined;

  logTo(log: Log): void {
    this.#log = log;
  }

  /** Runs `part` until the process ends. */
  async run(part: Pick<Startable, 'start'>, { leave, spread }: ProcessEnding): Promise<never> {
    const failed = this.#errors.first.then(() => this.#noteFailure(Math.random() * spread));
    const received = Promise.race([this.#signal.received, failed]);
    try {
      await leave(await startUntilStopSignal(part, { received }));
    } catch (cause) {
      this.#log?.error('process fails', { cause: String((cause as Error)?.stack ?? cause) });
      return this.#exit(EXIT_FAILURE);
    }
    return this.#exit(this.#errors.count > 0 ? EXIT_FAILURE : 0);
  }

  /** Resolves after `delay` with the time at which the process is ordered to stop. */
  async #noteFailure(delay: number): Promise<number> {
    this.#log?.error('process leaves after an uncaught error', { inMs: Math.round(delay) });
    await new Promise((resolve) => setTimeout(resolve, delay));
    return performance.now();
  }

  #noteError(error: UncaughtError): void {
    if (this.#log !== undefined) return this.#log.error('uncaught error', error);
    // Without settings there is nothing to stop.
    process.stderr.write(`${error.cause}\n`);
    process.exit(EXIT_FAILURE);
  }

  #exit(code: number): never {
    this.#log?.info('process ends', { code, uncaughtErrors: this.#errors.count });
    process.exit(code);
  }
}
