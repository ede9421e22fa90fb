/** Workers of a soak that restart under their id, also engines in chosen states. */
import type { Random } from '../../../src/model/random.js';
import { EVERYTHING } from './disruptions.js';
import { StandInEngine } from './engine.js';
import { drawBetween, type Fault, noCleanup, pick, type StartedFault } from './fault.js';
import type { SoakWorld } from './world.js';

/** How long to wait for an engine to reach a state in which to restart it, and the interval between checks, in milliseconds. */
const STATE_WAIT_LIMIT = 6_000;
const STATE_POLL_INTERVAL = 5;
/** Clock error of some workers after a restart, in milliseconds: an hour behind. */
const CLOCK_ERROR = -3_600_000;

/** Restarts the worker at `place` under its id. */
function restart(world: SoakWorld, random: Random, place: number): void {
  const clockError = random.below(4) === 0 ? CLOCK_ERROR : 0;
  void world.restartWorker(place, clockError, random.below(2) === 0, random.below(4) > 0);
}

/** Restarts an engine as soon as `isInState` holds for it. */
function restartWhen(
  world: SoakWorld,
  random: Random,
  isInState: (engine: StandInEngine) => boolean,
): StartedFault {
  const engines = world.workers.flatMap(({ worker }, place) =>
    worker instanceof StandInEngine ? [place] : [],
  );
  const place = pick(engines, random);
  const { id } = world.workers[place].worker;
  const timer = setInterval(() => {
    const { worker } = world.workers[place];
    if (!(worker instanceof StandInEngine) || !isInState(worker)) return;
    clearInterval(timer);
    restart(world, random, place);
  }, STATE_POLL_INTERVAL);
  return { duration: STATE_WAIT_LIMIT, end: () => clearInterval(timer), detail: id, disrupts: [id] };
}

/** Workers that restart under their id. */
export const RESTARTS: Fault[] = [
  {
    name: 'worker restarted',
    begin(world, random) {
      const place = random.below(world.workers.length);
      const { id } = world.workers[place].worker;
      restart(world, random, place);
      return { duration: 0, end: noCleanup, detail: id, disrupts: [id] };
    },
  },
  {
    name: 'worker restarted behind a cut link',
    begin(world, random) {
      const place = random.below(world.workers.length);
      const { link, worker } = world.workers[place];
      const how = pick(['toTarget', 'fromTarget', 'both'] as const, random);
      const duration = drawBetween(random, 300, 2_000);
      link.cut(how);
      setTimeout(() => restart(world, random, place), duration / 2);
      return { duration, end: () => link.cut('none'), detail: `${worker.id} ${how}`, disrupts: [worker.id] };
    },
  },
  {
    name: 'engine restarted while it switches version',
    begin(world, random) {
      world.declareNextVersion();
      return restartWhen(world, random, ({ isBusy }) => isBusy);
    },
  },
  {
    name: 'engine restarted while pieces are staged',
    begin(world, random) {
      world.declareNextVersion();
      return restartWhen(world, random, ({ isStaged }) => isStaged);
    },
  },
  {
    name: 'engine restarted while it has requests',
    begin: (world, random) => restartWhen(world, random, ({ hasRequests }) => hasRequests),
  },
  {
    name: 'all workers restarted',
    begin(world, random) {
      for (const place of world.workers.keys()) restart(world, random, place);
      return { duration: 0, end: noCleanup, detail: 'all', disrupts: [EVERYTHING] };
    },
  },
];

/** Restarts of engines with a version under way. */
export const RESTARTS_OF_STAGED = RESTARTS.filter(({ name }) => name.startsWith('engine restarted while'));
