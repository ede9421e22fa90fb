/**
 * Leases for tasks that need a single holder, stored as rows of the table service. Clocks of different machines are never
 * compared: an observer considers a lease expired when its row has not changed for the lease duration by the observer's
 * own clock. A holder that was paused learns from its next conditional write that it has lost the lease.
 */

/** Time without renewal after which a lease expires, in milliseconds. */
export const LEASE_DURATION = 4_000;
/** Time between two renewals, in milliseconds. */
export const LEASE_RENEWAL_INTERVAL = 1_000;

/** Content of a lease's row. */
export interface LeaseRow {
  holder: string;
  /** Incremented with each change of holder. */
  epoch: number;
}

/** What one observer knows about a lease. */
export interface LeaseObservation {
  row: LeaseRow | undefined;
  /** Revision of the row; 0 if there is no row. */
  revision: number;
  /** When this observer first saw this revision, by its own clock. */
  seenAt: number;
}

/** What to do about a lease. */
export type LeaseDecision =
  | { type: 'wait' }
  /** Write this row, conditional on an unchanged revision. */
  | { type: 'write'; row: LeaseRow };

/** Decides whether the process `self` writes the lease at its own time `now`. */
export function decideLease(observation: LeaseObservation, self: string, now: number): LeaseDecision {
  const { row, seenAt } = observation;
  const age = now - seenAt;
  if (row === undefined) return { type: 'write', row: { holder: self, epoch: 1 } };
  if (row.holder === self) return age < LEASE_RENEWAL_INTERVAL ? { type: 'wait' } : { type: 'write', row };
  if (age < LEASE_DURATION) return { type: 'wait' };
  return { type: 'write', row: { holder: self, epoch: row.epoch + 1 } };
}
