/** `thistleway bench burst`: a burst over real processes on the loopback address, with paced links. */
import { setTimeout as pause } from 'node:timers/promises';
import type { DistributionStrategy } from '../../src/systems/distribution/neighbour-selection.js';
import type { Objective } from '../../src/systems/distribution/transfer.js';
import { burstBoundSeconds, MACHINE_COPIES_PER_WINDOW, ORIGIN_COPIES_PER_WINDOW } from '../burst-bound.js';
import { type BurstReport, quantile, rounded } from '../burst-report.js';
import type { Duplex } from '../simulation/link.js';
import { Caller, type CallerCounts } from './caller.js';
import { Cluster, type StartedAgent } from './cluster.js';
import type { ProcessFault } from './faults.js';
import {
  agentTraffic,
  applyDeployment,
  engineState,
  exchangeCounters,
  waitForAgents,
} from './observation.js';
import { Witness, type WitnessCounts } from './witness.js';

/** What to run. */
export interface RealBurstInit {
  machines: number;
  objective: Objective;
  strategy: DistributionStrategy;
  seed: number;
  duplex: Duplex;
  fault?: ProcessFault;
  /** Tells how many machines serve, a few times a second. */
  onProgress?: (ready: number, total: number) => void;
}

const MEBIBYTE = 2 ** 20;
const MODEL_BYTES = 48 * MEBIBYTE;
const CHUNK_BYTES = 128 * 1024;
const WINDOW_SECONDS = 20;
/** Windows after which a burst that has not ended is reported as incomplete. */
const LIMIT_WINDOWS = 8;
const REGIONS = 3;
const POLL_INTERVAL = 50;
const CALL_INTERVAL = 100;
const POOL = 'accelerators';

/** Runs a burst over real processes and reports it by the stand-ins' audits. */
export async function runRealBurst(init: RealBurstInit): Promise<BurstReport> {
  const cluster = createCluster(init);
  try {
    await cluster.start();
    await waitForAgents(cluster);
    return await measure(init, cluster);
  } finally {
    cluster.stop();
  }
}

function createCluster(init: RealBurstInit): Cluster {
  const location = (index: number) => {
    const region = index % REGIONS;
    return { place: `place-${region}`, region: `region-${region}`, zone: `zone-${region}` };
  };
  const version = {
    label: 'first',
    bytes: MODEL_BYTES,
    chunkBytes: CHUNK_BYTES,
    unchangedShare: 1,
    changedSeed: 0,
  };
  return new Cluster({
    entries: [0, 1, 2].map((index) => ({ name: `entry-${index}`, ...location(index) })),
    agents: Array.from({ length: init.machines }, (_, index) => {
      return { name: `agent-${index}`, pool: POOL, ...location(index) };
    }),
    versions: [
      { ...version, seed: init.seed },
      { ...version, label: 'second', seed: init.seed, unchangedShare: 0.75, changedSeed: init.seed + 1 },
    ],
    originBytesPerSecond: (ORIGIN_COPIES_PER_WINDOW * MODEL_BYTES) / WINDOW_SECONDS,
    machineBytesPerSecond: (MACHINE_COPIES_PER_WINDOW * MODEL_BYTES) / WINDOW_SECONDS,
    machineDuplex: init.duplex,
    weightsMemoryBytes: 3 * MODEL_BYTES,
    strategy: init.strategy,
    engine: { loadMilliseconds: 50 },
  });
}

