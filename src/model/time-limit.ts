/** Time limits of asynchronous calls. */
import { setMaxListeners } from 'node:events';

/**
 * A signal that is aborted with `signal`, or after `milliseconds`. It is held by its timer until then: what
 * `AbortSignal.any` joins is held weakly, so that a limit could vanish with the next collection of memory.
 */
export function withLimit(signal: AbortSignal, milliseconds: number): AbortSignal {
  const limited = new AbortController();
  if (signal.aborted) {
    limited.abort(signal.reason);
    return limited.signal;
  }
  const endWithSignal = () => {
    clearTimeout(timer);
    limited.abort(signal.reason);
  };
  const endAtLimit = () => {
    signal.removeEventListener('abort', endWithSignal);
    limited.abort(new DOMException('the limit of the call has passed', 'TimeoutError'));
  };
  const timer = setTimeout(endAtLimit, milliseconds);
  // As with `AbortSignal.timeout`, a limit keeps no process alive.
  timer.unref();
  // As many as there are calls within their limits: they end with these.
  setMaxListeners(0, signal);
  signal.addEventListener('abort', endWithSignal, { once: true });
  return limited.signal;
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
