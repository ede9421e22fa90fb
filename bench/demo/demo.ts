/** `thistleway demo`: both users' systems on this machine, one after the other: a burst, then requests. */
import { setTimeout as pause } from 'node:timers/promises';
import type { DeploymentStatus } from '../../src/resources/deployment-status.js';
import { burstBoundSeconds, MACHINE_COPIES_PER_WINDOW, ORIGIN_COPIES_PER_WINDOW } from '../burst-bound.js';
import { Caller, type CallerCounts } from '../processes/caller.js';
import { Cluster } from '../processes/cluster.js';
import { applyResources, getJson, waitForAgents } from '../processes/observation.js';
import { ampervilla, cooperative, type DemoUser, declarationsOf } from './users.js';

const WINDOW_SECONDS = 10;
const BURST_LIMIT_SECONDS = 30;
const PROGRESS_INTERVAL = 250;
const REQUEST_SECONDS = 4;
const REQUEST_INTERVAL = 25;
const SERVICE_CALLS = 20;
const BAR_WIDTH = 30;

/** Where the demonstration writes. */
export interface DemoOutput {
  write(text: string): void;
}

/** Runs the demonstration; returns true when everything came out as promised. */
export async function runDemo(output: DemoOutput): Promise<boolean> {
  let sound = true;
  for (const user of [ampervilla(), cooperative()]) sound = (await demonstrate(user, output)) && sound;
  return sound;
}

async function demonstrate(user: DemoUser, output: DemoOutput): Promise<boolean> {
  const cluster = createCluster(user);
  const { entries, agents } = user;
  output.write(
    `\n${user.name}: ${entries.length} entries and ${agents.length} agents in ${user.places.join(', ')}\n`,
  );
  try {
    await cluster.start();
    await waitForAgents(cluster);
    const seconds = await burst(user, cluster, output);
    if (seconds === undefined) return false;
    return await serve(user, cluster, output);
  } finally {
    cluster.stop();
  }
}

function createCluster(user: DemoUser): Cluster {
  const modelBytes = user.versions[0].bytes;
  return new Cluster({
    entries: user.entries,
    agents: user.agents,
    versions: user.versions,
    originBytesPerSecond: (ORIGIN_COPIES_PER_WINDOW * modelBytes) / WINDOW_SECONDS,
    machineBytesPerSecond: (MACHINE_COPIES_PER_WINDOW * modelBytes) / WINDOW_SECONDS,
    machineDuplex: 'shared',
    weightsMemoryBytes: 2 * modelBytes,
  });
}

async function burst(user: DemoUser, cluster: Cluster, output: DemoOutput): Promise<number | undefined> {
  const { name } = user.deployment.metadata;
  const { replicas, objective } = user.deployment.spec;
  const modelBytes = user.versions[0].bytes;
  const startedAt = performance.now();
  const revision = await applyResources(cluster, declarationsOf(user));
  output.write(`declared at revision ${revision}: ${name} on ${replicas} machines, objective ${objective}\n`);
  while (performance.now() - startedAt < BURST_LIMIT_SECONDS * 1_000) {
    const status = await deploymentOf(cluster, name);
    const seconds = (performance.now() - startedAt) / 1_000;
    if (status !== undefined) output.write(`\r${progressBar(status, seconds)}`);
    if (status?.waitsFor === '') return finishBurst(cluster, output, seconds, replicas, modelBytes);
    await pause(PROGRESS_INTERVAL);
  }
  output.write('\nthe burst did not end in time\n');
  return undefined;
}

async function finishBurst(
  cluster: Cluster,
  output: DemoOutput,
  seconds: number,
  replicas: number,
  modelBytes: number,
): Promise<number> {
  const { originBytes } = await cluster.platformAudit();
  const bound = burstBoundSeconds(replicas, WINDOW_SECONDS, 'shared');
  output.write(`\n${replicas} replicas serve after ${seconds.toFixed(1)} s; `);
  output.write(`lower bound of these links ${bound.toFixed(1)} s; `);
  output.write(`${(originBytes / modelBytes).toFixed(2)} copies drawn from the origin\n`);
  return seconds;
}

async function deploymentOf(cluster: Cluster, name: string): Promise<DeploymentStatus | undefined> {
  const status = await getJson<{ deployments: DeploymentStatus[] }>(
    `http://${cluster.entry.callers}/apis/v1/status`,
  );
  return status?.deployments.find((deployment) => deployment.name === name);
}

function progressBar(status: DeploymentStatus, seconds: number): string {
  const { bytesHeld, bytesNeeded, replicasReady, replicasWanted } = status;
  const share = bytesNeeded === 0 ? 0 : bytesHeld / bytesNeeded;
  const filled = Math.round(BAR_WIDTH * share);
  const bar = `${'#'.repeat(filled)}${'-'.repeat(BAR_WIDTH - filled)}`;
  const percent = `${Math.floor(100 * share)}%`.padStart(4);
  return `[${bar}]${percent} of bytes, ${replicasReady}/${replicasWanted} ready, ${seconds.toFixed(1)} s `;
}

async function serve(user: DemoUser, cluster: Cluster, output: DemoOutput): Promise<boolean> {
  const { model } = user.deployment.spec;
  const found = await getJson<{ entries: Array<{ address: string }>; validSeconds: number }>(
    `http://${cluster.entry.callers}/v1/entries`,
  );
  const addresses = found?.entries.map((entry) => entry.address) ?? [];
  output.write(`callers may use ${addresses.length} entries for ${found?.validSeconds} s\n`);
  const caller = new Caller(addresses, model, user.name);
  caller.start(REQUEST_INTERVAL);
  await pause(REQUEST_SECONDS * 1_000);
  await caller.stop();
  output.write(`${formatCalls(caller.counts)}\n`);
  const services = await callServices(user, addresses);
  output.write(`services: ${services.answered} of ${services.sent} calls answered\n`);
  const { sent, answeredWhole } = caller.counts;
  return sent === answeredWhole && services.sent === services.answered;
}

async function callServices(
  user: DemoUser,
  addresses: string[],
): Promise<{ sent: number; answered: number }> {
  const calls = user.services.flatMap(({ metadata }) =>
    Array.from({ length: SERVICE_CALLS }, async (_, index) => {
      const address = addresses[index % addresses.length];
      const answer = await fetch(`http://${address}/services/${metadata.name}/start`, {
        method: 'POST',
        headers: { 'x-thistleway-tenant': user.name, 'idempotency-key': `demo-${metadata.name}-${index}` },
        body: JSON.stringify({ station: index }),
      });
      await answer.arrayBuffer();
      return answer.ok;
    }),
  );
  const outcomes = await Promise.all(calls);
  return { sent: outcomes.length, answered: outcomes.filter((answered) => answered).length };
}

function formatCalls(counts: CallerCounts): string {
  const { sent, answeredWhole, refusedNotRun, lost, mixedVersions, crossed } = counts;
  return `requests: ${sent} sent, ${answeredWhole} answered whole, ${refusedNotRun} refused as not run, ${lost} lost, ${mixedVersions} of mixed versions, ${crossed} crossed`;
}
