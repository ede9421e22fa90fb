/** Time limits of asynchronous calls. */

/**
 * A signal that is aborted with `signal`, or after `milliseconds`. A fraction is rounded: `AbortSignal.timeout` throws for
 * any number that is not whole.
 */
export function withLimit(signal: AbortSignal, milliseconds: number): AbortSignal {
  return AbortSignal.any([signal, AbortSignal.timeout(Math.round(milliseconds))]);
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
