/**
 * Decides which machines serve which deployment. Pure: the same deployments, machines and earlier placements
 * give the same result, and a machine that serves already is kept.
 */
import type { Digest } from '../model/manifest.js';
import { rendezvousOrder } from '../model/random.js';

/** A deployment as placement sees it. */
export interface DeploymentRow {
  name: string;
  version: Digest;
  pool: string;
  places: readonly string[];
  replicas: number;
  priority: number;
}

/** A machine as placement sees it. */
export interface MachineRow {
  /** Address of the machine's agent; stays the same when the process is replaced. */
  address: string;
  place: string;
  pool: string;
  leaving: boolean;
}

/** Where a deployment is served. */
export interface Placement {
  version: Digest;
  /** The version that machines serve until the new one is ready. */
  previousVersion?: Digest;
  /** Addresses of the agents. */
  machines: string[];
}

/** Deployments that one machine serves at the same time. */
export const DEPLOYMENTS_PER_MACHINE = 1;

/** Places all deployments, those of higher priority first. */
export function placeDeployments(
  deployments: readonly DeploymentRow[],
  machines: readonly MachineRow[],
  earlier: ReadonlyMap<string, Placement>,
): Map<string, Placement> {
  const load = new Map<string, number>();
  const placements = new Map<string, Placement>();
  const ordered = [...deployments].sort((a, b) => b.priority - a.priority || (a.name < b.name ? -1 : 1));
  for (const deployment of ordered) {
    const chosen = chooseMachines(deployment, machines, earlier.get(deployment.name), load);
    for (const address of chosen) load.set(address, (load.get(address) ?? 0) + 1);
    placements.set(deployment.name, {
      version: deployment.version,
      previousVersion: previousVersion(deployment, earlier.get(deployment.name)),
      machines: chosen.sort(),
    });
  }
  return placements;
}

function previousVersion(deployment: DeploymentRow, earlier: Placement | undefined): Digest | undefined {
  if (earlier === undefined) return undefined;
  return earlier.version === deployment.version ? earlier.previousVersion : earlier.version;
}

function chooseMachines(
  deployment: DeploymentRow,
  machines: readonly MachineRow[],
  earlier: Placement | undefined,
  load: ReadonlyMap<string, number>,
): string[] {
  const eligible = machines.filter((machine) => isEligible(deployment, machine, load));
  const byAddress = new Set(eligible.map((machine) => machine.address));
  const kept = (earlier?.machines ?? []).filter((address) => byAddress.has(address));
  const others = [...byAddress].filter((address) => !kept.includes(address));
  return [...kept, ...rendezvousOrder(deployment.name, others)].slice(0, deployment.replicas);
}

function isEligible(
  deployment: DeploymentRow,
  machine: MachineRow,
  load: ReadonlyMap<string, number>,
): boolean {
  if (machine.leaving || machine.pool !== deployment.pool) return false;
  if (!deployment.places.includes(machine.place)) return false;
  return (load.get(machine.address) ?? 0) < DEPLOYMENTS_PER_MACHINE;
}
