/** Which machines the platform's list has dropped for so long that their processes count as dead. */
import type { MachineList } from '../clients/machine-list.js';

/** Time between two readings of the list, in milliseconds. */
const READ_INTERVAL = 2_000;
const READ_TIMEOUT = 2_000;
/** Absence after which a machine that was listed counts as dead; must exceed `MAX_CONFIRMATION_GAP` of the agents. */
const DEAD_AFTER = 10_000;
/** The same for a machine that this process has never seen listed: it may be too new for the lagging list. */
const DEAD_AFTER_UNSEEN = 60_000;

/** The view of one entry. */
export class MachineWatch {
  readonly #list: MachineList;
  readonly #lastListed = new Map<string, number>();
  readonly #firstMissed = new Map<string, number>();
  /** The list as it was last read. */
  #listed: ReadonlySet<string> | undefined;
  #readAt = Number.NEGATIVE_INFINITY;

  constructor(list: MachineList) {
    this.#list = list;
  }

  /** Of `addresses`, all out of sight of the entries, those whose machines are gone. */
  async dead(addresses: readonly string[]): Promise<Set<string>> {
    if (addresses.length > 0 && performance.now() - this.#readAt >= READ_INTERVAL) await this.#read();
    for (const address of addresses) this.#note(address);
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

  /** Whoever asks first for an address, the time for which it is missed counts from the reading. */
  #note(address: string): void {
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
