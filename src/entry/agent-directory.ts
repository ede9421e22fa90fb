/** The agents that an entry knows: its own ones, and those that other entries are home to. */
import type { AgentStatus } from '../protocol/messages.js';

/** Time for which the agents of a lost entry are kept, so that they can find another, in milliseconds. */
const LOST_HOME_GRACE = 5_000;

/** An agent as this entry knows it. */
export interface AgentRow {
  status: AgentStatus;
  /** When the status came here, by this entry's clock. */
  receivedAt: number;
  /** Identity of the agent's home entry. */
  home: string;
  /** When the home entry was lost, by this entry's clock; undefined while it is there. */
  homeLostAt: number | undefined;
}

/** All agents known here, by identity of their process. */
export class AgentDirectory {
  readonly rows = new Map<string, AgentRow>();
  readonly #listeners = new Set<() => void>();

  /** Calls `listener` after each change. */
  listen(listener: () => void): void {
    this.#listeners.add(listener);
  }

  /** Takes a status in, unless a later one of the same process is known. */
  update(status: AgentStatus, home: string): void {
    const known = this.rows.get(status.info.id);
    if (known !== undefined && known.status.sequence > status.sequence) return;
    this.#dropOthersAt(status);
    this.rows.set(status.info.id, { status, receivedAt: performance.now(), home, homeLostAt: undefined });
    this.#notify();
  }

  /** Removes an agent that its home entry has lost; other homes' news of it are kept. */
  remove(id: string, home: string): void {
    if (this.rows.get(id)?.home !== home) return;
    this.rows.delete(id);
    this.#notify();
  }

  /** The connection to an entry is gone: its agents get some time to report through another one. */
  homeLost(home: string, now: number): void {
    for (const row of this.rows.values()) {
      if (row.home === home) row.homeLostAt ??= now;
    }
  }

  /** Removes agents whose time to report through another entry is over. */
  expire(now: number): void {
    let changed = false;
    for (const [id, row] of this.rows) {
      if (row.homeLostAt === undefined || now - row.homeLostAt < LOST_HOME_GRACE) continue;
      this.rows.delete(id);
      changed = true;
    }
    if (changed) this.#notify();
  }

  /** The agents whose home is `home`. */
  homedAt(home: string): AgentStatus[] {
    return [...this.rows.values()].filter((row) => row.home === home).map((row) => row.status);
  }

  /** A process replaced under the same address is a new one: the old one is gone. */
  #dropOthersAt(status: AgentStatus): void {
    for (const [id, row] of this.rows) {
      if (id !== status.info.id && row.status.info.address === status.info.address) this.rows.delete(id);
    }
  }

  #notify(): void {
    for (const listener of this.#listeners) listener();
  }
}
