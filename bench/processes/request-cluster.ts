/** The system that the benches of the request path run on. */
import { setTimeout as pause } from 'node:timers/promises';
import type { AgentStatus } from '../../src/protocol/messages.js';
import { API_VERSION } from '../../src/resources/schemas.js';
import { Cluster, type StartedAgent } from './cluster.js';
import {
  applyDeployment,
  applyResources,
  BENCH_TENANT,
  engineState,
  getJson,
  waitForAgents,
} from './observation.js';

/** Name of the deployed model. */
export const MODEL = 'model';
/** Name of the plain service. */
export const SERVICE = 'control';
const PLACES = ['place-0', 'place-1', 'place-2'];
const ENGINES = 6;
const SERVICES = 3;
const MODEL_BYTES = 2 ** 20;
const LIFETIME_SECONDS = 3;

/**
 * Three entries, six engines and three agents of a plain service, in three places. With `cuttable`, an entry, an engine
 * and a service are reached through links of this process, which cost time of their own.
 */
export function createBenchCluster(seed: number, cuttable = false): Cluster {
  const location = (index: number) => {
    const place = PLACES[index % PLACES.length];
    return { place, region: place, zone: `${place}-a` };
  };
  return new Cluster({
    entries: [0, 1, 2].map((index) => ({
      name: `entry-${index}`,
      cuttable: cuttable && index === 1,
      ...location(index),
    })),
    agents: [
      ...Array.from({ length: ENGINES }, (_, index) => ({
        name: `engine-${index}`,
        pool: 'gpu',
        cuttable: cuttable && index === 0,
        ...location(index),
      })),
      ...Array.from({ length: SERVICES }, (_, index) => ({
        name: `control-${index}`,
        service: SERVICE,
        cuttable: cuttable && index === 0,
        ...location(index),
      })),
    ],
    versions: [
      { label: 'first', bytes: MODEL_BYTES, chunkBytes: 2 ** 16, seed, unchangedShare: 1, changedSeed: 0 },
    ],
    originBytesPerSecond: 8 * MODEL_BYTES,
    machineBytesPerSecond: 4 * MODEL_BYTES,
    machineDuplex: 'shared',
    weightsMemoryBytes: 4 * MODEL_BYTES,
    engine: { stepMilliseconds: 15 },
    addressLifetimeSeconds: LIFETIME_SECONDS,
  });
}

/** Declares model and service, and returns when all engines serve and all keys have owners. */
export async function declareBenchResources(cluster: Cluster): Promise<void> {
  await waitForAgents(cluster);
  const spec = { tenant: BENCH_TENANT, places: PLACES, repeatable: ['/look'] };
  await applyResources(cluster, [
    { apiVersion: API_VERSION, kind: 'Service', metadata: { name: SERVICE }, spec },
  ]);
  const { version } = cluster.versions[0];
  await applyDeployment(cluster, {
    name: MODEL,
    pool: 'gpu',
    places: PLACES,
    replicas: ENGINES,
    version,
    objective: 'fastest',
  });
  const engines = enginesOf(cluster);
  for (;;) {
    const states = await Promise.all(engines.map(engineState));
    const ready = states.every((state) => state?.versions.some((row) => row.loadedDigest === version));
    if (ready && (await ownersSettled(cluster)) && (await entriesKnow(cluster, version))) return;
    await pause(100);
  }
}

/** True once every entry knows of all replicas that they are ready. */
async function entriesKnow(cluster: Cluster, version: string): Promise<boolean> {
  for (const entry of cluster.entries) {
    const status = await getJson<{ agents: AgentStatus[] }>(`http://${entry.callers}/status`);
    const ready = (status?.agents ?? []).filter((agent) =>
      agent.versions.some((row) => row.version === version && row.ready),
    );
    if (ready.length < ENGINES) return false;
  }
  return true;
}

/** True once every service agent follows a list of owners. */
async function ownersSettled(cluster: Cluster): Promise<boolean> {
  for (const agent of servicesOf(cluster)) {
    const status = await getJson<{ ownership?: { heldFor: number } }>(`http://${agent.operators}/status`);
    if ((status?.ownership?.heldFor ?? 0) < 1_000) return false;
  }
  return true;
}

/** The agents before engines. */
export function enginesOf(cluster: Cluster): StartedAgent[] {
  return cluster.agents.filter((agent) => agent.service === undefined);
}

/** The agents before the plain service. */
export function servicesOf(cluster: Cluster): StartedAgent[] {
  return cluster.agents.filter((agent) => agent.service !== undefined);
}
