/** Results as values: each layer returns its own tagged errors and converts those of the layer below. */

/** A value, or a tagged error. */
export type Result<T, E> = { ok: true; value: T } | { ok: false; error: E };

export function success<T>(value: T): { ok: true; value: T } {
  return { ok: true, value };
}

export function failure<E>(error: E): { ok: false; error: E } {
  return { ok: false, error };
}
