/** The agents that an entry knows: its own ones, and those that other entries are home to. */
import type { AgentStatus, GoneAgent } from '../protocol/messages.js';

/** Time for which the agents of a lost entry are kept, so that they can find another, in milliseconds. */
const LOST_HOME_GRACE = 5_000;

/** Age from which an agent that a list of its zone does not name is taken out, in milliseconds. */
const SNAPSHOT_GRACE = 10_000;

/** An agent as this entry knows it. */
export interface AgentRow {
  status: AgentStatus;
  /** When the status came here, by this entry's clock. */
  receivedAt: number;
  /** Identity of the agent's home entry. */
  home: string;
  /** The home entry's zone, which need not be the agent's own. */
  homeZone: string;
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

  /** Takes a status in, unless it or a later one of the same process is known; returns whether it was news. */
  update(status: AgentStatus, home: string, homeZone: string): boolean {
    const known = this.rows.get(status.info.id);
    const isSame = known?.status.sequence === status.sequence && known.home === home;
    if (known !== undefined && (isSame || known.status.sequence > status.sequence)) return false;
    this.#dropOthersAt(status);
    this.rows.set(status.info.id, {
      status,
      receivedAt: performance.now(),
      home,
      homeZone,
      homeLostAt: undefined,
    });
    this.#notify();
    return true;
  }

  /** Takes loads in; they change nothing else. */
  updateLoads(loads: ReadonlyArray<{ id: string; active: number }>): void {
    for (const { id, active } of loads) {
      const row = this.rows.get(id);
      if (row !== undefined) row.status = { ...row.status, active };
    }
  }

  /** Removes an agent, unless a later status of it is known; returns whether it was there. */
  remove(id: string, sequence: number): boolean {
    const known = this.rows.get(id);
    if (known === undefined || known.status.sequence > sequence) return false;
    this.rows.delete(id);
    this.#notify();
    return true;
  }

  /**
   * Removes the agents with a home in a zone that are not among `present`. Agents that were news a short while ago
   * stay: the list may have been made before their news reached its maker by another way.
   */
  keepOnly(zone: string, present: ReadonlySet<string>, youngerThan = SNAPSHOT_GRACE): void {
    const now = performance.now();
    for (const [id, { homeZone, receivedAt }] of this.rows) {
      const isOld = now - receivedAt >= youngerThan;
      if (homeZone === zone && isOld && !present.has(id)) this.rows.delete(id);
    }
    this.#notify();
  }

  /** The connection to an entry is gone: its agents get some time to report through another one. */
  homeLost(home: string, now: number): void {
    for (const row of this.rows.values()) {
      if (row.home === home) row.homeLostAt ??= now;
    }
  }

  /** Removes agents whose time to report through another entry is over; returns them. */
  expire(now: number): GoneAgent[] {
    const gone: GoneAgent[] = [];
    for (const [id, row] of this.rows) {
      if (row.homeLostAt === undefined || now - row.homeLostAt < LOST_HOME_GRACE) continue;
      this.rows.delete(id);
      gone.push({ id, sequence: row.status.sequence });
    }
    if (gone.length > 0) this.#notify();
    return gone;
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
