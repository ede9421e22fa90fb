/** `thistleway bench config`: configuration changes at size, hollow processes beside real ones. */
import { randomUUID } from 'node:crypto';
import { setTimeout as pause } from 'node:timers/promises';
import type { PlatformAudit } from '../../emulator/platform/platform.js';
import { type Random, seededRandom } from '../../src/model/random.js';
import type { ApplyAnswer } from '../../src/resources/resource-api.js';
import { API_VERSION } from '../../src/resources/schemas.js';
import { getJson } from '../processes/observation.js';
import type { ProcessUse } from '../processes/process-use.js';
import type { ConfigFault } from './config-faults.js';
import type { HollowObservations } from './hollow-host.js';
import { ScaleCluster } from './scale-cluster.js';

/** What to run. */
export interface ConfigBenchInit {
  entries: number;
  agents: number;
  /** Changes to declare. */
  changes: number;
  seed: number;
  fault?: ConfigFault;
}

/** What came out. */
export interface ConfigReport {
  faults: string;
  entries: number;
  agents: number;
  /** Cold start of everything at once until every entry knows all entries and agents. */
  coldStartSeconds: number;
  changes: { sent: number; accepted: number; refused: number };
  /** From the operator's answer until in force at each entry, and at each agent concerned. */
  inForceSeconds: { p50: number; p99: number; max: number };
  inForceSecondsAgents: { p50: number; p99: number; max: number };
  /** Pairs of an accepted change and a process at which it never came into force. */
  acceptedLost: number;
  reverts: number;
  /** Entries that answered operators with an older revision than one accepted before they started. */
  servedOlder: number;
  storeReadsPerSecond: number;
  storeWritesPerSecond: number;
  controlBytesPerSecondPerNode: { entryMean: number; entryMax: number; agentMean: number; agentMax: number };
  controlCpuCorePercentPerNode: { entry: number; agent: number };
  residentMegabytesEntry: number;
  residentMegabytesAgent: number;
}

/** A change that an operator was told is in force. */
interface AcceptedChange {
  name: string;
  revision: number;
  at: number;
  reachesAgents: boolean;
}

const IDLE_SECONDS = 20;
const CHANGE_INTERVAL = 500;
/** Time after the last change in which it has to come into force everywhere, in milliseconds. */
const GRACE = 12_000;
/** A digest that no engine is asked to load: hollow agents have none. */
const VERSION = 'ab'.repeat(32);

/** Runs the bench. */
export async function runConfigBench(init: ConfigBenchInit): Promise<ConfigReport> {
  const cluster = new ScaleCluster(init);
  try {
    const coldStartSeconds = await cluster.start();
    await declareAll(cluster);
    await pause(GRACE);
    const idle = await measureIdle(cluster);
    const random = seededRandom(init.seed);
    const fault = init.fault?.inject(cluster);
    const { accepted, refused } = await sendChanges(cluster, init.changes, random);
    await fault;
    await pause(GRACE);
    const observed = await cluster.observe();
    return {
      faults: init.fault?.name ?? 'none',
      entries: init.entries,
      agents: init.agents,
      coldStartSeconds,
      changes: { sent: init.changes, accepted: accepted.length, refused },
      ...judge(cluster, accepted, observed),
      reverts: observed.reduce((sum, { reverts }) => sum + reverts, 0),
      servedOlder: cluster.servedOlder,
      ...idle,
    };
  } finally {
    cluster.stop();
  }
}

function tenantResource(name: string, inProgress: number): object {
  return { apiVersion: API_VERSION, kind: 'Tenant', metadata: { name }, spec: { limits: { inProgress } } };
}

function deploymentResource(zone: string, place: string, priority: number, replicas: number): object {
  const spec = {
    tenant: 'bench',
    model: zone,
    version: VERSION,
    pool: zone,
    places: [place],
    replicas,
    priority,
  };
  return { apiVersion: API_VERSION, kind: 'ModelDeployment', metadata: { name: zone }, spec };
}

/** One deployment for each zone's agents. */
function deploymentsOf(cluster: ScaleCluster, priority: number): object[] {
  return cluster.plan.zones.map((zone) => {
    const ofZone = cluster.plan.agents.filter((agent) => agent.zone === zone);
    const place = cluster.plan.entries.find((entry) => entry.zone === zone)!.region;
    return deploymentResource(zone, place, priority, Math.max(1, ofZone.length));
  });
}

async function declareAll(cluster: ScaleCluster): Promise<void> {
  const resources = [tenantResource('bench', 100), ...deploymentsOf(cluster, 0)];
  const answer = await apply(cluster.operatorEntry(0), resources);
  if (answer?.type !== 'accepted') throw new Error(`not accepted: ${JSON.stringify(answer)}`);
}

async function apply(entry: string, resources: object[]): Promise<ApplyAnswer | undefined> {
  const operationId = randomUUID();
  const body = JSON.stringify({
    operationId,
    resources: resources.map((resource) => ({ resource })),
    deletes: [],
  });
  try {
    const signal = AbortSignal.timeout(10_000);
    const answer = await fetch(`http://${entry}/apis/v1/apply`, { method: 'POST', body, signal });
    const told = (await answer.json()) as ApplyAnswer;
    return told.type === 'unknown' ? await settle(entry, operationId) : told;
  } catch {
    return undefined;
  }
}

/** Asks what became of an operation whose outcome is not known. */
async function settle(entry: string, operationId: string): Promise<ApplyAnswer | undefined> {
  for (let attempt = 0; attempt < 10; attempt++) {
    const url = `http://${entry}/apis/v1/operations/${operationId}/resolve`;
    const answer = await fetch(url, { method: 'POST' });
    const told = (await answer.json()) as { type: string; revision: number };
    if (told.type === 'accepted') return { type: 'accepted', revision: told.revision };
    if (told.type === 'notAccepted') return undefined;
    await pause(1_000);
  }
  return undefined;
}

