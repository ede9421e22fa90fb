/** Faults of a soak, drawn from its seed: what is done to processes, links, workers and the store, and when it ends. */
import { type Random, seededRandom } from '../../../src/model/random.js';
import { COLD_STARTS } from './cold-starts.js';
import { EVERYTHING } from './disruptions.js';
import { StandInEngine } from './engine.js';
import { EVACUATIONS } from './evacuations.js';
import { drawBetween, type Fault, noCleanup, pick, type StartedFault } from './fault.js';
import { BACKOFFS, LEAVING } from './notices.js';
import { REGION_CHANGES } from './regions.js';
import type { Stalls } from './stalls.js';
import { WEIGHTS_FAULTS } from './weights-faults.js';
import { PIECES } from './workers.js';
import {
  type ConfigurationShape,
  LONG_TIMEOUT,
  RESTART_DELAY,
  ROUTE_TIMEOUT,
  type SoakWorld,
  type SystemProcess,
} from './world.js';

/** After a fault its parts count as disrupted for this long, in milliseconds, while processes restart and connections reopen. */
const RECOVERY_TIME = 2_000;

function signal(started: SystemProcess, name: NodeJS.Signals): void {
  started.child?.kill(name);
}

const entriesOf = (world: SoakWorld) => world.processes.filter(({ role }) => role === 'entry');

/** Applies `act` to each part, `gap` milliseconds apart; returns how long that takes. */
function staggered<T>(parts: readonly T[], gap: number, act: (part: T) => void): number {
  for (const [place, part] of parts.entries()) setTimeout(() => act(part), place * gap);
  return parts.length * gap;
}

