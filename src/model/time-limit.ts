/** Time limits of asynchronous calls. */
import { setMaxListeners } from 'node:events';

/**
 * A timer that is late by more than this tells that this process got no processor, in milliseconds: a turn of a busy event
 * loop takes some tens of milliseconds.
 */
const USUAL_LATENESS = 100;
/**
 * Time that a limit which passed while this process stood still is given again, in milliseconds, or the whole limit where
 * that is shorter. What came meanwhile waits in the sockets and is read in the next turn; the other side may have stood
 * still too and answers then.
 */
const TIME_AFTER_STANDSTILL = 500;

/** Something that ends when its time is over. */
export interface RunningLimit {
  /** Ends the limit: it does not pass any more. */
  cancel(): void;
}

/**
 * Calls `onPassed` after `milliseconds`. Where this process stood still as they passed, what it waits for may have come:
 * the limit is prolonged once, so that a process that wakes does not give up whatever it was about to read.
 */
export function startLimit(milliseconds: number, onPassed: () => void): RunningLimit {
  const dueAt = performance.now() + milliseconds;
  const onTimer = () => {
    const stoodStill = performance.now() - dueAt > USUAL_LATENESS;
    if (!stoodStill) return onPassed();
    timer = setTimeout(onPassed, Math.min(milliseconds, TIME_AFTER_STANDSTILL));
    timer.unref();
  };
  let timer = setTimeout(onTimer, milliseconds);
  // As with `AbortSignal.timeout`, a limit keeps no process alive.
  timer.unref();
  return { cancel: () => clearTimeout(timer) };
}

/**
 * A signal that is aborted with `signal`, or after `milliseconds` in which this process ran. It is held by its timer until then: what
 * `AbortSignal.any` joins is held weakly, so that a limit could vanish with the next collection of memory.
 */
export function withLimit(signal: AbortSignal, milliseconds: number): AbortSignal {
  const limited = new AbortController();
  if (signal.aborted) {
    limited.abort(signal.reason);
    return limited.signal;
  }
  const endWithSignal = () => {
    limit.cancel();
    limited.abort(signal.reason);
  };
  const endAtLimit = () => {
    signal.removeEventListener('abort', endWithSignal);
    limited.abort(new DOMException('the limit of the call has passed', 'TimeoutError'));
  };
  const limit = startLimit(milliseconds, endAtLimit);
  // As many as there are calls within their limits: they end with these.
  setMaxListeners(0, signal);
  signal.addEventListener('abort', endWithSignal, { once: true });
  return limited.signal;
}

/** The times that an answer may take, in milliseconds. */
export interface AnswerTimes {
  /** Until its first part. */
  first: number;
  /** From one part to the next. */
  next: number;
}

/** The limit of a call whose answer comes in parts: it begins anew with each, so that a slow answer is read to its end. */
export class AnswerLimit {
  readonly #next: number;
  readonly #limited = new AbortController();
  readonly #onPassed = () =>
    this.#limited.abort(new DOMException('the limit of the call has passed', 'TimeoutError'));
  readonly #signal: AbortSignal;
  readonly #onAborted: () => void;
  #limit: RunningLimit;

  constructor(signal: AbortSignal, { first, next }: AnswerTimes) {
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

  /** Aborted when the limit has passed, and with the signal that was given. */
  get signal(): AbortSignal {
    return this.#limited.signal;
  }

  /** A part of the answer has come. */
  notePart(): void {
    if (this.signal.aborted) return;
    this.#limit.cancel();
    this.#limit = startLimit(this.#next, this.#onPassed);
  }

  /** The call has ended. */
  end(): void {
    this.#limit.cancel();
    this.#signal.removeEventListener('abort', this.#onAborted);
  }
}

/** Whether `work` ends within `milliseconds`; rejects as it does. What takes longer goes on unobserved. */
export async function endsWithin(work: Promise<unknown>, milliseconds: number): Promise<boolean> {
  let timer: NodeJS.Timeout | undefined;
  const limit = new Promise<false>((resolve) => {
    timer = setTimeout(() => resolve(false), milliseconds);
  });
  try {
    return await Promise.race([work.then(() => true), limit]);
  } finally {
    clearTimeout(timer);
  }
}
