/** Workers that are cold after a start, or turn cold, and the check of how many requests they get meanwhile. */
import type { Random } from '../../../src/model/random.js';
import { mostInWindow } from '../../forwarding/rate-limit-audit.js';
import { type Fault, noCleanup, pick } from './fault.js';
import type { SoakWorld } from './world.js';

/** What every service declares: seconds for which a worker is cold, and requests a second that it bears meanwhile. */
export const COLD_SECONDS = 5;
export const COLD_RATE = 3;
/** Window in which arrivals at a cold worker are counted, in milliseconds, and how many are tolerated in it. */
const WINDOW = 1_000;
const TOLERATED = 1.5 * COLD_RATE + 5;
/** Time within which the system must know that a worker is cold, in milliseconds: its record is up to a heartbeat late. */
const LEARNING_TIME = 1_500;

/** Workers turn cold. */
export const COLD_STARTS: Fault[] = [
  {
    name: 'worker turns cold',
    begin(world, random) {
      const { worker } = pick(world.workers, random);
      world.turnCold(worker);
      return { duration: 0, end: noCleanup, detail: worker.id };
    },
  },
  {
    name: 'zone evacuated, and its workers are cold when it is taken back',
    mustFinish: true,
    begin(world: SoakWorld, random: Random) {
      const { zone } = pick(world.workers, random);
      const isBegun = world.evacuate(zone);
      const end = () => {
        if (!isBegun) return;
        const workers = world.workers.filter((one) => one.zone === zone);
        for (const { worker } of workers) world.turnCold(worker);
        setTimeout(() => world.takeBack(zone), LEARNING_TIME);
      };
      return { duration: 4_000, end, detail: isBegun ? zone : 'none' };
    },
  },
];

/** Reports workers that got more requests in a second than cold ones bear, whoever sent them. */
export function judgeColdStarts(world: SoakWorld): string[] {
  return world.log.coldPeriods.flatMap(({ worker, born, from, to, cause }) => {
    const times = world.log.arrivals
      .filter((arrival) => arrival.worker === worker && arrival.born === born && !arrival.isMisdirected)
      .map(({ at }) => at)
      .filter((at) => at >= from + LEARNING_TIME && at <= to);
    const most = mostInWindow(times, WINDOW);
    if (most <= TOLERATED) return [];
    const first = Math.round(times[0] - from);
    return [
      `FAILBACK: ${worker} (born ${born}) got ${most} in a second, allowed ${TOLERATED}, from ${first} ms after it ${cause} on`,
    ];
  });
}
