/**
 * Faults in which workers leave by their records while some entries get the store's news late, and the check that all others stop
 * sending to them in time.
 */
import type { Random } from '../../../src/model/random.js';
import type { SentRequest } from './callers.js';
import { drawBetween, entriesOf, type Fault, pick, type StartedFault } from './fault.js';
import { RESTART_DELAY, type SoakWorld, type SystemProcess } from './world.js';

/** Time after the acknowledgement within which a worker that leaves may get requests, in milliseconds. */
const DRAIN_BOUND = 2_000;
/** An entry is bound by that once nothing has been done to it for this long, in milliseconds. */
const CONTACT_TIME = 3_000 + RESTART_DELAY;
/** Range of the time for which a worker that has left serves on, in milliseconds. */
const MIN_SERVING_TIME = 4_000;
const MAX_SERVING_TIME = 7_000;
/** Range of the time for which entries get news late, in milliseconds. */
const MIN_TROUBLE = 1_500;
const MAX_TROUBLE = 6_000;

/** What delays the store's news at an entry, or what the entry tells the others of them. */
const TROUBLES = {
  parts: ({ storeLink }: SystemProcess, random: Random) => {
    storeLink.parts = { bytes: drawBetween(random, 100, 400), interval: drawBetween(random, 100, 400) };
  },
  delay: ({ storeLink }: SystemProcess, random: Random) => {
    storeLink.delay = drawBetween(random, 300, 2_500);
  },
  cut: ({ storeLink }: SystemProcess) => storeLink.cut('both'),
  pause: ({ child }: SystemProcess) => void child?.kill('SIGSTOP'),
} as const;
const KINDS = Object.keys(TROUBLES) as Array<keyof typeof TROUBLES>;

function endTrouble({ storeLink, child }: SystemProcess): void {
  storeLink.parts = undefined;
  storeLink.delay = 0;
  storeLink.cut('none');
  child?.kill('SIGCONT');
}

function pickEntries(world: SoakWorld, count: number, random: Random): SystemProcess[] {
  return Array.from({ length: count }, () => pick(entriesOf(world), random));
}

/** The entries that read most from the store, in other words those that read for others. */
function readersOf(world: SoakWorld, count: number): SystemProcess[] {
  const entries = entriesOf(world).sort(
    (one, other) => other.storeLink.recentBytes - one.storeLink.recentBytes,
  );
  return entries.slice(0, count);
}

/** Up to half of the entries get news late, each in its own way: any, or those that read for others. */
function delayNews(
  world: SoakWorld,
  random: Random,
  choose = pick([pickEntries, readersOf], random),
): StartedFault {
  const duration = drawBetween(random, MIN_TROUBLE, MAX_TROUBLE);
  const count = drawBetween(random, 1, Math.ceil(entriesOf(world).length / 2) + 1);
  const details: string[] = [];
  const chosen = new Set(choose(world, count, random));
  for (const entry of chosen) {
    const kind = pick(KINDS, random);
    TROUBLES[kind](entry, random);
    world.disruptions.recordInterruption(entry.name, duration);
    details.push(`${entry.name} ${kind}`);
  }
  const end = () => {
    for (const entry of chosen) endTrouble(entry);
  };
  const names = [...chosen].map(({ name }) => name);
  return { duration, end, detail: details.join(', '), disrupts: names };
}

function depart(world: SoakWorld, random: Random, count: number): StartedFault {
  const how = pick(['stated', 'unlisted'] as const, random);
  const places = new Set(Array.from({ length: count }, () => random.below(world.workers.length)));
  const gone = [...places].filter((place) => world.depart(place, how));
  const started = gone.map((place) => ({ place, worker: world.workers[place].worker }));
  const end = () => {
    for (const { place, worker } of started)
      if (world.workers[place].worker === worker) world.endLeaving(place);
  };
  const detail = `${started.map(({ worker }) => worker.id).join(', ') || 'none'} ${how}`;
  return { duration: drawBetween(random, MIN_SERVING_TIME, MAX_SERVING_TIME), end, detail };
}

/** Workers that leave, and entries that get news late. */
export const DEPARTURES: Fault[] = [
  {
    name: 'worker leaves by its record',
    mustFinish: true,
    begin: (world, random) => depart(world, random, 1),
  },
  {
    name: 'workers leave by their records',
    mustFinish: true,
    begin: (world, random) => depart(world, random, 3),
  },
  { name: 'entries get news late', begin: (world, random) => delayNews(world, random) },
  {
    name: 'worker leaves while the readers of the store get news late',
    mustFinish: true,
    begin(world, random) {
      const trouble = delayNews(world, random, readersOf);
      const delay = drawBetween(random, 200, MIN_TROUBLE);
      let departure: StartedFault | undefined;
      setTimeout(() => {
        departure = depart(world, random, 2);
      }, delay);
      setTimeout(() => trouble.end(), trouble.duration);
      const detail = `${trouble.detail} for ${trouble.duration} ms; after ${delay} ms two leave`;
      return { ...trouble, duration: MAX_SERVING_TIME, detail, end: () => departure?.end() };
    },
  },
  {
    name: 'worker leaves just before entries get news late',
    mustFinish: true,
    begin(world, random) {
      const departure = depart(world, random, 1);
      const trouble = delayNews(world, random);
      setTimeout(() => trouble.end(), trouble.duration);
      const detail = `${departure.detail}; ${trouble.detail} for ${trouble.duration} ms`;
      return { ...departure, detail, disrupts: trouble.disrupts };
    },
  },
];

/** Reports requests that reached workers too long after the store had acknowledged their leaving, from entries in touch. */
export function judgeArrivalsAfterDepartures(world: SoakWorld, sent: readonly SentRequest[]): string[] {
  const entryOf = new Map(sent.map(({ id, entry }) => [id, world.entryAt(entry)]));
  return world.log.departures.flatMap(({ worker, born, at: leftAt }) => {
    const late = world.log.arrivals.filter((arrival) => {
      if (arrival.worker !== worker || arrival.born !== born || arrival.isMisdirected === true) return false;
      if (arrival.at <= leftAt + DRAIN_BOUND) return false;
      const entry = entryOf.get(arrival.requestId);
      return (
        entry !== undefined && world.disruptions.wereRunning([entry], arrival.at - CONTACT_TIME, arrival.at)
      );
    });
    if (late.length === 0) return [];
    const [{ requestId, at }] = late;
    const after = Math.round(at - leftAt);
    return [
      `DRAIN: ${late.length} requests reach ${worker}, which has left, as of ${requestId} from ${entryOf.get(requestId)} after ${after} ms`,
    ];
  });
}
