/** What the benches ask of a running system: the stand-ins' audits first, the agents' own counters second. */
import { randomUUID } from 'node:crypto';
import { setTimeout as pause } from 'node:timers/promises';
import type { WeightsAudit } from '../../emulator/engine/weights.js';
import type { ExchangeCounters } from '../../src/agent/exchange.js';
import type { EngineState } from '../../src/engine/engine-client.js';
import type { TrafficCounters } from '../../src/protocol/connection.js';
import type { ApplyAnswer } from '../../src/resources/resource-api.js';
import { API_VERSION } from '../../src/resources/schemas.js';
import type { Objective } from '../../src/systems/distribution/transfer.js';
import type { Cluster, StartedAgent } from './cluster.js';

const START_TIMEOUT = 30_000;
const POLL_INTERVAL = 100;
const CALL_TIMEOUT = 2_000;

/** Tenant and model of the benches' deployments. */
export const BENCH_TENANT = 'bench';

/** A deployment to declare. */
export interface DeploymentPlan {
  name: string;
  pool: string;
  places: string[];
  replicas: number;
  version: string;
  objective: Objective;
  priority?: number;
  tenant?: string;
}

/** Declares a deployment at the first entry; the model has the deployment's name. */
export async function applyDeployment(cluster: Cluster, plan: DeploymentPlan): Promise<number> {
  const { name, pool, places, replicas, version, objective, priority = 0, tenant = BENCH_TENANT } = plan;
  const spec = { tenant, model: name, version, pool, places, replicas, priority, objective };
  return applyResources(cluster, [
    { apiVersion: API_VERSION, kind: 'ModelDeployment', metadata: { name }, spec },
  ]);
}

/** Declares resources at the first entry; returns the revision. */
export async function applyResources(cluster: Cluster, resources: object[]): Promise<number> {
  const body = JSON.stringify({
    operationId: randomUUID(),
    resources: resources.map((resource) => ({ resource })),
    deletes: [],
  });
  const url = `http://${cluster.entry.callers}/apis/v1/apply`;
  const answer = (await (await fetch(url, { method: 'POST', body })).json()) as ApplyAnswer;
  if (answer.type !== 'accepted') throw new Error(`not accepted: ${JSON.stringify(answer)}`);
  return answer.revision;
}

/** Waits until the first entry knows all agents. */
export async function waitForAgents(cluster: Cluster): Promise<void> {
  const endsAt = performance.now() + START_TIMEOUT;
  while (performance.now() < endsAt) {
    const status = await getJson<{ agents: unknown[] }>(`http://${cluster.entry.callers}/status`);
    if ((status?.agents.length ?? 0) >= cluster.agents.length) return;
    await pause(POLL_INTERVAL);
  }
  throw new Error('not all agents have reported');
}

/** What an engine's stand-in says of itself. */
export function engineState(agent: StartedAgent): Promise<EngineState | undefined> {
  return getJson<EngineState>(`http://${agent.backEnd}/v1/state`);
}

/** Control bytes of each agent so far, sent and received, as the agents count them. */
export async function agentTraffic(agents: readonly StartedAgent[]): Promise<Map<StartedAgent, number>> {
  const traffic = new Map<StartedAgent, number>();
  for (const agent of agents) {
    const status = await agentStatus(agent);
    if (status !== undefined) traffic.set(agent, status.traffic.controlSent + status.traffic.controlReceived);
  }
  return traffic;
}

/** Bytes between regions (as the agents count them) and partial loads (as the engines' audits tell). */
export async function exchangeCounters(
  agents: readonly StartedAgent[],
): Promise<{ crossRegionBytes: number; corruptChunks: number; partialLoads: number }> {
  const sum = { crossRegionBytes: 0, corruptChunks: 0, partialLoads: 0 };
  for (const agent of agents) {
    const status = await agentStatus(agent);
    const audit = await getJson<{ weights: WeightsAudit }>(`http://${agent.backEnd}/audit`);
    sum.crossRegionBytes += status?.exchange.crossRegionBytes ?? 0;
    sum.corruptChunks += status?.exchange.corruptChunks ?? 0;
    sum.partialLoads += audit?.weights.partialLoads ?? 0;
  }
  return sum;
}

function agentStatus(
  agent: StartedAgent,
): Promise<{ traffic: TrafficCounters; exchange: ExchangeCounters } | undefined> {
  return getJson(`http://${agent.operators}/status`);
}

/** The JSON at `url`, or undefined when there is no answer. */
export async function getJson<T>(url: string): Promise<T | undefined> {
  try {
    const answer = await fetch(url, { signal: AbortSignal.timeout(CALL_TIMEOUT) });
    return (await answer.json()) as T;
  } catch {
    return undefined;
  }
}
