/** All processes of the system are stopped for a while (SIGSTOP), as on a machine that is starved of CPU under heavy load. */
import { resolve } from 'node:path';
import { setTimeout as pause } from 'node:timers/promises';
import { afterAll, beforeAll, expect, it } from 'vitest';
import { Caller, noCounts } from '../../bench/processes/caller.js';
import { Cluster } from '../../bench/processes/cluster.js';
import { getJson, waitForAgents } from '../../bench/processes/observation.js';
import type { DeploymentStatus } from '../../src/resources/deployment-status.js';
import { until } from '../support.js';

const MODEL_BYTES = 2 ** 18;
const LOCATION = { place: 'place-0', region: 'place-0', zone: 'place-0-a' };
/** Duration of the stop, in milliseconds. Longer than the silence after which a connection is closed. */
const STANDSTILL = 4_500;
/** Tokens per answer and the time per token, in milliseconds: an answer takes 3 s. */
const TOKENS = 100;
const TOKEN_TIME = 30;
const STREAMS = 12;

let cluster: Cluster;

/** Entries and agents; the platform and the engines keep running. */
function systemProcesses(): string[] {
  return [...cluster.entries, ...cluster.agents].map(({ name }) => name);
}

async function declare(version: string): Promise<void> {
  const spec = { tenant: 'bench', model: 'model', version, pool: 'gpu', places: ['place-0'], replicas: 2 };
  const resource = {
    apiVersion: 'thistleway/v1',
    kind: 'ModelDeployment',
    metadata: { name: 'model' },
    spec,
  };
  const body = JSON.stringify({ operationId: 'declare', resources: [{ resource }], deletes: [] });
  await fetch(`http://${cluster.entry.callers}/apis/v1/apply`, { method: 'POST', body });
  // Callers use both entries, and each learns of the agents independently; until then it refuses requests as not run.
  for (const { callers } of cluster.entries) {
    await until(() => isServing(callers, version), `the version on both machines, as ${callers} knows it`);
  }
}

async function isServing(callers: string, version: string): Promise<boolean> {
  const status = await getJson<{ deployments: DeploymentStatus[] }>(`http://${callers}/apis/v1/status`);
  return status?.deployments[0]?.version === version && status.deployments[0].waitsFor === '';
}

/** Starts the streams, stops the system after `startedBefore` milliseconds, and returns the outcomes. */
async function outcomesOfStandstill(startedBefore: number) {
  const caller = new Caller(
    cluster.entries.map(({ callers }) => callers),
    'model',
  );
  for (let stream = 0; stream < STREAMS; stream++) caller.startOne(TOKENS);
  await pause(startedBefore);
  for (const name of systemProcesses()) cluster.processes.kill(name, 'SIGSTOP');
  await pause(STANDSTILL);
  for (const name of systemProcesses()) cluster.processes.kill(name, 'SIGCONT');
  await caller.stop();
  const { byVersion: _, ...outcomes } = caller.counts;
  return outcomes;
}

beforeAll(async () => {
  process.argv[1] = resolve('dist/thistleway.cjs');
  const version = { label: 'first', bytes: MODEL_BYTES, chunkBytes: 2 ** 16, seed: 1 };
  cluster = new Cluster({
    entries: [0, 1].map((index) => ({ name: `entry-${index}`, ...LOCATION })),
    agents: [0, 1].map((index) => ({ name: `agent-${index}`, pool: 'gpu', ...LOCATION })),
    versions: [{ ...version, unchangedShare: 1, changedSeed: 0 }],
    originBytesPerSecond: 8 * MODEL_BYTES,
    machineBytesPerSecond: 8 * MODEL_BYTES,
    machineDuplex: 'shared',
    weightsMemoryBytes: 4 * MODEL_BYTES,
    engine: { stepMilliseconds: TOKEN_TIME },
  });
  await cluster.start();
  await waitForAgents(cluster);
  await declare(cluster.versions[0].version);
});

afterAll(() => {
  for (const name of systemProcesses()) cluster.processes.kill(name, 'SIGCONT');
  cluster.stop();
});

const { byVersion: _, ...NO_OUTCOMES } = noCounts();
const ALL_COMPLETE = { ...NO_OUTCOMES, sent: STREAMS, answeredWhole: STREAMS };

it('truncates no answer when all processes are stopped for a while', async () => {
  expect(await outcomesOfStandstill(1_000)).toEqual(ALL_COMPLETE);
});

it('refuses no request that is being accepted when all processes are stopped for a while', async () => {
  expect(await outcomesOfStandstill(12)).toEqual(ALL_COMPLETE);
});
