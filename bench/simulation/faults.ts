/** The fault cases of a simulated burst. Times are shares of the window. */
import { ChunkSet } from '../../src/model/chunk-set.js';
import type { BurstSimulation, SimulatedMachine } from './burst-simulation.js';
import { SIMULATED_VERSION } from './burst-simulation.js';

/** A case: what is made to happen in a burst. */
export interface SimulatedFault {
  name: string;
  inject(simulation: BurstSimulation): void;
}

/** Interval at which a machine in a forbidden place asks for chunks, in milliseconds. */
const FORBIDDEN_REQUEST_INTERVAL = 50;

/** All cases. */
export const SIMULATED_FAULTS: readonly SimulatedFault[] = [
  {
    name: 'machinesDie',
    inject: (simulation) => {
      for (const share of [0.05, 0.2, 0.5]) {
        at(simulation, share, () => {
          for (const machine of pick(simulation, 0.02)) simulation.killMachine(machine);
        });
      }
    },
  },
  {
    name: 'machinesJoin',
    inject: (simulation) => {
      at(simulation, 0.4, () => {
        const count = Math.ceil(simulation.init.machines * 0.05);
        for (let index = 0; index < count; index++) simulation.addMachine();
      });
    },
  },
  {
    name: 'linksStall',
    inject: (simulation) => {
      at(simulation, 0.2, () => {
        const until = simulation.clock.now + 0.25 * simulation.init.windowMilliseconds;
        for (const machine of pick(simulation, 0.05)) machine.link.stalledUntil = until;
      });
    },
  },
  {
    name: 'corruptChunks',
    inject: (simulation) => {
      for (const machine of pick(simulation, 0.05)) machine.corruption = 0.3;
    },
  },
  {
    name: 'originStalls',
    inject: (simulation) => {
      at(simulation, 0.05, () => {
        const until = simulation.clock.now + 0.25 * simulation.init.windowMilliseconds;
        simulation.originLink.stalledUntil = until;
      });
    },
  },
  {
    name: 'originGoneAfterOneCopy',
    inject: (simulation) => {
      every(simulation, 20, () => {
        if (holdsOneCopy(simulation)) simulation.originAnswers = false;
      });
    },
  },
  {
    name: 'coordinatorLost',
    inject: (simulation) => {
      at(simulation, 0.1, () => simulation.replaceCoordinator(2_000));
      at(simulation, 0.5, () => simulation.replaceCoordinator(2_000));
    },
  },
  {
    name: 'forbiddenPlaceAsks',
    inject: (simulation) => {
      const outsider = simulation.addMachine('forbidden-place');
      every(simulation, FORBIDDEN_REQUEST_INTERVAL, () => askForChunk(simulation, outsider));
    },
  },
  {
    name: 'deathsStallsAndCorruption',
    inject: (simulation) => {
      for (const name of ['machinesDie', 'linksStall', 'corruptChunks', 'coordinatorLost']) {
        SIMULATED_FAULTS.find((fault) => fault.name === name)?.inject(simulation);
      }
    },
  },
];

/** True when every chunk lies intact on some live machine. */
function holdsOneCopy(simulation: BurstSimulation): boolean {
  const union = new ChunkSet(simulation.init.chunkCount);
  for (const { alive, intact } of simulation.machines.values()) {
    if (!alive) continue;
    for (const chunk of intact.values()) union.add(chunk);
    if (union.complete) return true;
  }
  return false;
}

function at(simulation: BurstSimulation, share: number, run: () => void): void {
  simulation.clock.schedule(share * simulation.init.windowMilliseconds, run);
}

function every(simulation: BurstSimulation, interval: number, run: () => void): void {
  simulation.clock.schedule(simulation.clock.now + interval, () => {
    run();
    every(simulation, interval, run);
  });
}

function pick(simulation: BurstSimulation, share: number): SimulatedMachine[] {
  const live = [...simulation.machines.values()].filter((machine) => machine.alive);
  const count = Math.max(1, Math.round(live.length * share));
  return Array.from({ length: count }, () => live.splice(simulation.random.below(live.length), 1)[0]);
}

function askForChunk(simulation: BurstSimulation, outsider: SimulatedMachine): void {
  const chunk = simulation.random.below(simulation.init.chunkCount);
  const asked = [...simulation.machines.values()][simulation.random.below(simulation.init.machines)];
  const request = { version: SIMULATED_VERSION, chunk, have: 0, urgent: true };
  asked.node.onRequest(outsider.info, request, simulation.clock.now);
}
