/** Time limits for asynchronous calls. */
import { setMaxListeners } from 'node:events';

/**
 * A timer later than this means that the process was stalled, in milliseconds; one turn of a busy event loop takes some tens of
 * milliseconds.
 */
const MAX_TIMER_LATENESS = 100;
/**
 * Extension of a limit that expired while this process was stalled, in milliseconds; no longer than the limit itself. Data that
 * arrived during the stall is in the socket buffers and is read in the next turn of the event loop. The peer may have been
 * stalled too and answer only then.
 */
const STALL_EXTENSION = 500;

/** Options of a time limit. */
interface LimitOptions {
  /** Whether the timer keeps the process alive; by default it does not, as with `AbortSignal.timeout`. */
  keepsAlive?: boolean;
}

/** A running time limit. */
export interface RunningLimit {
  /** Stops the limit; its callback is not called any more. */
  cancel(): void;
}

/**
 * Calls `onPassed` after `milliseconds`. If this process was stalled when the limit expired, the limit is extended once, so that
 * a process that resumes does not abort calls whose responses it is about to read.
 */
export function startLimit(
  milliseconds: number,
  onPassed: () => void,
  { keepsAlive = false }: LimitOptions = {},
): RunningLimit {
  const dueAt = performance.now() + milliseconds;
  const start = (onTimer: () => void, after: number) => {
    const timer = setTimeout(onTimer, after);
    return keepsAlive ? timer : timer.unref();
  };
  const onTimer = () => {
    const wasStalled = performance.now() - dueAt > MAX_TIMER_LATENESS;
    if (!wasStalled) return onPassed();
    timer = start(onPassed, Math.min(milliseconds, STALL_EXTENSION));
  };
  let timer = start(onTimer, milliseconds);
  return { cancel: () => clearTimeout(timer) };
}

/**
 * Returns a signal that is aborted with `signal`, or after `milliseconds` of running time. The timer holds a strong reference to
 * it: `AbortSignal.any` holds its sources weakly, so a limit could be lost in a garbage collection.
 */
export function withLimit(signal: AbortSignal, milliseconds: number): AbortSignal {
  const limited = new AbortController();
  if (signal.aborted) {
    limited.abort(signal.reason);
    return limited.signal;
  }
  const abortWithSignal = () => {
    limit.cancel();
    limited.abort(signal.reason);
  };
  const abortAtLimit = () => {
    signal.removeEventListener('abort', abortWithSignal);
    limited.abort(new DOMException('the limit of the call has passed', 'TimeoutError'));
  };
  const limit = startLimit(milliseconds, abortAtLimit);
  // One listener per pending call, removed when the call ends.
  setMaxListeners(0, signal);
  signal.addEventListener('abort', abortWithSignal, { once: true });
  return limited.signal;
}

/** Time limits of a response, in milliseconds. */
export interface ResponseTimes {
  /** Until the first part. */
  first: number;
  /** Between two parts. */
  next: number;
}

/** Limits the time of a call whose response arrives in parts. It restarts with each part, so that slow responses are read to the end. */
export class ResponseLimit {
  readonly #next: number;
  readonly #limited = new AbortController();
  readonly #onPassed = () =>
    this.#limited.abort(new DOMException('the limit of the call has passed', 'TimeoutError'));
  readonly #signal: AbortSignal;
  readonly #onAborted: () => void;
  #limit: RunningLimit;

  constructor(signal: AbortSignal, { first, next }: ResponseTimes) {
    this.#next = next;
    this.#signal = signal;
    this.#limit = startLimit(first, this.#onPassed);
    this.#onAborted = () => {
      this.#limit.cancel();
      this.#limited.abort(signal.reason);
    };
    if (signal.aborted) this.#onAborted();
    setMaxListeners(0, signal);
    signal.addEventListener('abort', this.#onAborted, { once: true });
  }

  /** Aborted when the limit expires, or with the given signal. */
  get signal(): AbortSignal {
    return this.#limited.signal;
  }

  /** Restarts the limit: a part of the response has arrived. */
  notePart(): void {
    if (this.signal.aborted) return;
    this.#limit.cancel();
    this.#limit = startLimit(this.#next, this.#onPassed);
  }
  /** Ends the limit: the call has ended. */
  end(): void {
    this.#limit.cancel();
    this.#signal.removeEventListener('abort', this.#onAborted);
  }
}

/**
 * Whether `work` settles within `milliseconds`; rejects if `work` does in that time. Work that takes longer is not cancelled.
 * The limit is extended once if this process was stalled when it expired, as with {@link startLimit}.
 */
export async function endsWithin(work: Promise<unknown>, milliseconds: number): Promise<boolean> {
  let limit: RunningLimit | undefined;
  const passed = new Promise<false>((resolve) => {
    limit = startLimit(milliseconds, () => resolve(false), { keepsAlive: true });
  });
  try {
    return await Promise.race([work.then(() => true), passed]);
  } finally {
    limit?.cancel();
  }
}
