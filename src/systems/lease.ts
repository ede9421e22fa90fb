/**
 * Leases on duties that need one holder at a time, kept as rows of the table service. No clock is compared
 * with another: an observer takes a lease for lapsed when its row has not changed for the lease's duration by
 * the observer's own clock. A holder that was paused learns from its next conditional write that it is not
 * the holder any more.
 */

/** Time without renewal after which a lease has lapsed, in milliseconds. */
export const LEASE_DURATION = 4_000;
/** Time between two renewals, in milliseconds. */
export const LEASE_RENEWAL_INTERVAL = 1_000;

/** A lease as its row says. */
export interface LeaseRow {
  holder: string;
  /** Grows with each change of holder. */
  epoch: number;
}

/** What one observer knows of a lease. */
export interface LeaseObservation {
  row: LeaseRow | undefined;
  /** Revision of the row, 0 where there is none. */
  revision: number;
  /** When this observer first saw this revision, by its own clock. */
  seenAt: number;
}

/** What to do about a lease. */
export type LeaseDecision =
  | { type: 'wait' }
  /** Write this row on the condition that the revision is unchanged. */
  | { type: 'write'; row: LeaseRow };

/** Decides for the process `self` at its own time `now`. */
export function decideLease(observation: LeaseObservation, self: string, now: number): LeaseDecision {
  const { row, seenAt } = observation;
  const age = now - seenAt;
  if (row === undefined) return { type: 'write', row: { holder: self, epoch: 1 } };
  if (row.holder === self) return age < LEASE_RENEWAL_INTERVAL ? { type: 'wait' } : { type: 'write', row };
  if (age < LEASE_DURATION) return { type: 'wait' };
  return { type: 'write', row: { holder: self, epoch: row.epoch + 1 } };
}
