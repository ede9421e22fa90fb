/** Faults in which the operator takes zones out of service and back, and the check of what their workers get meanwhile. */
import type { Random } from '../../../src/model/random.js';
import type { SentRequest } from './callers.js';
import { drawBetween, type Fault, pick, type StartedFault } from './fault.js';
import { type SoakWorld, ZONES } from './world.js';

/** Range of the time for which a zone is out of service, in milliseconds. */
const MIN_EVACUATION = 6_000;
const MAX_EVACUATION = 12_000;
/** Time after the acknowledgement of an evacuation within which the workers of the zone may get requests, in milliseconds. */
const EVACUATION_BOUND = 3_000;
/** An entry that nothing has disrupted for this long knows of the evacuations, in milliseconds. */
const LEARNING_TIME = 4_000;
/** Resolution at which the times are searched when an entry must have known, in milliseconds. */
const SEARCH_STEP = 50;
/** Range of the time of another fault after the acknowledgement, in milliseconds; by then entries in touch know of it. */
const MIN_DELAY = 1_000;
const MAX_DELAY = 2_500;
/** Time that an entry takes to serve again after it was killed, in milliseconds. */
const RESTART_TIME = 2_000;

function evacuate(
  world: SoakWorld,
  random: Random,
  zones: readonly string[],
  act: () => string = () => '',
): StartedFault {
  const begun = zones.filter((zone) => world.evacuate(zone));
  const detail = act();
  const end = () => {
    for (const zone of begun) world.takeBack(zone);
  };
  const duration = drawBetween(random, MIN_EVACUATION, MAX_EVACUATION);
  return { duration, end, detail: `${begun.join(', ') || 'none'} ${detail}` };
}

/** One zone; none if another is out of service, so that most callers are served. */
function anyZone({ log }: SoakWorld, random: Random): string[] {
  const zone = pick(ZONES, random);
  return log.evacuations.some(({ to }) => to === Number.POSITIVE_INFINITY) ? [] : [zone];
}

/** Evacuations, alone and beside faults that begin while they last. */
export const EVACUATIONS: Fault[] = [
  {
    name: 'zone evacuated',
    mustFinish: true,
    begin: (world, random) => evacuate(world, random, anyZone(world, random)),
  },
  {
    name: 'all zones evacuated',
    mustFinish: true,
    begin: (world, random) => evacuate(world, random, ZONES),
  },
  {
    name: 'zone evacuated, then the store is unavailable',
    mustFinish: true,
    begin: (world, random) =>
      evacuate(world, random, anyZone(world, random), () => {
        const delay = drawBetween(random, MIN_DELAY, MAX_DELAY);
        const outage = drawBetween(random, 500, 4_000);
        // Not recorded as a disruption: who knew of the evacuation must heed it all the same.
        setTimeout(() => {
          world.store.faults.down = true;
          setTimeout(() => {
            world.store.faults.down = false;
          }, outage);
        }, delay);
        return `store away from ${delay} ms on for ${outage} ms`;
      }),
  },
  {
    name: 'zone evacuated, then an entry starts without the store',
    mustFinish: true,
    begin: (world, random) =>
      evacuate(world, random, anyZone(world, random), () => {
        const entry = pick(
          world.processes.filter(({ role }) => role === 'entry'),
          random,
        );
        const delay = drawBetween(random, MIN_DELAY, MAX_DELAY);
        const cut = drawBetween(random, 1_000, 5_000);
        setTimeout(() => {
          entry.storeLink.cut('both');
          entry.child?.kill('SIGKILL');
          world.disruptions.record([entry.name], RESTART_TIME);
          setTimeout(() => entry.storeLink.cut('none'), cut);
        }, delay);
        return `${entry.name} killed after ${delay} ms, without the store for ${cut} ms`;
      }),
  },
];

/** Reports requests that entries sent to workers of an evacuated zone although they must have known of the evacuation. */
export function judgeEvacuations(world: SoakWorld, sent: readonly SentRequest[]): string[] {
  const entryOf = new Map(sent.map(({ id, entry }) => [id, world.entryAt(entry)]));
  return world.log.evacuations.flatMap(({ zone, from, to }) => {
    const late = world.log.arrivals.filter(({ worker, requestId, at }) => {
      if (world.zoneOf(worker) !== zone || at > to || at < from + EVACUATION_BOUND) return false;
      const entry = entryOf.get(requestId);
      return entry !== undefined && mustKnow(world, entry, from + EVACUATION_BOUND, at);
    });
    if (late.length === 0) return [];
    const [{ requestId, worker, at }] = late;
    const after = Math.round(at - from);
    return [
      `EVAC: ${late.length} requests reach ${zone}, as of ${requestId} from ${entryOf.get(requestId)} at ${worker} after ${after} ms`,
    ];
  });
}

/** Whether an entry had time to learn of an evacuation between `from` and `at`, and has not ended since. */
function mustKnow({ disruptions }: SoakWorld, entry: string, from: number, at: number): boolean {
  for (let known = at; known >= from && disruptions.wereRunning([entry], known, at); known -= SEARCH_STEP)
    if (disruptions.areUndisturbed([entry], known - LEARNING_TIME, known)) return true;
  return false;
}
