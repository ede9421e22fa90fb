/** Progress of deployments, as shown by `thistleway status` and awaited by `thistleway apply --wait`. */
import type { AgentDirectory } from '../entry/agent-directory.js';
import type { Configuration } from '../entry/configuration.js';
import type { ModelDeployment } from './schemas.js';

/** Progress of one deployment. */
export interface DeploymentStatus {
  name: string;
  /** Revision of the declaration. */
  revision: number;
  version: string;
  replicasWanted: number;
  /** Number of machines that the placement has chosen. */
  replicasPlaced: number;
  /** Number of chosen machines whose engine reports exactly this version as loaded. */
  replicasReady: number;
  /** Bytes of the version in the memory of the chosen machines, and the bytes that they need. */
  bytesHeld: number;
  bytesNeeded: number;
  /** What the deployment is waiting for; empty if it is complete. */
  waitsFor: string;
}

/** Computes the progress of a deployment from the state known to this entry. */
export function deploymentStatus(
  deployment: { value: ModelDeployment; revision: number },
  configuration: Configuration,
  directory: AgentDirectory,
): DeploymentStatus {
  const { metadata, spec } = deployment.value;
  const placement = configuration.placement(metadata.name)?.value;
  const machines = new Set(placement?.version === spec.version ? placement.machines : []);
  const agents = [...directory.rows.values()].filter((row) => machines.has(row.status.info.address));
  const progress = agents.flatMap((row) => row.status.versions.filter((row) => row.version === spec.version));
  const ready = progress.filter((row) => row.ready);
  const status = {
    name: metadata.name,
    revision: deployment.revision,
    version: spec.version,
    replicasWanted: spec.replicas,
    replicasPlaced: machines.size,
    replicasReady: ready.length,
    bytesHeld: progress.reduce((sum, row) => sum + (row.ready ? row.bytesTotal : row.bytesHeld), 0),
    bytesNeeded: progress.reduce((sum, row) => sum + row.bytesTotal, 0),
  };
  const problem = progress.find((row) => row.problem !== '')?.problem;
  return { ...status, waitsFor: waitsFor(status, problem) };
}

function waitsFor(status: Omit<DeploymentStatus, 'waitsFor'>, problem: string | undefined): string {
  if (status.replicasReady >= status.replicasWanted) return '';
  if (status.replicasPlaced === 0) return 'placement on machines';
  if (problem !== undefined) return `a machine's problem to be solved: ${problem}`;
  if (status.bytesHeld < status.bytesNeeded || status.bytesNeeded === 0)
    return 'weights to reach the machines';
  if (status.replicasPlaced < status.replicasWanted) return 'more machines in the allowed places';
  return 'engines to load the version';
}
