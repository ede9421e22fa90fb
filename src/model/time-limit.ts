/** Time limits of asynchronous calls. */

/**
 * A signal that is aborted with `signal`, or after `milliseconds`. A fraction is rounded: `AbortSignal.timeout` throws for
 * any number that is not whole.
 */
export function withLimit(signal: AbortSignal, milliseconds: number): AbortSignal {
  return AbortSignal.any([signal, AbortSignal.timeout(Math.round(milliseconds))]);
}
