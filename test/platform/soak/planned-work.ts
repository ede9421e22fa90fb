/** Planned work by operators in a soak: signals, configurations and versions, alone and in series. */
import { drawBetween, entriesOf, type Fault, noCleanup, pick, staggered } from './fault.js';

export const PLANNED: Fault[] = [
  {
    name: 'SIGTERM to a process',
    begin(world, random) {
      const chosen = pick(world.processes, random);
      world.terminate(chosen);
      return { duration: 0, end: noCleanup, detail: chosen.name };
    },
  },
  {
    name: 'SIGHUP to a process',
    begin(world, random) {
      const chosen = pick(world.processes, random);
      world.reload(chosen);
      return { duration: 0, end: noCleanup, detail: chosen.name };
    },
  },
  {
    name: 'SIGTERM to each entry in turn',
    mustFinish: true,
    begin(world, random) {
      const gap = drawBetween(random, 200, 1_500);
      const duration = staggered(entriesOf(world), gap, (entry) => world.terminate(entry));
      return { duration, end: noCleanup, detail: `every ${gap} ms` };
    },
  },
  {
    name: 'SIGTERM to each entry in turn, with SIGHUP before and after',
    mustFinish: true,
    begin(world, random) {
      const gap = drawBetween(random, 400, 1_500);
      const entries = entriesOf(world);
      const duration = staggered(entries, gap, (entry) => {
        world.reload(entry);
        setTimeout(() => world.terminate(entry), gap / 4);
        setTimeout(() => world.reload(entry), gap / 2);
      });
      return { duration, end: noCleanup, detail: `every ${gap} ms` };
    },
  },
  {
    name: 'SIGTERM twice to a process',
    mustFinish: true,
    begin(world, random) {
      const chosen = pick(world.processes, random);
      const gap = drawBetween(random, 20, 2_500);
      world.terminate(chosen);
      const { child } = chosen;
      setTimeout(() => {
        if (chosen.child === child) world.terminate(chosen);
      }, gap);
      return { duration: gap, end: noCleanup, detail: `${chosen.name} after ${gap} ms` };
    },
  },
  {
    name: 'configuration changed',
    begin(world) {
      world.configure();
      return { duration: 0, end: noCleanup, detail: `revision ${world.configurationVersion}` };
    },
  },
  {
    name: 'weights version changed',
    begin(world) {
      world.declareNextVersion();
      return { duration: 0, end: noCleanup, detail: `version ${world.weightsVersion}` };
    },
  },
];
