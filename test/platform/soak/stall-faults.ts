/** Workers of a soak that pause or fail to continue streams. */
import { type Random, seededRandom } from '../../../src/model/random.js';
import { drawBetween, type Fault, pick } from './fault.js';
import type { Stalls } from './stalls.js';

/** Range of the percentage of events before which a worker pauses. */
const MIN_PAUSE_PERCENT = 2;
const MAX_PAUSE_PERCENT = 6;

function stall(
  name: string,
  begin: (stalls: Stalls, random: Random) => { duration: number; detail: string },
  affectsAll = false,
): Fault {
  return {
    name,
    begin(world, random) {
      const chosen = affectsAll ? world.workers : [pick(world.workers, random)];
      const seed = random.below(1_000_000);
      const begun = chosen.map(({ worker: { stalls } }, place) => {
        stalls.drawFrom(seededRandom(seed + place));
        return begin(stalls, random);
      });
      const duration = Math.max(...begun.map((each) => each.duration));
      const end = () => {
        for (const { worker } of chosen) worker.stalls.clear();
      };
      const parts = affectsAll ? 'all workers' : chosen[0].worker.id;
      return { duration, end, detail: `${parts} ${begun[0].detail}` };
    },
  };
}

const pauseOften = (stalls: Stalls, random: Random) => {
  stalls.eventPausePercent = drawBetween(random, MIN_PAUSE_PERCENT, MAX_PAUSE_PERCENT);
  stalls.startPausePercent = drawBetween(random, 0, 10);
  return { duration: drawBetween(random, 1_500, 5_000), detail: `${stalls.eventPausePercent} in 100 events` };
};

const suspend = (stalls: Stalls, random: Random) => {
  const duration = drawBetween(random, 700, 2_000);
  stalls.suspend(duration);
  return { duration, detail: '' };
};

const failContinuations = (stalls: Stalls, random: Random) => {
  stalls.continuation = pick(['refuses', 'breaksOff'] as const, random);
  stalls.continuationPercent = drawBetween(random, 30, 101);
  stalls.eventPausePercent = drawBetween(random, 0, MIN_PAUSE_PERCENT);
  const detail = `${stalls.continuation} ${stalls.continuationPercent} in 100 continued streams`;
  return { duration: drawBetween(random, 2_000, 6_000), detail };
};

/** Healthy workers pause, or fail to continue streams: the system must mask this, so it does not count as a disruption. */
export const STALLS: Fault[] = [
  stall('streams of a worker pause', pauseOften),
  stall('streams of all workers pause', pauseOften, true),
  stall('worker suspended', suspend),
  stall('all workers suspended', suspend, true),
  stall('worker fails continued streams', failContinuations),
  stall('all workers fail continued streams', failContinuations, true),
];
