/**
 * Who a back end is: its id and its start. One that starts again under its id holds and knows nothing of before, so what
 * is remembered of a back end is remembered of one start.
 */

/** One start of a back end. */
export interface BackEndIdentity {
  readonly id: string;
  /**
   * Names this start among those of the same id, by the back end's own clock in milliseconds: it is compared with that of
   * another start of the same id alone, never with the time here. Undefined where the back end does not tell it.
   */
  readonly start?: number | undefined;
}

/** Whether two starts of one id are the same, as far as can be told: one that is not told is taken for any. */
export function isSameStart(one: number | undefined, other: number | undefined): boolean {
  // Messages carry no undefined.
  return one == null || other == null || one === other;
}
