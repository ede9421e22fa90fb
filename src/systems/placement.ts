/**
 * Assigns machines to deployments. Pure: the same deployments, machines and earlier placements give the same result.
 * Machines that already serve a deployment are kept.
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
  /** Address of the machine's agent, which does not change when the process is replaced. */
  address: string;
  place: string;
  pool: string;
  leaving: boolean;
}

/**
 * Machines that are not connected but still in the platform's list: their process is being replaced, or their region is
 * unreachable. They stay assigned, so that a machine that returns can continue with the weights it holds.
 */
export interface MissingMachines {
  /** Missing for a short time only; they still count as replicas. */
  awaited: ReadonlySet<string>;
  /** Missing for longer; other machines serve in their place meanwhile. */
  substituted: ReadonlySet<string>;
}

const NONE_MISSING: MissingMachines = { awaited: new Set(), substituted: new Set() };

/** The machines assigned to a deployment. */
export interface Placement {
  version: Digest;
  /** The version that machines serve until the new one is ready. */
  previousVersion?: Digest;
  /** Addresses of the agents. */
  machines: string[];
}

/** Maximum number of deployments that one machine serves at the same time. */
export const DEPLOYMENTS_PER_MACHINE = 1;

/** Places all deployments in order of decreasing priority. */
export function placeDeployments(
  deployments: readonly DeploymentRow[],
  machines: readonly MachineRow[],
  earlier: ReadonlyMap<string, Placement>,
  missing: MissingMachines = NONE_MISSING,
): Map<string, Placement> {
  const load = new Map<string, number>();
  const placements = new Map<string, Placement>();
  const ordered = [...deployments].sort((a, b) => b.priority - a.priority || (a.name < b.name ? -1 : 1));
  for (const deployment of ordered) {
    const chosen = chooseMachines(deployment, machines, earlier.get(deployment.name), load, missing);
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
  missing: MissingMachines,
): string[] {
  const eligible = machines.filter((machine) => isEligible(deployment, machine, load));
  const byAddress = new Set(eligible.map((machine) => machine.address));
  const assigned = earlier?.machines ?? [];
  const kept = assigned.filter((address) => byAddress.has(address));
  const awaited = assigned.filter((address) => missing.awaited.has(address));
  const others = [...byAddress].filter((address) => !kept.includes(address));
  const counted = [...kept, ...awaited, ...rendezvousOrder(deployment.name, others)];
  const substituted = assigned.filter((address) => missing.substituted.has(address));
  return [...counted.slice(0, deployment.replicas), ...substituted.slice(0, deployment.replicas)];
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
