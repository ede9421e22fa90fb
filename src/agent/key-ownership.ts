/** Which keys this agent's process may take, by the owners' list that its home entry last told. */
import type { OwnershipClaim } from '../protocol/messages.js';
import { keepsOwner, type OwnersRow, ownerOf } from '../systems/ownership.js';

/**
 * Longest gap between two signs of life exchanged with a home entry, in milliseconds. After a longer one this
 * process may have been taken for dead, and must be told anew what it owns. The entries wait longer than this
 * before they take a machine for dead (`DEAD_AFTER` in `src/entry/machine-watch.ts`).
 */
export const MAX_CONFIRMATION_GAP = 6_000;

/** The ownership of one agent. */
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
   * A home entry has answered a sign of life that was sent at time `at`. Only such an answer counts: any other
   * message may have waited since before this process was frozen. Returns false when the gap was so long that what
   * is owned must be told anew.
   */
  confirm(at: number): boolean {
    const isGap = at - this.#confirmedAt > MAX_CONFIRMATION_GAP;
    if (isGap) this.#row = undefined;
    this.#confirmedAt = Math.max(this.#confirmedAt, at);
    return !isGap;
  }

  /** Follows a list, unless a later one is followed; returns true when that changed something. */
  update(row: OwnersRow): boolean {
    const current = this.#row;
    if (current !== undefined && row.epoch < current.epoch) return false;
    if (current !== undefined && row.epoch === current.epoch && current.next !== undefined) return false;
    if (current?.epoch !== row.epoch) this.#epochSince = this.#clock();
    this.#row = row;
    return true;
  }

  /** What this process says of its ownership. */
  claim(): OwnershipClaim | undefined {
    if (this.#row === undefined) return undefined;
    const { epoch, next } = this.#row;
    return { epoch, heldFor: this.#clock() - this.#epochSince, movesAcknowledged: next !== undefined };
  }

  /** Whether a key that was routed under `epoch` may be taken now. */
  owns(key: string, epoch: number): boolean {
    const row = this.#row;
    if (row === undefined || row.epoch !== epoch) return false;
    if (this.#clock() - this.#confirmedAt > MAX_CONFIRMATION_GAP) return false;
    return ownerOf(key, row.owners) === this.#address && keepsOwner(key, row);
  }
}
