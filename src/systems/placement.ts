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

/**
 * Machines out of sight that the platform's list does not give up: their processes are replaced, or a region cannot be
 * reached. They stay assigned, so that whoever comes back goes on with what it has.
 */
export interface MissingMachines {
  /** Missing for so short a time that they still count as replicas. */
  awaited: ReadonlySet<string>;
  /** Missing for longer: others serve in their place meanwhile. */
  substituted: ReadonlySet<string>;
}

const NONE_MISSING: MissingMachines = { awaited: new Set(), substituted: new Set() };

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
