/**
 * Selects the current process at each agent address, and its latest status. Several home entries may report an agent
 * while it moves from one to another, and a home that has not noticed a replacement still reports the old process. The
 * process that was first seen last wins; among statuses of one process, the highest sequence wins.
 */
import type { AgentStatus } from '../../protocol/messages.js';

/** An agent's status as reported by one home entry. */
export interface AgentCandidate {
  status: AgentStatus;
  /** Identity of the home entry. */
  home: string;
}

/** The statuses reported by all homes, by agent address. */
export class AgentCandidates {
  readonly #byAddress = new Map<string, AgentCandidate[]>();
  /** Order in which agent processes were first seen, by process identity. */
  readonly #appearance = new Map<string, number>();
  #processCount = 0;

  /** Records a status reported by a home; returns the agent's address. */
  set(home: string, status: AgentStatus): string {
    const { id, address } = status.info;
    if (!this.#appearance.has(id)) this.#appearance.set(id, ++this.#processCount);
    const others = this.#at(address).filter((known) => known.home !== home || known.status.info.id !== id);
    this.#byAddress.set(address, [...others, { status, home }]);
    return address;
  }

  /** Records that a home no longer reports a process; returns the agent's address. */
  delete(home: string, status: AgentStatus): string {
    const { id, address } = status.info;
    const left = this.#at(address).filter((known) => known.home !== home || known.status.info.id !== id);
    if (left.length === 0) this.#byAddress.delete(address);
    else this.#byAddress.set(address, left);
    if (!left.some((known) => known.status.info.id === id)) this.#appearance.delete(id);
    return address;
  }

  /** The current process at an address, if there is one. */
  best(address: string): AgentCandidate | undefined {
    return this.#at(address).reduce<AgentCandidate | undefined>((best, candidate) => {
      return best === undefined || this.#isLater(candidate, best) ? candidate : best;
    }, undefined);
  }

  #isLater(candidate: AgentCandidate, other: AgentCandidate): boolean {
    const [a, b] = [candidate, other].map(({ status }) => this.#appearance.get(status.info.id)!);
    return a === b ? candidate.status.sequence > other.status.sequence : a > b;
  }

  #at(address: string): AgentCandidate[] {
    return this.#byAddress.get(address) ?? [];
  }
}
