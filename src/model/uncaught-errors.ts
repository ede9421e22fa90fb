/**
 * Errors that nobody handles: thrown in timers or events of sockets, and reasons of rejected promises. Without a listener the
 * runtime ends the process at once, with all requests in progress.
 */
import { inspect } from 'node:util';

/** Source of the errors: the process, or an emitter in tests. */
export interface ErrorSource {
  on(
    event: 'uncaughtException',
    listener: (cause: unknown, origin: 'uncaughtException' | 'unhandledRejection') => void,
  ): unknown;
}

/** An error that nobody handled. */
export interface UncaughtError {
  /** The stack trace of an error, or the text of any other value that was thrown. */
  cause: string;
  isRejection: boolean;
  /** Number of such errors since the start, with this one. */
  count: number;
}

/** Reports each uncaught error, and keeps the process running. */
export class UncaughtErrors {
  /** Resolves with the time of the first error, in milliseconds of the monotonic clock. */
  readonly first: Promise<number>;
  #count = 0;

  /** Number of such errors since the start. */
  get count(): number {
    return this.#count;
  }

  /** @param onError - called for each error; must not throw */
  constructor(onError: (error: UncaughtError) => void, source: ErrorSource = process) {
    this.first = new Promise((resolve) => {
      source.on('uncaughtException', (cause, origin) => {
        resolve(performance.now());
        onError({
          cause: textOf(cause),
          isRejection: origin === 'unhandledRejection',
          count: ++this.#count,
        });
      });
    });
  }
}

/** Never throws: a value without a prototype has no text. */
function textOf(cause: unknown): string {
  return cause instanceof Error ? (cause.stack ?? cause.message) : inspect(cause);
}
