/** The agents known to an entry: those homed here and those homed at other entries. */
import type { AgentLoad, AgentStatus } from '../protocol/messages.js';

/** An agent's latest known status. */
export interface AgentRow {
  status: AgentStatus;
  /** When the status arrived here, by this entry's clock. */
  receivedAt: number;
  /** Identity of the agent's home entry. */
  home: string;
  /** The home entry's zone, which need not be the agent's own. */
  homeZone: string;
}

/** All known agents by the identity of their process; at most one at each address. */
export class AgentDirectory {
  readonly rows = new Map<string, AgentRow>();
  readonly #byAddress = new Map<string, string>();
  readonly #listeners = new Set<() => void>();

  /** Calls `listener` after each change. */
  listen(listener: () => void): void {
    this.#listeners.add(listener);
  }

  /** Whether an agent at this address is connected to an entry. */
  isConnected(address: string): boolean {
    return this.#byAddress.has(address);
  }

  /**
   * Sets the agent at an address; undefined removes it. A status that is no newer than the known one from the same home
   * and process is ignored: a row's age is used to compute for how long the process has owned its keys.
   */
  set(address: string, update: { status: AgentStatus; home: string; homeZone: string } | undefined): void {
    const earlier = this.#byAddress.get(address);
    const known = earlier === undefined ? undefined : this.rows.get(earlier);
    const isSame =
      known !== undefined && known.status.info.id === update?.status.info.id && known.home === update.home;
    if (isSame && known.status.sequence >= update!.status.sequence) return;
    if (earlier !== undefined && earlier !== update?.status.info.id) this.rows.delete(earlier);
    if (update === undefined) this.#byAddress.delete(address);
    else {
      const { status, home, homeZone } = update;
      const { id } = status.info;
      // Published statuses carry no load: keep the last one received from this home.
      const active = isSame ? known.status.active : status.active;
      this.#byAddress.set(address, id);
      this.rows.set(id, { status: { ...status, active }, receivedAt: performance.now(), home, homeZone });
    }
    this.#notify();
  }

  /** Stores a status received from an agent that is homed here. */
  refresh(status: AgentStatus): void {
    const row = this.rows.get(status.info.id);
    if (row === undefined) return;
    row.status = status;
    row.receivedAt = performance.now();
    this.#notify();
  }

  /** Updates loads and bytes held only; does not notify listeners. */
  updateLoads(loads: readonly AgentLoad[]): void {
    for (const { id, active, held } of loads) {
      const row = this.rows.get(id);
      if (row === undefined) continue;
      const versions = row.status.versions.map((version, index) => {
        return { ...version, bytesHeld: held[index] ?? version.bytesHeld };
      });
      row.status = { ...row.status, active, versions };
    }
  }

  /** The statuses of the agents whose home is `home`. */
  homedAt(home: string): AgentStatus[] {
    return [...this.rows.values()].filter((row) => row.home === home).map((row) => row.status);
  }

  #notify(): void {
    for (const listener of this.#listeners) listener();
  }
}
