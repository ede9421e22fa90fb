/**
 * Identity of a back end: its id and its start. A back end that restarts under the same id keeps no state, so anything that is
 * recorded about a back end applies to a single start.
 */

/** Identifies one start of a back end. */
export interface BackEndIdentity {
  readonly id: string;
  /**
   * Start time by the back end's own clock, in milliseconds. It is compared only with other starts of the same id, never with
   * this process's time. Undefined if the back end does not report it.
   */
  readonly start?: number | undefined;
}

/** Whether two starts of one id are the same; an unknown start matches any. */
export function isSameStart(one: number | undefined, other: number | undefined): boolean {
  // Decoded messages contain null instead of undefined.
  return one == null || other == null || one === other;
}
