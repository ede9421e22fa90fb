/**
 * Which process stands at an agent's address, and what it said last. An agent may be named by several homes while
 * it moves from one to another, and a replaced process by a home that has not noticed yet: of processes the one
 * that appeared last counts, of the statuses of one process the one with the highest sequence.
 */
import type { AgentStatus } from '../../protocol/messages.js';

/** What one home says of an agent. */
export interface AgentCandidate {
  status: AgentStatus;
  /** Identity of the home entry. */
  home: string;
}

/** All that homes say of agents, by the agents' addresses. */
export class AgentCandidates {
  readonly #byAddress = new Map<string, AgentCandidate[]>();
  /** Order in which processes appeared here. */
  readonly #appearance = new Map<string, number>();
  #appeared = 0;

  /** Notes what a home says; returns the agent's address. */
  set(home: string, status: AgentStatus): string {
    const { id, address } = status.info;
    if (!this.#appearance.has(id)) this.#appearance.set(id, ++this.#appeared);
    const others = this.#at(address).filter((known) => known.home !== home || known.status.info.id !== id);
    this.#byAddress.set(address, [...others, { status, home }]);
    return address;
  }

  /** Notes that a home says nothing of a process any more; returns the agent's address. */
  delete(home: string, status: AgentStatus): string {
    const { id, address } = status.info;
    const left = this.#at(address).filter((known) => known.home !== home || known.status.info.id !== id);
    if (left.length === 0) this.#byAddress.delete(address);
    else this.#byAddress.set(address, left);
    if (!left.some((known) => known.status.info.id === id)) this.#appearance.delete(id);
    return address;
  }

  /** Who counts at an address, if anybody does. */
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
