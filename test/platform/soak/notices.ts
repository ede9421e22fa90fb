/** Faults in which workers state in their answers that they are leaving, or ask for a back-off. */
import type { Random } from '../../../src/model/random.js';
import { drawBetween, type Fault, pick, type StartedFault } from './fault.js';
import type { StandInWorker } from './workers.js';
import type { SoakWorld } from './world.js';

/** Range of the time for which a worker that is leaving still serves, in milliseconds. */
const MIN_LEAVING_TIME = 2_500;
const MAX_LEAVING_TIME = 6_000;
/** Back-offs for which workers ask, in seconds, and values that are no time. */
const BACKOFFS_IN_SECONDS = ['0.7', '1', '1.5', '2.25', '3'] as const;
const MALFORMED_BACKOFFS = ['soon', '-3', '1e3', 'Infinity', '', 'Fri, 04 Dec 2026 01:00:00 GMT'] as const;
/** Range of the time for which a worker sheds requests, in milliseconds. */
const MIN_SHEDDING_TIME = 1_000;
const MAX_SHEDDING_TIME = 5_000;

/** Places of the workers of one service. */
function placesOf(world: SoakWorld, service: string): number[] {
  return [...world.workers.keys()].filter((place) => world.workers[place].worker.service === service);
}

/** Workers state that they are leaving; each of them then ends, and starts again under its id. */
function leave(
  world: SoakWorld,
  random: Random,
  places: readonly number[],
  act: (worker: StandInWorker) => void,
): StartedFault {
  const leaving = places.filter((place) => !world.workers[place].worker.statesLeaving);
  const started = leaving.map((place) => ({ place, worker: world.workers[place].worker }));
  for (const { worker } of started) {
    worker.statesLeaving = true;
    act(worker);
  }
  const end = () => {
    for (const { place, worker } of started)
      if (world.workers[place].worker === worker) world.endLeaving(place);
  };
  const detail = started.map(({ worker }) => worker.id).join(', ');
  return { duration: drawBetween(random, MIN_LEAVING_TIME, MAX_LEAVING_TIME), end, detail };
}

const anyPlace = (world: SoakWorld, random: Random) => [random.below(world.workers.length)];

/** Workers that leave. */
export const LEAVING: Fault[] = [
  {
    name: 'worker leaves, which its record does not say',
    mustFinish: true,
    begin: (world, random) => leave(world, random, anyPlace(world, random), () => {}),
  },
  {
    name: 'worker leaves, which its record says too',
    mustFinish: true,
    begin: (world, random) =>
      leave(world, random, anyPlace(world, random), (worker) => {
        worker.leaving = true;
      }),
  },
  {
    name: 'worker leaves, and its record is removed and comes back',
    mustFinish: true,
    begin: (world, random) =>
      leave(world, random, anyPlace(world, random), (worker) => {
        const gap = drawBetween(random, 300, 1_500);
        for (const times of [1, 2]) setTimeout(() => world.removeRecord(worker), times * gap);
      }),
  },
  {
    name: 'worker leaves while the store is unavailable',
    mustFinish: true,
    begin(world, random) {
      world.store.faults.down = true;
      setTimeout(
        () => {
          world.store.faults.down = false;
        },
        drawBetween(random, 1_000, 4_000),
      );
      return leave(world, random, anyPlace(world, random), (worker) => {
        worker.leaving = true;
      });
    },
  },
  {
    name: 'all workers of a service leave',
    mustFinish: true,
    begin: (world, random) =>
      leave(world, random, placesOf(world, pick(['engines', 'plain'], random)), () => {}),
  },
];

/** Workers refuse a share of their requests and ask for a back-off with these values. */
function shed(
  random: Random,
  workers: readonly StandInWorker[],
  values: readonly string[],
  act: (worker: StandInWorker) => void = () => {},
): StartedFault {
  const share = drawBetween(random, 2, 11) / 10;
  for (const worker of workers) {
    worker.shedShare = share;
    worker.shedRetryAfter = pick(values, random);
    act(worker);
  }
  const end = () => {
    for (const worker of workers) {
      worker.shedShare = 0;
      worker.shedRetryAfter = undefined;
    }
  };
  const detail = workers.map(({ id, shedRetryAfter }) => `${id} "${shedRetryAfter}"`).join(', ');
  const duration = drawBetween(random, MIN_SHEDDING_TIME, MAX_SHEDDING_TIME);
  return { duration, end, detail: `${detail}, ${share} of their requests` };
}

const anyWorker = (world: SoakWorld, random: Random) => [pick(world.workers, random).worker];

/** Workers that ask for a back-off. */
export const BACKOFFS: Fault[] = [
  {
    name: 'worker asks for a back-off',
    begin: (world, random) => shed(random, anyWorker(world, random), BACKOFFS_IN_SECONDS),
  },
  {
    name: 'worker asks for a back-off, and its record is removed and comes back',
    begin: (world, random) =>
      shed(random, anyWorker(world, random), BACKOFFS_IN_SECONDS, (worker) => {
        setTimeout(() => world.removeRecord(worker), drawBetween(random, 200, 1_500));
      }),
  },
  {
    name: 'worker asks for a back-off that is no time',
    begin: (world, random) => shed(random, anyWorker(world, random), MALFORMED_BACKOFFS),
  },
  {
    name: 'all workers of a service ask for a back-off',
    begin(world, random) {
      const places = placesOf(world, pick(['engines', 'plain'], random));
      return shed(
        random,
        places.map((place) => world.workers[place].worker),
        BACKOFFS_IN_SECONDS,
      );
    },
  },
];