async function sendChanges(
  cluster: ScaleCluster,
  count: number,
  random: Random,
): Promise<{ accepted: AcceptedChange[]; refused: number }> {
  const accepted: AcceptedChange[] = [];
  let refused = 0;
  for (let number = 0; number < count; number++) {
    const reachesAgents = number % 2 === 1;
    const deployments = deploymentsOf(cluster, 1 + number);
    const zone = random.below(deployments.length);
    const change = reachesAgents ? deployments[zone] : tenantResource('bench', 100 + number);
    const answer = await apply(cluster.operatorEntry(number), [change]);
    if (answer?.type === 'accepted') {
      const name = reachesAgents ? cluster.plan.zones[zone] : 'bench';
      accepted.push({ name, revision: answer.revision, at: Date.now(), reachesAgents });
      cluster.noteAccepted(answer.revision);
    } else refused++;
    await pause(CHANGE_INTERVAL);
  }
  return { accepted, refused };
}

async function measureIdle(cluster: ScaleCluster) {
  const before = { bytes: await controlBytes(cluster), use: cluster.realUse(), audit: await audit(cluster) };
  await pause(IDLE_SECONDS * 1_000);
  const after = { bytes: await controlBytes(cluster), use: cluster.realUse(), audit: await audit(cluster) };
  const rates = (role: 'entry' | 'agent') => {
    const nodes = [...after.bytes[role]].map(
      ([name, bytes]) => (bytes - (before.bytes[role].get(name) ?? 0)) / IDLE_SECONDS,
    );
    const mean = nodes.reduce((sum, rate) => sum + rate, 0) / Math.max(1, nodes.length);
    return { mean: Math.round(mean), max: Math.round(Math.max(0, ...nodes)) };
  };
  const [entry, agent] = [rates('entry'), rates('agent')];
  const use = (role: 'entry' | 'agent') => cpuPercent(before.use[role], after.use[role]);
  const perSecond = (field: 'tableReads' | 'tableWrites') =>
    Math.round(((after.audit[field] - before.audit[field]) / IDLE_SECONDS) * 10) / 10;
  return {
    storeReadsPerSecond: perSecond('tableReads'),
    storeWritesPerSecond: perSecond('tableWrites'),
    controlBytesPerSecondPerNode: {
      entryMean: entry.mean,
      entryMax: entry.max,
      agentMean: agent.mean,
      agentMax: agent.max,
    },
    controlCpuCorePercentPerNode: { entry: use('entry'), agent: use('agent') },
    residentMegabytesEntry: Math.max(...after.use.entry.map(({ residentMegabytes }) => residentMegabytes)),
    residentMegabytesAgent: Math.max(...after.use.agent.map(({ residentMegabytes }) => residentMegabytes)),
  };
}

function cpuPercent(before: readonly ProcessUse[], after: readonly ProcessUse[]): number {
  const seconds = after.reduce((sum, use, index) => sum + use.cpuSeconds - before[index].cpuSeconds, 0);
  return Math.round((seconds / IDLE_SECONDS / Math.max(1, after.length)) * 10_000) / 100;
}

async function audit(cluster: ScaleCluster): Promise<PlatformAudit> {
  return (await getJson<PlatformAudit>(`http://${cluster.platform}/audit`))!;
}

async function controlBytes(
  cluster: ScaleCluster,
): Promise<{ entry: Map<string, number>; agent: Map<string, number> }> {
  const observed = await cluster.observe();
  const bytes = (rows: HollowObservations['agents']) =>
    rows.map(({ name, controlBytes }): [string, number] => [name, controlBytes]);
  return {
    entry: new Map(observed.flatMap(({ entries }) => bytes(entries))),
    agent: new Map(observed.flatMap(({ agents }) => bytes(agents))),
  };
}

/** When each accepted change came into force at each process that it concerns. */
function judge(
  cluster: ScaleCluster,
  accepted: readonly AcceptedChange[],
  observed: readonly HollowObservations[],
): Pick<ConfigReport, 'inForceSeconds' | 'inForceSecondsAgents' | 'acceptedLost'> {
  const latencies = { entry: [] as number[], agent: [] as number[] };
  let lost = 0;
  const hosted = observed.reduce((sum, { entries }) => sum + entries.length, 0);
  for (const change of accepted) {
    const rows = observed
      .flatMap(({ inForce }) => inForce)
      .filter(({ name, revision }) => name === change.name && revision === change.revision);
    for (const { at, role } of rows) latencies[role].push(Math.max(0, at - change.at) / 1_000);
    const missing = (role: 'entry' | 'agent', wanted: number) =>
      Math.max(0, wanted - rows.filter((row) => row.role === role).length);
    const wantedAgents = cluster.plan.agents.filter(({ zone }) => zone === change.name).length;
    // A later change of the same resource may overtake this one at a process: that is no loss.
    const overtaken = accepted.some(
      ({ name, revision }) => name === change.name && revision > change.revision,
    );
    if (overtaken) continue;
    lost += missing('entry', hosted) + (change.reachesAgents ? missing('agent', wantedAgents) : 0);
  }
  return {
    inForceSeconds: quantiles(latencies.entry),
    inForceSecondsAgents: quantiles(latencies.agent),
    acceptedLost: lost,
  };
}

function quantiles(values: readonly number[]): { p50: number; p99: number; max: number } {
  const sorted = [...values].sort((a, b) => a - b);
  const at = (share: number) => sorted[Math.min(sorted.length - 1, Math.floor(share * sorted.length))] ?? 0;
  return { p50: at(0.5), p99: at(0.99), max: sorted.at(-1) ?? 0 };
}
