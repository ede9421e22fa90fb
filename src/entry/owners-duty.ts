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
    const dead = await machines.findDead(this.#disconnectedOwners(service, places));
    // Read after the wait, in which agents may have connected or acknowledged a list.
    const row = configuration.row(TABLES.owners, service);
    const next = decideOwners(row?.value as OwnersRow | undefined, this.#candidates(service, places), dead);
    if (next === undefined) return;
    const table = TABLES.owners;
    const key = service;
    await lease.write([{ table, key, revision: row?.revision ?? 0 }], [{ table, key, value: next }]);
  }

  /** Owners of which no agent that may own keys is connected. */
  #disconnectedOwners(service: string, places: readonly string[]): string[] {
    const owners = this.#components.configuration.row(TABLES.owners, service)?.value as OwnersRow | undefined;
    const connected = new Set(this.#candidates(service, places).map(({ address }) => address));
    return (owners?.owners ?? []).filter((address) => !connected.has(address));
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
