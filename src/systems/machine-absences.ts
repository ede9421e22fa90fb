/**
 * Decides which machines are dead: those that every read of the platform's machine list has lacked for a time in which none
 * of their agents was connected. One read says nothing about the time after it, so an absence lasts only from read to read,
 * and begins anew if two reads are too far apart. Times are in milliseconds of the monotonic clock.
 *
 * @example
 * ```ts
 * absences.noteRead(listed, now);
 * absences.noteDisconnected(address, now);
 * if (absences.isDead(address)) replace(address);
 * ```
 */

/** Absence after which a machine that was listed counts as dead. */
const DEAD_AFTER = 10_000;
/** The same for a machine that was never seen on the list: the list lags, so the machine may be too new to be on it. */
const DEAD_AFTER_UNSEEN = 60_000;
/**
 * Longest time between two reads that one absence may span. An agent that was connected unnoticed between them owns its keys
 * for `MAX_CONFIRMATION_GAP` (agent/key-ownership.ts) after that; both together must not exceed `DEAD_AFTER`.
 */
const MAX_READ_GAP = 4_000;

/** The absences of machines from the list, as one entry knows them. */
export class MachineAbsences {
  readonly #wasListed = new Set<string>();
  readonly #absentSince = new Map<string, number>();
  /** The addresses on the list at the last read. */
  #listed: ReadonlySet<string> | undefined;
  #readAt = Number.NEGATIVE_INFINITY;

  /** Time of the last read; -Infinity before the first. */
  get readAt(): number {
    return this.#readAt;
  }

  /** The list was read and contained these addresses. */
  noteRead(listed: ReadonlySet<string>, now: number): void {
    if (now - this.#readAt > MAX_READ_GAP) this.#absentSince.clear();
    this.#readAt = now;
    this.#listed = listed;
    for (const address of listed) {
      this.#wasListed.add(address);
      this.#absentSince.delete(address);
    }
  }

  /** No agent of the machine is connected to an entry. */
  noteDisconnected(address: string, now: number): void {
    if (this.#listed === undefined || this.#listed.has(address) || this.#absentSince.has(address)) return;
    this.#absentSince.set(address, now);
  }

  /** Ends the absences of machines with a connected agent. */
  endConnected(isConnected: (address: string) => boolean): void {
    for (const address of this.#absentSince.keys())
      if (isConnected(address)) this.#absentSince.delete(address);
  }

  /** Whether all reads since the machine became absent lacked it, and the last of them was long enough after that. */
  isDead(address: string): boolean {
    const absentSince = this.#absentSince.get(address);
    if (absentSince === undefined) return false;
    const limit = this.#wasListed.has(address) ? DEAD_AFTER : DEAD_AFTER_UNSEEN;
    return this.#readAt - absentSince >= limit;
  }
}
