/** `thistleway bench burst --simulated`: the decision systems in virtual time. */
import { DEFAULT_COORDINATOR_LIMITS } from '../../src/systems/distribution/coordinator.js';
import { DEFAULT_DISTRIBUTION_LIMITS } from '../../src/systems/distribution/limits.js';
import type { DistributionStrategy } from '../../src/systems/distribution/neighbour-selection.js';
import type { Objective } from '../../src/systems/distribution/transfer.js';
import { burstBoundSeconds } from '../burst-bound.js';
import { type BurstReport, quantile, rounded } from '../burst-report.js';
import { BurstSimulation } from './burst-simulation.js';
import type { SimulatedFault } from './faults.js';
import type { Duplex } from './link.js';

/** What to simulate. */
export interface SimulatedBurstInit {
  machines: number;
  objective: Objective;
  strategy: DistributionStrategy;
  seed: number;
  duplex: Duplex;
  /** Number of regions; by default 3 up to 100 machines and 8 beyond. */
  regions?: number;
  chunkCount?: number;
  fault?: SimulatedFault;
}

const MODEL_BYTES = 8 * 2 ** 30;
const CHUNK_COUNT = 512;
const WINDOW_MILLISECONDS = 60_000;
const ZONES_PER_REGION = 4;
const SMALL_BURST_MACHINES = 100;
/** Windows after which a burst that has not ended is reported as incomplete. */
const LIMIT_WINDOWS = 30;

/** Runs a burst in virtual time. */
export function simulateBurst(init: SimulatedBurstInit): BurstReport {
  const chunkCount = init.chunkCount ?? CHUNK_COUNT;
  const regions = init.regions ?? (init.machines <= SMALL_BURST_MACHINES ? 3 : 8);
  const simulation = new BurstSimulation({
    machines: init.machines,
    regions,
    zonesPerRegion: ZONES_PER_REGION,
    chunkCount,
    chunkBytes: MODEL_BYTES / chunkCount,
    windowMilliseconds: WINDOW_MILLISECONDS,
    duplex: init.duplex,
    objective: init.objective,
    strategy: init.strategy,
    seed: init.seed,
    limits: DEFAULT_DISTRIBUTION_LIMITS,
    coordinatorLimits: DEFAULT_COORDINATOR_LIMITS,
  });
  init.fault?.inject(simulation);
  simulation.run(LIMIT_WINDOWS * WINDOW_MILLISECONDS);
  return report(init, simulation);
}

function report(init: SimulatedBurstInit, simulation: BurstSimulation): BurstReport {
  const { audit, clock } = simulation;
  const windowSeconds = WINDOW_MILLISECONDS / 1_000;
  const seconds = clock.now / 1_000;
  const completed = [...simulation.machines.values()].flatMap((machine) => machine.completedAt ?? []);
  completed.sort((a, b) => a - b);
  const control = [...audit.controlBytes.values()].map((bytes) => bytes / seconds);
  const boundSeconds = burstBoundSeconds(init.machines, windowSeconds, init.duplex);
  return {
    machines: init.machines,
    objective: init.objective,
    strategy: init.strategy,
    faults: init.fault?.name ?? 'none',
    simulated: true,
    seed: init.seed,
    modelBytes: MODEL_BYTES,
    chunks: simulation.init.chunkCount,
    windowSeconds,
    duplex: init.duplex,
    complete: simulation.complete,
    secondsToAll: rounded(seconds),
    secondsToHalf: rounded((quantile(completed, 0.5) ?? Number.NaN) / 1_000),
    boundSeconds: rounded(boundSeconds),
    ratioToBound: rounded(seconds / boundSeconds),
    originBytes: audit.originBytes,
    originCopies: rounded(audit.originBytes / MODEL_BYTES),
    crossRegionCopies: rounded(audit.crossRegionBytes / MODEL_BYTES),
    placeBreaches: audit.placeBreaches,
    unverifiedChunksPassedOn: audit.unverifiedChunksPassedOn,
    partialLoads: audit.partialLoads,
    mixedVersionAnswers: audit.mixedVersionAnswers,
    controlBytesPerSecondPerAgent: {
      mean: Math.round(control.reduce((sum, bytes) => sum + bytes, 0) / control.length),
      max: Math.round(Math.max(...control)),
    },
    controlBytesPerSecondCoordinator: Math.round(audit.coordinatorBytes / seconds),
  };
}