/** Planned work by operators: signals, configurations and versions, alone and in series. */
const PLANNED: Fault[] = [
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

/** Faults that are not planned work. */
const UNPLANNED: Fault[] = [
  {
    name: 'process killed',
    begin(world, random) {
      const chosen = pick(world.processes, random);
      signal(chosen, 'SIGKILL');
      return { duration: 0, end: noCleanup, detail: chosen.name, disrupts: [chosen.name] };
    },
  },
  {
    name: 'SIGTERM to a process while it starts',
    mustFinish: true,
    begin(world, random) {
      const chosen = pick(world.processes, random);
      const duration = RESTART_DELAY + drawBetween(random, 0, 500);
      signal(chosen, 'SIGKILL');
      setTimeout(() => world.terminate(chosen), duration);
      return {
        duration,
        end: noCleanup,
        detail: `${chosen.name} after ${duration} ms`,
        disrupts: [chosen.name],
      };
    },
  },
  {
    name: 'healthy worker sheds requests',
    begin(world, random) {
      const { worker } = pick(world.workers, random);
      worker.shedShare = drawBetween(random, 3, 11) / 10;
      return {
        duration: drawBetween(random, 500, 4_000),
        end: () => {
          worker.shedShare = 0;
        },
        detail: `${worker.id}, ${worker.shedShare} of its requests`,
      };
    },
  },
  {
    name: 'all healthy workers shed requests',
    begin(world, random) {
      const share = drawBetween(random, 3, 11) / 10;
      for (const { worker } of world.workers) worker.shedShare = share;
      return {
        duration: drawBetween(random, 1_000, 6_000),
        end: () => {
          for (const { worker } of world.workers) worker.shedShare = 0;
        },
        detail: `${share} of their requests`,
      };
    },
  },
  {
    name: 'connections to the store silenced permanently',
    begin(world, random) {
      const { storeLink, name } = pick(world.processes, random);
      storeLink.silence();
      return { duration: 0, end: noCleanup, detail: name, disrupts: [name] };
    },
  },
  {
    name: 'connections to a worker silenced permanently',
    begin(world, random) {
      const { link, worker } = pick(world.workers, random);
      link.silence();
      return { duration: 0, end: noCleanup, detail: worker.id, disrupts: [worker.id] };
    },
  },
  {
    name: 'connections of agents to an entry silenced permanently',
    begin(world, random) {
      const link = pick(world.seedLinks, random);
      link.silence();
      const agents = world.processes.filter(({ role }) => role === 'agent').map(({ name }) => name);
      return { duration: 0, end: noCleanup, detail: link.target, disrupts: agents };
    },
  },
  {
    name: 'all open connections silenced permanently',
    begin(world) {
      for (const link of world.seedLinks) link.silence();
      for (const { storeLink } of world.processes) storeLink.silence();
      for (const { link } of world.workers) link.silence();
      return { duration: 0, end: noCleanup, detail: 'all', disrupts: [EVERYTHING] };
    },
  },
  {
    name: 'process paused',
    begin(world, random) {
      const chosen = pick(world.processes, random);
      signal(chosen, 'SIGSTOP');
      return {
        duration: drawBetween(random, 200, 2_500),
        end: () => signal(chosen, 'SIGCONT'),
        detail: chosen.name,
        disrupts: [chosen.name],
      };
    },
  },
  {
    name: 'all processes killed',
    begin(world) {
      for (const chosen of world.processes) signal(chosen, 'SIGKILL');
      return { duration: 0, end: noCleanup, detail: 'all', disrupts: [EVERYTHING] };
    },
  },
  {
    name: 'link to the store cut',
    begin(world, random) {
      const { storeLink, name } = pick(world.processes, random);
      const how = pick(['toTarget', 'fromTarget', 'both'] as const, random);
      storeLink.cut(how);
      return {
        duration: drawBetween(random, 300, 3_000),
        end: () => storeLink.cut('none'),
        detail: `${name} ${how}`,
        disrupts: [name],
      };
    },
  },
  {
    name: 'link to the store reset',
    begin(world, random) {
      const { storeLink, name } = pick(world.processes, random);
      storeLink.reset();
      return { duration: 0, end: noCleanup, detail: name, disrupts: [name] };
    },
  },
  {
    name: 'link to the store slow',
    begin(world, random) {
      const { storeLink, name } = pick(world.processes, random);
      storeLink.delay = drawBetween(random, 50, 400);
      return {
        duration: drawBetween(random, 500, 3_000),
        end: () => {
          storeLink.delay = 0;
        },
        detail: name,
        disrupts: [name],
      };
    },
  },
  {
    name: 'link to a worker cut',
    begin(world, random) {
      const { link, worker } = pick(world.workers, random);
      const how = pick(['toTarget', 'fromTarget', 'both'] as const, random);
      link.cut(how);
      return {
        duration: drawBetween(random, 300, 2_000),
        end: () => link.cut('none'),
        detail: `${worker.id} ${how}`,
        disrupts: [worker.id],
      };
    },
  },
  {
    name: 'link to a worker reset',
    begin(world, random) {
      const { link, worker } = pick(world.workers, random);
      link.reset();
      return { duration: 0, end: noCleanup, detail: worker.id, disrupts: [worker.id] };
    },
  },
  {
    name: 'worker replaced',
    begin(world, random) {
      const place = random.below(world.workers.length);
      const { id } = world.workers[place].worker;
      void world.replaceWorker(place);
      return { duration: 1_500, end: noCleanup, detail: id, disrupts: [id] };
    },
  },
  {
    name: 'staged piece corrupted',
    begin(world, random) {
      const engines = world.workers.map(({ worker }) => worker).filter((one) => one instanceof StandInEngine);
      const chosen = pick(engines, random);
      chosen.corruptPiece(random.below(PIECES));
      return { duration: 0, end: noCleanup, detail: chosen.id };
    },
  },
  {
    name: 'store unavailable',
    begin({ store }, random) {
      const how = pick(['down', 'silent', 'losesAnswers'] as const, random);
      store.faults[how] = true;
      return {
        duration: drawBetween(random, 300, 3_000),
        end: () => {
          store.faults[how] = false;
        },
        detail: how,
        disrupts: [EVERYTHING],
      };
    },
  },
  {
    name: 'store history discarded',
    begin({ store }) {
      store.forgetHistory();
      return { duration: 0, end: noCleanup, detail: 'store', disrupts: [EVERYTHING] };
    },
  },
];

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
const RESTARTS: Fault[] = [
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
const RESTARTS_OF_STAGED = RESTARTS.filter(({ name }) => name.startsWith('engine restarted while'));

/** The store is restored from an older copy, alone and together with a replaced worker, a new version and a new configuration. */
const STORE_RESTORES: Fault[] = [
  {
    name: 'store came back from an older copy',
    begin(world, random) {
      const age = drawBetween(random, 100, 3_000);
      const away = drawBetween(random, 200, 1_500);
      void world.restoreOlderCopy(age, away);
      return { duration: age + away, end: noCleanup, detail: `${age} ms old`, disrupts: [EVERYTHING] };
    },
  },
  {
    name: 'worker replaced and version changed before the store was restored',
    begin(world, random) {
      const age = drawBetween(random, 100, 3_000);
      const away = drawBetween(random, 200, 1_500);
      void world.restoreOlderCopy(age, away);
      world.declareNextVersion();
      world.configure();
      void world.replaceWorker(random.below(world.workers.length));
      return { duration: age + away, end: noCleanup, detail: `${age} ms old`, disrupts: [EVERYTHING] };
    },
  },
];

/** Rate limits that workers announce, in requests a second, and the range of their durations, in milliseconds. */
const LIMIT_RATES = [0.5, 1, 2] as const;
const MIN_LIMIT_DURATION = 4_500;
const MAX_LIMIT_DURATION = 8_000;

/** Workers announce a rate limit in their responses for a limited period. */
const LIMITS: Fault[] = [
  {
    name: 'worker announces a rate limit',
    begin(world, random) {
      const { worker } = pick(world.workers, random);
      const rate = pick(LIMIT_RATES, random);
      const duration = drawBetween(random, MIN_LIMIT_DURATION, MAX_LIMIT_DURATION);
      if (worker.rateLimit !== undefined)
        return { duration: 0, end: noCleanup, detail: `${worker.id} already` };
      worker.rateLimit = rate;
      const from = performance.now();
      world.log.limits.push({ worker: worker.id, rate, from, to: from + duration });
      const end = () => {
        worker.rateLimit = undefined;
      };
      return { duration, end, detail: `${worker.id} to ${rate} a second` };
    },
  },
];

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
const STALLS: Fault[] = [
  stall('streams of a worker pause', pauseOften),
  stall('streams of all workers pause', pauseOften, true),
  stall('worker suspended', suspend),
  stall('all workers suspended', suspend, true),
  stall('worker fails continued streams', failContinuations),
  stall('all workers fail continued streams', failContinuations, true),
];

const IDLE_TIMEOUTS = [300, 1_000, 5_000, 20_000, 60_000] as const;
const LONG_TIMEOUTS = [4_500, LONG_TIMEOUT, 9_000, 12_000] as const;
const WRITE_TIMEOUTS = [1_500, ROUTE_TIMEOUT, 6_000] as const;
const MOVED_ROUTE_SERVICES: readonly ConfigurationShape['movedTo'][] = [
  { engines: 1 },
  { plain: 1 },
  { engines: 1, plain: 3 },
];
const MORE_ROUTES = 2_500;

/** Draws a permanent change of the configuration. */
function drawChange(random: Random): Partial<ConfigurationShape> {
  const timeouts = () => ({
    write: pick(WRITE_TIMEOUTS, random),
    long: pick(LONG_TIMEOUTS, random),
    moved: pick(LONG_TIMEOUTS, random),
  });
  const draw = pick(
    [
      () => ({ idleTimeout: pick(IDLE_TIMEOUTS, random) }),
      () => ({ timeouts: timeouts() }),
      () => ({ movedTo: pick(MOVED_ROUTE_SERVICES, random) }),
    ],
    random,
  );
  return draw();
}

/** A change of the configuration that is undone after between `least` and `most` milliseconds. */
function configureTemporarily(
  name: string,
  least: number,
  most: number,
  draw: (random: Random) => Partial<ConfigurationShape>,
  undo: Partial<ConfigurationShape>,
): Fault {
  return {
    name,
    mustFinish: true,
    begin(world, random) {
      const changes = draw(random);
      world.configure(changes);
      const duration = drawBetween(random, least, most);
      const detail = `${JSON.stringify(changes)} from ${world.configurationVersion} on`;
      return { duration, end: () => world.configure(undo), detail };
    },
  };
}

/** Configuration changes that affect requests in progress: alone, in bursts, and together with signals and versions. */
const CONFIGURATIONS: Fault[] = [
  {
    name: 'limits, timeouts or services changed',
    begin(world, random) {
      const changes = drawChange(random);
      world.configure(changes);
      return {
        duration: 0,
        end: noCleanup,
        detail: `${world.configurationVersion}: ${JSON.stringify(changes)}`,
      };
    },
  },
  configureTemporarily(
    'service removed and restored',
    300,
    2_500,
    (random) => ({ dropped: pick(['engines', 'plain'], random) }),
    { dropped: undefined },
  ),
  configureTemporarily('route removed and restored', 300, 2_500, () => ({ lacksMovedRoute: true }), {
    lacksMovedRoute: false,
  }),
  configureTemporarily('many routes', 1_000, 3_000, () => ({ moreRoutes: MORE_ROUTES }), { moreRoutes: 0 }),
  {
    name: 'burst of configurations',
    mustFinish: true,
    begin(world, random) {
      const gap = drawBetween(random, 30, 400);
      const changes = Array.from({ length: drawBetween(random, 4, 12) }, () => drawChange(random));
      const duration = staggered(changes, gap, (change) => world.configure(change));
      return { duration, end: noCleanup, detail: `${changes.length}, every ${gap} ms` };
    },
  },
  {
    name: 'configuration, version and signals at once',
    mustFinish: true,
    begin(world, random) {
      const entries = entriesOf(world);
      const stopped = pick(entries, random);
      const reloaded = pick(entries, random);
      const change = drawChange(random);
      const isBig = random.below(3) === 0;
      const steps = [
        () => world.configure({ ...change, moreRoutes: isBig ? MORE_ROUTES : 0 }),
        () => world.reload(reloaded),
        () => world.declareNextVersion(),
        () => world.terminate(stopped),
        () => world.configure({ ...drawChange(random), moreRoutes: 0 }),
      ];
      const gap = drawBetween(random, 0, 300);
      const duration = staggered(steps, gap, (step) => step());
      return { duration, end: noCleanup, detail: `${stopped.name} stops, every ${gap} ms` };
    },
  },
];

/** Longest pause between two faults, in milliseconds; faults that last longer overlap. */
const MAX_FAULT_PAUSE = 900;
/** The same for faults that need an order under way, of which there are few. */
const MAX_WEIGHTS_FAULT_PAUSE = 2_000;

/** Set of faults that a seed runs. With `planned` nothing excuses a request that is harmed. */
export type FaultChoice =
  | 'planned'
  | 'all'
  | 'restarts'
  | 'drills'
  | 'deadly'
  | 'limits'
  | 'leaving'
  | 'backoffs'
  | 'evacuations'
  | 'regions'
  | 'cold'
  | 'stalls'
  | 'mixed'
  | 'weights';

/** Choices whose draws differ much between adjacent seeds. */
export const SCATTERS_SEED: ReadonlySet<FaultChoice> = new Set(['stalls', 'mixed', 'weights']);

/** Choices in which configurations move a route that callers use. */
export const MOVES_ROUTE: ReadonlySet<FaultChoice> = new Set(['stalls', 'mixed']);

/** Outages of the store, of which the processes learn nothing about workers. */
const STORE_OUTAGES = UNPLANNED.filter(
  ({ name }) => name === 'store unavailable' || name === 'link to the store cut',
);
/** Choices that exclude workers for some time; each of them must be used again at the end. */
export const EXCLUDES_WORKERS: ReadonlySet<FaultChoice> = new Set([
  'leaving',
  'backoffs',
  'evacuations',
  'regions',
  'cold',
]);

const PROCESS_KILLS = UNPLANNED.filter(({ name }) => name === 'process killed');

const repeat = (faults: readonly Fault[], count: number) =>
  Array.from({ length: count }, () => faults).flat();

const FAULTS: Record<FaultChoice, Fault[]> = {
  planned: PLANNED,
  all: [...PLANNED, ...UNPLANNED, ...WEIGHTS_FAULTS],
  // Restarts make up about two in five faults, since otherwise few would be drawn.
  restarts: [...PLANNED, ...UNPLANNED, ...WEIGHTS_FAULTS, ...repeat(RESTARTS, 4)],
  // Meanwhile a content and a prompt part crash the workers: see `deadly-content.ts` and `deadly-part.ts`.
  deadly: [...PLANNED, ...UNPLANNED],
  // Kills are only two in 24: requests from recently disrupted entries are not judged.
  limits: [...PLANNED, ...PLANNED, ...PROCESS_KILLS, ...PROCESS_KILLS, ...repeat(LIMITS, 8)],
  leaving: [...PLANNED, ...PROCESS_KILLS, ...STORE_OUTAGES, ...STORE_OUTAGES, ...repeat(LEAVING, 3)],
  backoffs: [...PLANNED, ...PROCESS_KILLS, ...STORE_OUTAGES, ...RESTARTS.slice(0, 1), ...repeat(BACKOFFS, 3)],
  // Other outages of the store are few: they excuse all entries.
  evacuations: [
    ...repeat(PLANNED, 2),
    ...PROCESS_KILLS,
    ...RESTARTS.slice(0, 1),
    ...STORE_RESTORES.slice(0, 1),
    ...repeat(EVACUATIONS, 4),
  ],
  // Few changes of regions, as both the old and the new ones are allowed for some time.
  regions: [...repeat(PLANNED, 2), ...RESTARTS, ...STALLS, ...EVACUATIONS.slice(0, 1), ...REGION_CHANGES],
  cold: [...PLANNED, ...PROCESS_KILLS, ...STORE_OUTAGES, ...RESTARTS, ...repeat(COLD_STARTS, 2)],
  stalls: [...PLANNED, ...repeat(CONFIGURATIONS, 3), ...repeat(STALLS, 3)],
  mixed: [...PLANNED, ...UNPLANNED, ...WEIGHTS_FAULTS, ...CONFIGURATIONS, ...STALLS, ...STALLS],
  // Meanwhile stages are slow, pieces turn corrupt and versions are named: see `weights-faults.ts`.
  weights: [...repeat(WEIGHTS_FAULTS, 2), ...RESTARTS_OF_STAGED],
  drills: [...PLANNED, ...UNPLANNED, ...WEIGHTS_FAULTS, ...RESTARTS, ...repeat(STORE_RESTORES, 6)],
};

/** Injects faults until `signal` aborts; returns their timeline. */
export async function injectFaults(
  world: SoakWorld,
  random: Random,
  signal: AbortSignal,
  choice: FaultChoice,
): Promise<string[]> {
  const timeline: string[] = [];
  const startedAt = performance.now();
  const faults = FAULTS[choice];
  const maxPause = choice === 'weights' ? MAX_WEIGHTS_FAULT_PAUSE : MAX_FAULT_PAUSE;
  const replaced = new Set<string>();
  let seriesEndAt = startedAt;
  while (!signal.aborted) {
    await new Promise((resolve) => setTimeout(resolve, random.below(maxPause)));
    if (signal.aborted) break;
    const fault = pick(faults, random);
    // No worker is replaced while another replacement is still under way.
    if (fault.name === 'worker replaced' && replaced.size > 0) continue;
    const { duration, end, detail, disrupts = [] } = fault.begin(world, random);
    world.disruptions.record(disrupts, duration + RECOVERY_TIME);
    if (fault.mustFinish === true) seriesEndAt = Math.max(seriesEndAt, performance.now() + duration);
    const at = Math.round(performance.now() - startedAt);
    timeline.push(`${at} ms ${fault.name}: ${detail}${duration > 0 ? ` for ${duration} ms` : ''}`);
    if (fault.name === 'worker replaced') replaced.add(detail);
    setTimeout(() => {
      end();
      replaced.delete(detail);
    }, duration);
  }
  await new Promise((resolve) => setTimeout(resolve, Math.max(0, seriesEndAt - performance.now())));
  return timeline;
}
