/** Decides which agents own the idempotency keys of each service, at the entry that holds the placement lease. */
import { decideOwners, type OwnerCandidate, type OwnersRow } from '../systems/ownership.js';
import type { AgentDirectory } from './agent-directory.js';
import { type Configuration, TABLES } from './configuration.js';
import type { DutyLease } from './duty-lease.js';
import type { MachineWatch } from './machine-watch.js';

export interface OwnersDutyComponents {
  configuration: Configuration;
  directory: AgentDirectory;
  lease: DutyLease;
  machines: MachineWatch;
}

/** The owners duty of one entry. Must be run only while the lease is held. */
export class OwnersDuty {
  readonly #components: OwnersDutyComponents;

  constructor(components: OwnersDutyComponents) {
    this.#components = components;
  }

  /** Writes the owners' lists that should change. */
  async review(): Promise<void> {
    for (const { value } of this.#components.configuration.services()) {
      await this.#reviewService(value.metadata.name, value.spec.places);
    }
  }

  async #reviewService(service: string, places: readonly string[]): Promise<void> {
    const { configuration, lease, machines } = this.#components;
    const row = configuration.row(TABLES.owners, service);
    const owners = row?.value as OwnersRow | undefined;
    const candidates = this.#candidates(service, places);
    const connected = new Set(candidates.map((candidate) => candidate.address));
    const disconnected = (owners?.owners ?? []).filter((address) => !connected.has(address));
    const next = decideOwners(owners, candidates, await machines.findDead(disconnected));
    if (next === undefined) return;
    const table = TABLES.owners;
    const key = service;
    await lease.write([{ table, key, revision: row?.revision ?? 0 }], [{ table, key, value: next }]);
  }

  #candidates(service: string, places: readonly string[]): OwnerCandidate[] {
    const rows = [...this.#components.directory.rows.values()].filter(({ status }) => {
      return status.backEnd === 'service' && status.pool === service && places.includes(status.info.place);
    });
    return rows.map(({ status }) => ({
      address: status.info.address,
      leaving: status.leaving,
      acknowledgedEpoch: status.ownership?.movesAcknowledged ? status.ownership.epoch : undefined,
    }));
  }
}
