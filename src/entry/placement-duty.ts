/** Decides the placement of deployments on machines, at the entry that holds the duty's lease. */
import type { Timeline } from '../observability/timeline.js';
import {
  type DeploymentRow,
  type MachineRow,
  type MissingMachines,
  type Placement,
  placeDeployments,
} from '../systems/placement.js';
import type { AgentDirectory } from './agent-directory.js';
import { type Configuration, TABLES } from './configuration.js';
import type { DutyLease } from './duty-lease.js';
import type { MachineWatch } from './machine-watch.js';

/** Time after the start, in milliseconds, after which the known machines are assumed to be complete. */
const SETTLING_TIME = 1_500;
/** Time to wait for a disconnected machine before another is used in its place, in milliseconds. */
const SUBSTITUTION_DELAY = 8_000;

export interface PlacementDutyComponents {
  configuration: Configuration;
  directory: AgentDirectory;
  lease: DutyLease;
  timeline: Timeline;
  machines: MachineWatch;
}

/** The placement duty of one entry. Must be run only while the lease is held. */
export class PlacementDuty {
  readonly #components: PlacementDutyComponents;
  readonly #startedAt = performance.now();
  /** When each missing assigned machine was first found missing. */
  readonly #missingSince = new Map<string, number>();

  constructor(components: PlacementDutyComponents) {
    this.#components = components;
  }

  /** Writes the placements that should change. */
  async review(): Promise<void> {
    // An entry that has just started knows few machines, and must not treat the others as gone.
    if (performance.now() - this.#startedAt < SETTLING_TIME) return;
    const { configuration } = this.#components;
    const earlier = new Map<string, Placement>();
    for (const row of configuration.rows(TABLES.placements)) earlier.set(row.key, row.value as Placement);
    const machines = this.#machines();
    const missing = await this.#missing(machines, earlier);
    const placements = placeDeployments(this.#deployments(), machines, earlier, missing);
    for (const [deployment, placement] of placements) await this.#write(deployment, placement);
    for (const deployment of earlier.keys()) {
      if (!placements.has(deployment)) await this.#write(deployment, undefined);
    }
  }

  /** The assigned machines that are disconnected but not dead according to the platform's machine list. */
  async #missing(
    machines: readonly MachineRow[],
    earlier: ReadonlyMap<string, Placement>,
  ): Promise<MissingMachines> {
    const seen = new Set(machines.map(({ address }) => address));
    const assigned = [...earlier.values()].flatMap((placement) => placement.machines);
    const unseen = assigned.filter((address) => !seen.has(address));
    for (const address of this.#missingSince.keys()) {
      if (!unseen.includes(address)) this.#missingSince.delete(address);
    }
    const dead = await this.#components.machines.findDead(unseen);
    const now = performance.now();
    const missing = { awaited: new Set<string>(), substituted: new Set<string>() };
    for (const address of unseen.filter((candidate) => !dead.has(candidate))) {
      const since = this.#missingSince.get(address) ?? now;
      this.#missingSince.set(address, since);
      if (now - since < SUBSTITUTION_DELAY) missing.awaited.add(address);
      else missing.substituted.add(address);
    }
    return missing;
  }

  #deployments(): DeploymentRow[] {
    return this.#components.configuration.deployments().map(({ value }) => {
      const { version, pool, places, replicas, priority } = value.spec;
      return { name: value.metadata.name, version, pool, places, replicas, priority };
    });
  }

  #machines(): MachineRow[] {
    const engines = [...this.#components.directory.rows.values()].filter(
      (row) => row.status.backEnd === 'engine',
    );
    return engines.map(({ status }) => ({
      address: status.info.address,
      place: status.info.place,
      pool: status.pool,
      leaving: status.leaving,
    }));
  }

  async #write(deployment: string, placement: Placement | undefined): Promise<void> {
    const { configuration, lease, timeline } = this.#components;
    const row = configuration.row(TABLES.placements, deployment);
    if (row !== undefined && JSON.stringify(row.value) === JSON.stringify(placement)) return;
    if (placement !== undefined) {
      const { version, machines } = placement;
      timeline.record({ type: 'placementDecided', deployment, version, agents: machines.length });
    }
    const table = TABLES.placements;
    const key = deployment;
    await lease.write(
      [{ table, key, revision: row?.revision ?? 0 }],
      [{ table, key, value: placement ?? null }],
    );
  }
}