async function measure(init: RealBurstInit, cluster: Cluster): Promise<BurstReport> {
  const places = cluster.entries.map((entry) => entry.place);
  const deployment = {
    name: 'burst',
    pool: POOL,
    places,
    replicas: init.machines,
    objective: init.objective,
  };
  const witness = new Witness(cluster.versions[0]);
  const caller = new Caller(
    cluster.entries.map((entry) => entry.callers),
    'burst',
  );
  const before = await agentTraffic(cluster.agents);
  const startedAt = performance.now();
  await applyDeployment(cluster, { ...deployment, version: cluster.versions[0].version });
  await witness.start(cluster.agents, places[0]);
  caller.start(CALL_INTERVAL);
  const live = new Set(cluster.agents);
  let target = cluster.versions[0].version;
  const fault = init.fault?.inject({
    cluster,
    windowSeconds: WINDOW_SECONDS,
    lose: (agent) => live.delete(agent),
    switchTo: async (version) => {
      target = version;
      await applyDeployment(cluster, { ...deployment, version });
    },
  });
  const readyAt = new Map<StartedAgent, number>();
  const limit = startedAt + LIMIT_WINDOWS * WINDOW_SECONDS * 1_000;
  let completeVersion = '';
  while (performance.now() < limit) {
    if (completeVersion !== target) readyAt.clear();
    completeVersion = target;
    await Promise.all([...live].map((agent) => noteReady(agent, target, readyAt)));
    init.onProgress?.(readyAt.size, live.size);
    if ([...live].every((agent) => readyAt.has(agent)) && completeVersion === target) break;
    await pause(POLL_INTERVAL);
  }
  const seconds = (performance.now() - startedAt) / 1_000;
  await fault;
  await caller.stop();
  witness.stop();
  return report(init, cluster, [...live], readyAt, startedAt, seconds, before, witness.counts, caller.counts);
}

async function noteReady(
  agent: StartedAgent,
  version: string,
  readyAt: Map<StartedAgent, number>,
): Promise<void> {
  if (readyAt.has(agent)) return;
  const state = await engineState(agent);
  const exact = state?.versions.some((row) => row.state === 'loaded' && row.loadedDigest === version);
  if (exact) readyAt.set(agent, performance.now());
}

async function report(
  init: RealBurstInit,
  cluster: Cluster,
  live: StartedAgent[],
  readyAt: Map<StartedAgent, number>,
  startedAt: number,
  seconds: number,
  before: Map<StartedAgent, number>,
  witnessed: WitnessCounts,
  calls: CallerCounts,
): Promise<BurstReport> {
  const times = [...readyAt.values()].map((time) => (time - startedAt) / 1_000).sort((a, b) => a - b);
  const { originBytes } = await cluster.platformAudit();
  const after = await agentTraffic(live);
  const control = live.map((agent) => ((after.get(agent) ?? 0) - (before.get(agent) ?? 0)) / seconds);
  const audits = await exchangeCounters(live);
  const boundSeconds = burstBoundSeconds(init.machines, WINDOW_SECONDS, init.duplex);
  return {
    machines: init.machines,
    objective: init.objective,
    strategy: init.strategy,
    faults: init.fault?.name ?? 'none',
    simulated: false,
    seed: init.seed,
    modelBytes: MODEL_BYTES,
    chunks: cluster.versions[0].manifest.chunks.length,
    windowSeconds: WINDOW_SECONDS,
    duplex: init.duplex,
    complete: live.every((agent) => readyAt.has(agent)),
    secondsToAll: rounded(times.at(-1) ?? Number.NaN),
    secondsToHalf: rounded(quantile(times, 0.5) ?? Number.NaN),
    boundSeconds: rounded(boundSeconds),
    ratioToBound: rounded((times.at(-1) ?? Number.NaN) / boundSeconds),
    originBytes,
    originCopies: rounded(originBytes / MODEL_BYTES),
    crossRegionCopies: rounded(audits.crossRegionBytes / MODEL_BYTES),
    placeBreaches: witnessed.placeBreaches,
    unverifiedChunksPassedOn: witnessed.unverifiedChunks,
    partialLoads: audits.partialLoads,
    mixedVersionAnswers: calls.mixedVersions,
    controlBytesPerSecondPerAgent: {
      mean: Math.round(control.reduce((sum, bytes) => sum + bytes, 0) / control.length),
      max: Math.round(Math.max(...control)),
    },
    controlBytesPerSecondCoordinator: null,
    calls,
    witnessed,
  };
}
