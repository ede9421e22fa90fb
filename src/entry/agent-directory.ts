/** The agents that an entry knows: its own ones, and those that other entries are home to. */
import type { AgentLoad, AgentStatus } from '../protocol/messages.js';

/** An agent as this entry knows it. */
export interface AgentRow {
  status: AgentStatus;
  /** When the status came here, by this entry's clock. */
  receivedAt: number;
  /** Identity of the agent's home entry. */
  home: string;
  /** The home entry's zone, which need not be the agent's own. */
  homeZone: string;
}

/** All agents known here, by identity of their process; one at each address. */
export class AgentDirectory {
  readonly rows = new Map<string, AgentRow>();
  readonly #byAddress = new Map<string, string>();
  readonly #listeners = new Set<() => void>();

  /** Calls `listener` after each change. */
  listen(listener: () => void): void {
    this.#listeners.add(listener);
  }

  /**
   * Sets who stands at an address. What the same home has told of the same process already, or something later, stays
   * as it is: its age tells for how long a process has owned its keys.
   */
  set(address: string, told: { status: AgentStatus; home: string; homeZone: string } | undefined): void {
    const earlier = this.#byAddress.get(address);
    const known = earlier === undefined ? undefined : this.rows.get(earlier);
    const isSame =
      known !== undefined && known.status.info.id === told?.status.info.id && known.home === told.home;
    if (isSame && known.status.sequence >= told!.status.sequence) return;
    if (earlier !== undefined && earlier !== told?.status.info.id) this.rows.delete(earlier);
    if (told === undefined) this.#byAddress.delete(address);
    else {
      const { status, home, homeZone } = told;
      const { id } = status.info;
      // A load that its home told of stays until the next.
      const active = isSame ? known.status.active : status.active;
      this.#byAddress.set(address, id);
      this.rows.set(id, { status: { ...status, active }, receivedAt: performance.now(), home, homeZone });
    }
    this.#notify();
  }

  /** Takes a status of an agent in that is homed here. */
  refresh(status: AgentStatus): void {
    const row = this.rows.get(status.info.id);
    if (row === undefined) return;
    row.status = status;
    row.receivedAt = performance.now();
    this.#notify();
  }

  /** Takes loads in; they change nothing else. */
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

  /** The agents whose home is `home`. */
  homedAt(home: string): AgentStatus[] {
    return [...this.rows.values()].filter((row) => row.home === home).map((row) => row.status);
  }

  #notify(): void {
    for (const listener of this.#listeners) listener();
  }
}
