/** Detects machines that have been missing from the platform's machine list for so long that their processes are dead. */
import type { MachineList } from '../clients/machine-list.js';

/** Minimum interval between reads of the list, in milliseconds. */
const READ_INTERVAL = 2_000;
const READ_TIMEOUT = 2_000;
/** Absence (ms) after which a machine that was listed counts as dead. Must exceed `MAX_CONFIRMATION_GAP` in agent/key-ownership.ts. */
const DEAD_AFTER = 10_000;
/** The same for a machine that was never seen on the list: the list lags, so the machine may be too new to be on it. */
const DEAD_AFTER_UNSEEN = 60_000;

/** One entry's view of the machine list. */
export class MachineWatch {
  readonly #list: MachineList;
  readonly #lastListed = new Map<string, number>();
  readonly #firstMissed = new Map<string, number>();
  /** The addresses on the list at the last successful read. */
  #listed: ReadonlySet<string> | undefined;
  #readAt = Number.NEGATIVE_INFINITY;

  constructor(list: MachineList) {
    this.#list = list;
  }

  /** Of `addresses`, none of which is connected to an entry, returns those whose machines are dead. */
  async findDead(addresses: readonly string[]): Promise<Set<string>> {
    if (addresses.length > 0 && performance.now() - this.#readAt >= READ_INTERVAL) await this.#read();
    for (const address of addresses) this.#startAbsence(address);
    const dead = addresses.filter((address) => this.#isDead(address, performance.now()));
    return new Set(dead);
  }

  async #read(): Promise<void> {
    const read = await this.#list.machines(AbortSignal.timeout(READ_TIMEOUT));
    if (!read.ok) return;
    this.#readAt = performance.now();
    this.#listed = new Set(read.value.map((machine) => machine.address));
    for (const address of this.#listed) {
      this.#lastListed.set(address, this.#readAt);
      this.#firstMissed.delete(address);
    }
  }

  /** Starts the absence of an unlisted address at the last read of the list, regardless of when it is first queried. */
  #startAbsence(address: string): void {
    if (this.#listed === undefined || this.#listed.has(address) || this.#firstMissed.has(address)) return;
    this.#firstMissed.set(address, this.#readAt);
  }

  #isDead(address: string, now: number): boolean {
    const missedSince = this.#firstMissed.get(address);
    if (missedSince === undefined) return false;
    const limit = this.#lastListed.has(address) ? DEAD_AFTER : DEAD_AFTER_UNSEEN;
    return now - missedSince >= limit;
  }
}
