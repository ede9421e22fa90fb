/** Which idempotency keys this process owns, according to the latest list of owners from its home entry. */
import type { OwnershipClaim } from '../protocol/messages.js';
import { keepsOwner, type OwnersRow, ownerOf } from '../systems/ownership.js';

/**
 * Longest time between two heartbeats answered by a home entry, in milliseconds. After a longer gap the entries may have
 * declared this process dead, so it owns nothing until it receives a list again. The entries wait longer than this before
 * they declare a machine dead (`DEAD_AFTER` in `src/systems/machine-absences.ts`).
 */
export const MAX_CONFIRMATION_GAP = 6_000;

/** The key ownership of one agent. */
export class KeyOwnership {
  readonly #address: string;
  readonly #clock: () => number;
  #row: OwnersRow | undefined;
  #epochSince = 0;
  #confirmedAt = Number.NEGATIVE_INFINITY;

  constructor(address: string, clock: () => number) {
    this.#address = address;
    this.#clock = clock;
  }

  /**
   * Records that a home entry has answered a heartbeat sent at `at`. Other messages do not count, as they may have been
   * queued since before this process was suspended. Returns false if the gap was so long that the list of owners must be
   * received again.
   */
  confirm(at: number): boolean {
    const isGap = at - this.#confirmedAt > MAX_CONFIRMATION_GAP;
    if (isGap) this.#row = undefined;
    this.#confirmedAt = Math.max(this.#confirmedAt, at);
    return !isGap;
  }

  /** Applies a list of owners unless a later one is known. Returns true if it was applied. */
  update(row: OwnersRow): boolean {
    const current = this.#row;
    if (current !== undefined && row.epoch < current.epoch) return false;
    if (current !== undefined && row.epoch === current.epoch && current.next !== undefined) return false;
    if (current?.epoch !== row.epoch) this.#epochSince = this.#clock();
    this.#row = row;
    return true;
  }

  /** The ownership that this process reports to its home entry; undefined if it has no list of owners. */
  claim(): OwnershipClaim | undefined {
    if (this.#row === undefined) return undefined;
    const { epoch, next } = this.#row;
    return { epoch, heldFor: this.#clock() - this.#epochSince, movesAcknowledged: next !== undefined };
  }

  /** Whether this process may run a call with this key that was routed under `epoch`. */
  owns(key: string, epoch: number): boolean {
    const row = this.#row;
    if (row === undefined || row.epoch !== epoch) return false;
    if (this.#clock() - this.#confirmedAt > MAX_CONFIRMATION_GAP) return false;
    return ownerOf(key, row.owners) === this.#address && keepsOwner(key, row);
  }
}
