/** `thistleway bench footprint`: processor time, memory and control bytes of real processes, idle and under load. */
import { setTimeout as pause } from 'node:timers/promises';
import { Caller } from './caller.js';
import type { Cluster, StartedAgent } from './cluster.js';
import { getJson } from './observation.js';
import { type ProcessUse, processUse } from './process-use.js';
import { createBenchCluster, declareBenchResources, MODEL } from './request-cluster.js';

const IDLE_SECONDS = 20;
const LOAD_SECONDS = 10;
/** Time after the start that is not measured: code is compiled, and the heap is tidied up. */
const SETTLING = 20_000;
const TOKENS_FEW = 4;
const TOKENS_MANY = 64;

/** Use of one kind of process. */
export interface RoleFootprint {
  /** Resident size at the end, in megabytes (10^6 bytes): the largest process of the role. */
  residentMegabytes: number;
  /** Processor time, in percent of a core, mean over the role's processes. */
  cpuPercent: number;
}

/** What was measured. */
export interface FootprintReport {
  entries: number;
  agents: number;
  idle: { entry: RoleFootprint; engineAgent: RoleFootprint; serviceAgent: RoleFootprint };
  /** Control bytes a second of an agent, sent and received, when idle. */
  idleControlBytesPerAgent: number;
  load: { requestsPerSecond: number; entry: RoleFootprint; engineAgent: RoleFootprint };
  /** Processor time an entry and an agent spend on a request without its tokens, and on each token, in microseconds. */
  entryMicrosecondsPerRequest: number;
  entryMicrosecondsPerToken: number;
  agentMicrosecondsPerRequest: number;
  agentMicrosecondsPerToken: number;
}

interface LoadCost {
  requestsPerSecond: number;
  /** Microseconds of processor time a request, over all processes of the role, less the idle use. */
  entry: number;
  agent: number;
}

/** Measures a system of 3 entries, 6 engines and 3 services. */
export async function measureFootprint(rate: number, seed: number): Promise<FootprintReport> {
  const cluster = createBenchCluster(seed);
  try {
    await cluster.start();
    await declareBenchResources(cluster);
    await pause(SETTLING);
    return await measure(cluster, rate);
  } finally {
    cluster.stop();
  }
}

async function measure(cluster: Cluster, rate: number): Promise<FootprintReport> {
  const engines = cluster.agents.filter((agent) => agent.service === undefined);
  const services = cluster.agents.filter((agent) => agent.service !== undefined);
  const names = {
    entry: cluster.entries.map((entry) => entry.name),
    engineAgent: engines.map((agent) => agent.name),
    serviceAgent: services.map((agent) => agent.name),
  };
  const controlBefore = await controlBytes(engines);
  const idle = await during(cluster, names, IDLE_SECONDS, () => pause(IDLE_SECONDS * 1_000));
  const controlAfter = await controlBytes(engines);
  const few = await loadCost(cluster, names, idle, rate, TOKENS_FEW);
  const many = await loadCost(cluster, names, idle, rate, TOKENS_MANY);
  const perToken = (role: 'entry' | 'agent') =>
    (many.cost[role] - few.cost[role]) / (TOKENS_MANY - TOKENS_FEW);
  const perRequest = (role: 'entry' | 'agent') => few.cost[role] - perToken(role) * TOKENS_FEW;
  return {
    entries: names.entry.length,
    agents: cluster.agents.length,
    idle,
    idleControlBytesPerAgent: Math.round((controlAfter - controlBefore) / IDLE_SECONDS / engines.length),
    load: {
      requestsPerSecond: few.cost.requestsPerSecond,
      entry: many.use.entry,
      engineAgent: many.use.engineAgent,
    },
    entryMicrosecondsPerRequest: Math.round(perRequest('entry')),
    entryMicrosecondsPerToken: Math.round(perToken('entry')),
    agentMicrosecondsPerRequest: Math.round(perRequest('agent')),
    agentMicrosecondsPerToken: Math.round(perToken('agent')),
  };
}

type RoleNames = Record<'entry' | 'engineAgent' | 'serviceAgent', string[]>;
type RoleUse = Record<'entry' | 'engineAgent' | 'serviceAgent', RoleFootprint>;

/** Use of each role while `run` goes on, which takes `seconds`. */
async function during(
  cluster: Cluster,
  names: RoleNames,
  seconds: number,
  run: () => Promise<void>,
): Promise<RoleUse> {
  const before = cpuSeconds(cluster, names);
  await run();
  const after = cpuSeconds(cluster, names);
  const use = (role: keyof RoleNames): RoleFootprint => ({
    residentMegabytes: Math.max(...names[role].map((name) => useOf(cluster, name).residentMegabytes)),
    cpuPercent: Math.round(((after[role] - before[role]) / seconds / names[role].length) * 10_000) / 100,
  });
  return { entry: use('entry'), engineAgent: use('engineAgent'), serviceAgent: use('serviceAgent') };
}

async function loadCost(
  cluster: Cluster,
  names: RoleNames,
  idle: RoleUse,
  rate: number,
  tokens: number,
): Promise<{ use: RoleUse; cost: LoadCost }> {
  const addresses = cluster.entries.map((entry) => entry.callers);
  const caller = new Caller(addresses, MODEL);
  const use = await during(cluster, names, LOAD_SECONDS, async () => {
    for (let number = 0; number < rate * LOAD_SECONDS; number++) {
      caller.startOne(tokens);
      await pause(1_000 / rate);
    }
  });
  await caller.stop();
  const requests = caller.counts.answeredWhole;
  const microseconds = (role: 'entry' | 'engineAgent') => {
    const cores = (use[role].cpuPercent - idle[role].cpuPercent) / 100;
    return (cores * LOAD_SECONDS * names[role].length * 1_000_000) / requests;
  };
  const cost = {
    requestsPerSecond: Math.round(requests / LOAD_SECONDS),
    entry: microseconds('entry'),
    agent: microseconds('engineAgent'),
  };
  return { use, cost };
}

function cpuSeconds(cluster: Cluster, names: RoleNames): Record<keyof RoleNames, number> {
  const sum = (role: keyof RoleNames) =>
    names[role].reduce((total, name) => total + useOf(cluster, name).cpuSeconds, 0);
  return { entry: sum('entry'), engineAgent: sum('engineAgent'), serviceAgent: sum('serviceAgent') };
}

function useOf(cluster: Cluster, name: string): ProcessUse {
  return processUse(cluster.processes.get(name).pid);
}

async function controlBytes(agents: readonly StartedAgent[]): Promise<number> {
  let bytes = 0;
  for (const agent of agents) {
    const status = await getJson<{ traffic: { controlSent: number; controlReceived: number } }>(
      `http://${agent.operators}/status`,
    );
    bytes += (status?.traffic.controlSent ?? 0) + (status?.traffic.controlReceived ?? 0);
  }
  return bytes;
}
