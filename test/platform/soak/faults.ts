/** Faults of a soak, drawn by its seed: what is done to processes, links, workers and the store, and when it ends. */
import { type Random, seededRandom } from '../../../src/model/random.js';
import { EVERYTHING } from './disruptions.js';
import type { Stalls } from './stalls.js';
import { PIECES, StandInEngine } from './workers.js';
import {
  type ConfigurationShape,
  LONG_TIMEOUT,
  RESTART_DELAY,
  ROUTE_TIMEOUT,
  type SoakWorld,
  type SystemProcess,
} from './world.js';

/** A fault that has begun. */
interface BegunFault {
  /** How long it lasts, in milliseconds. */
  lasts: number;
  end: () => void;
  about: string;
  /** Parts that it strikes without being planned. */
  strikes?: string[];
}

/** One fault. */
interface Fault {
  name: string;
  /** True where it goes on by itself and is waited for. */
  isSeries?: boolean;
  begin(world: SoakWorld, random: Random): BegunFault;
}

/** After a fault its parts count as struck for this long, in milliseconds: processes start and connections are made. */
const AFTERMATH = 2_000;

const nothing = () => {};

function one<T>(items: readonly T[], random: Random): T {
  return items[random.below(items.length)];
}

function signal(started: SystemProcess, name: NodeJS.Signals): void {
  started.child?.kill(name);
}

const between = (random: Random, least: number, most: number) => least + random.below(most - least);

const entriesOf = (world: SoakWorld) => world.processes.filter(({ role }) => role === 'entry');

/** Does something to parts one after the other, `gap` milliseconds apart; returns how long that takes. */
function inTurn<T>(parts: readonly T[], gap: number, act: (part: T) => void): number {
  for (const [place, part] of parts.entries()) setTimeout(() => act(part), place * gap);
  return parts.length * gap;
}

/** What operators do in planned work: signals, configurations and versions, alone and in series. */
const PLANNED: Fault[] = [
  {
    name: 'process told to stop',
    begin(world, random) {
      const struck = one(world.processes, random);
      world.terminate(struck);
      return { lasts: 0, end: nothing, about: struck.name };
    },
  },
  {
    name: 'settings told to have changed',
    begin(world, random) {
      const struck = one(world.processes, random);
      world.reload(struck);
      return { lasts: 0, end: nothing, about: struck.name };
    },
  },
  {
    name: 'entries told to stop in turn',
    isSeries: true,
    begin(world, random) {
      const gap = between(random, 200, 1_500);
      const lasts = inTurn(entriesOf(world), gap, (entry) => world.terminate(entry));
      return { lasts, end: nothing, about: `every ${gap} ms` };
    },
  },
  {
    name: 'entries told to stop in turn, with changed settings between',
    isSeries: true,
    begin(world, random) {
      const gap = between(random, 400, 1_500);
      const entries = entriesOf(world);
      const lasts = inTurn(entries, gap, (entry) => {
        world.reload(entry);
        setTimeout(() => world.terminate(entry), gap / 4);
        setTimeout(() => world.reload(entry), gap / 2);
      });
      return { lasts, end: nothing, about: `every ${gap} ms` };
    },
  },
  {
    name: 'process told to stop twice',
    isSeries: true,
    begin(world, random) {
      const struck = one(world.processes, random);
      const gap = between(random, 20, 2_500);
      world.terminate(struck);
      const { child } = struck;
      setTimeout(() => {
        if (struck.child === child) world.terminate(struck);
      }, gap);
      return { lasts: gap, end: nothing, about: `${struck.name} after ${gap} ms` };
    },
  },
  {
    name: 'configuration changed',
    begin(world) {
      world.configure();
      return { lasts: 0, end: nothing, about: `revision ${world.configurationVersion}` };
    },
  },
  {
    name: 'version named',
    begin(world) {
      world.bumpVersion();
      return { lasts: 0, end: nothing, about: `version ${world.weightsVersion}` };
    },
  },
];

/** What goes wrong. */
const UNPLANNED: Fault[] = [
  {
    name: 'process killed',
    begin(world, random) {
      const struck = one(world.processes, random);
      signal(struck, 'SIGKILL');
      return { lasts: 0, end: nothing, about: struck.name, strikes: [struck.name] };
    },
  },
  {
    name: 'process told to stop while it starts',
    isSeries: true,
    begin(world, random) {
      const struck = one(world.processes, random);
      const lasts = RESTART_DELAY + between(random, 0, 500);
      signal(struck, 'SIGKILL');
      setTimeout(() => world.terminate(struck), lasts);
      return { lasts, end: nothing, about: `${struck.name} after ${lasts} ms`, strikes: [struck.name] };
    },
  },
  {
    name: 'worker sheds though it is healthy',
    begin(world, random) {
      const { worker } = one(world.workers, random);
      worker.shedShare = between(random, 3, 11) / 10;
      return {
        lasts: between(random, 500, 4_000),
        end: () => {
          worker.shedShare = 0;
        },
        about: `${worker.id}, ${worker.shedShare} of its requests`,
      };
    },
  },
  {
    name: 'all workers shed though they are healthy',
    begin(world, random) {
      const share = between(random, 3, 11) / 10;
      for (const { worker } of world.workers) worker.shedShare = share;
      return {
        lasts: between(random, 1_000, 6_000),
        end: () => {
          for (const { worker } of world.workers) worker.shedShare = 0;
        },
        about: `${share} of their requests`,
      };
    },
  },
  {
    name: 'connections to the store silent for good',
    begin(world, random) {
      const { storeLink, name } = one(world.processes, random);
      storeLink.silence();
      return { lasts: 0, end: nothing, about: name, strikes: [name] };
    },
  },
  {
    name: 'connections to a worker silent for good',
    begin(world, random) {
      const { link, worker } = one(world.workers, random);
      link.silence();
      return { lasts: 0, end: nothing, about: worker.id, strikes: [worker.id] };
    },
  },
  {
    name: 'connections of agents to an entry silent for good',
    begin(world, random) {
      const link = one(world.seedLinks, random);
      link.silence();
      const agents = world.processes.filter(({ role }) => role === 'agent').map(({ name }) => name);
      return { lasts: 0, end: nothing, about: link.target, strikes: agents };
    },
  },
  {
    name: 'all open connections silent for good',
    begin(world) {
      for (const link of world.seedLinks) link.silence();
      for (const { storeLink } of world.processes) storeLink.silence();
      for (const { link } of world.workers) link.silence();
      return { lasts: 0, end: nothing, about: 'all', strikes: [EVERYTHING] };
    },
  },
  {
    name: 'process paused',
    begin(world, random) {
      const struck = one(world.processes, random);
      signal(struck, 'SIGSTOP');
      return {
        lasts: between(random, 200, 2_500),
        end: () => signal(struck, 'SIGCONT'),
        about: struck.name,
        strikes: [struck.name],
      };
    },
  },
  {
    name: 'all processes killed',
    begin(world) {
      for (const struck of world.processes) signal(struck, 'SIGKILL');
      return { lasts: 0, end: nothing, about: 'all', strikes: [EVERYTHING] };
    },
  },
  {
    name: 'way to the store cut',
    begin(world, random) {
      const { storeLink, name } = one(world.processes, random);
      const how = one(['toTarget', 'fromTarget', 'both'] as const, random);
      storeLink.cut(how);
      return {
        lasts: between(random, 300, 3_000),
        end: () => storeLink.cut('none'),
        about: `${name} ${how}`,
        strikes: [name],
      };
    },
  },
  {
    name: 'way to the store reset',
    begin(world, random) {
      const { storeLink, name } = one(world.processes, random);
      storeLink.reset();
      return { lasts: 0, end: nothing, about: name, strikes: [name] };
    },
  },
  {
    name: 'way to the store slow',
    begin(world, random) {
      const { storeLink, name } = one(world.processes, random);
      storeLink.delay = between(random, 50, 400);
      return {
        lasts: between(random, 500, 3_000),
        end: () => {
          storeLink.delay = 0;
        },
        about: name,
        strikes: [name],
      };
    },
  },
  {
    name: 'way to a worker cut',
    begin(world, random) {
      const { link, worker } = one(world.workers, random);
      const how = one(['toTarget', 'fromTarget', 'both'] as const, random);
      link.cut(how);
      return {
        lasts: between(random, 300, 2_000),
        end: () => link.cut('none'),
        about: `${worker.id} ${how}`,
        strikes: [worker.id],
      };
    },
  },
  {
    name: 'way to a worker reset',
    begin(world, random) {
      const { link, worker } = one(world.workers, random);
      link.reset();
      return { lasts: 0, end: nothing, about: worker.id, strikes: [worker.id] };
    },
  },
  {
    name: 'worker replaced',
    begin(world, random) {
      const place = random.below(world.workers.length);
      const { id } = world.workers[place].worker;
      void world.replaceWorker(place);
      return { lasts: 1_500, end: nothing, about: id, strikes: [id] };
    },
  },
  {
    name: 'staged piece turned bad',
    begin(world, random) {
      const engines = world.workers.map(({ worker }) => worker).filter((one) => one instanceof StandInEngine);
      const struck = one(engines, random);
      struck.rot(random.below(PIECES));
      return { lasts: 0, end: nothing, about: struck.id };
    },
  },
  {
    name: 'store away',
    begin({ store }, random) {
      const how = one(['down', 'silent', 'losesAnswers'] as const, random);
      store.faults[how] = true;
      return {
        lasts: between(random, 300, 3_000),
        end: () => {
          store.faults[how] = false;
        },
        about: how,
        strikes: [EVERYTHING],
      };
    },
  },
  {
    name: 'history forgotten',
    begin({ store }) {
      store.forgetHistory();
      return { lasts: 0, end: nothing, about: 'store', strikes: [EVERYTHING] };
    },
  },
];

/** Longest time for which a moment to start an engine again is looked for, in milliseconds, and between two looks. */
const MOMENT_LIMIT = 6_000;
const MOMENT_INTERVAL = 5;
/** Some clocks are an hour behind after a restart, in milliseconds. */
const CLOCK_STEP = -3_600_000;

/** Starts the worker at `place` again under its id. */
function restart(world: SoakWorld, random: Random, place: number): void {
  const clockStep = random.below(4) === 0 ? CLOCK_STEP : 0;
  void world.restartWorker(place, clockStep, random.below(2) === 0);
}

/** Starts an engine again at the first moment at which `isMoment` says so. */
function restartAt(
  world: SoakWorld,
  random: Random,
  isMoment: (engine: StandInEngine) => boolean,
): BegunFault {
  const engines = world.workers.flatMap(({ worker }, place) =>
    worker instanceof StandInEngine ? [place] : [],
  );
  const place = one(engines, random);
  const { id } = world.workers[place].worker;
  const timer = setInterval(() => {
    const { worker } = world.workers[place];
    if (!(worker instanceof StandInEngine) || !isMoment(worker)) return;
    clearInterval(timer);
    restart(world, random, place);
  }, MOMENT_INTERVAL);
  return { lasts: MOMENT_LIMIT, end: () => clearInterval(timer), about: id, strikes: [id] };
}

/** Workers that start again under their id. */
const RESTARTS: Fault[] = [
  {
    name: 'worker started again',
    begin(world, random) {
      const place = random.below(world.workers.length);
      const { id } = world.workers[place].worker;
      restart(world, random, place);
      return { lasts: 0, end: nothing, about: id, strikes: [id] };
    },
  },
  {
    name: 'worker started again behind a cut',
    begin(world, random) {
      const place = random.below(world.workers.length);
      const { link, worker } = world.workers[place];
      const how = one(['toTarget', 'fromTarget', 'both'] as const, random);
      const lasts = between(random, 300, 2_000);
      link.cut(how);
      setTimeout(() => restart(world, random, place), lasts / 2);
      return { lasts, end: () => link.cut('none'), about: `${worker.id} ${how}`, strikes: [worker.id] };
    },
  },
  {
    name: 'engine started again during a switch',
    begin(world, random) {
      world.bumpVersion();
      return restartAt(world, random, ({ isBusy }) => isBusy);
    },
  },
  {
    name: 'engine started again while pieces are staged',
    begin(world, random) {
      world.bumpVersion();
      return restartAt(world, random, ({ isStaged }) => isStaged);
    },
  },
  {
    name: 'engine started again while it has requests',
    begin: (world, random) => restartAt(world, random, ({ isAtWork }) => isAtWork),
  },
  {
    name: 'all workers started again',
    begin(world, random) {
      for (const place of world.workers.keys()) restart(world, random, place);
      return { lasts: 0, end: nothing, about: 'all', strikes: [EVERYTHING] };
    },
  },
];

/** The store comes back from an older copy of itself, alone and beside joins and drains. */
const DRILLS: Fault[] = [
  {
    name: 'store came back from an older copy',
    begin(world, random) {
      const age = between(random, 100, 3_000);
      const away = between(random, 200, 1_500);
      void world.bringOlderCopy(age, away);
      return { lasts: age + away, end: nothing, about: `${age} ms old`, strikes: [EVERYTHING] };
    },
  },
  {
    name: 'worker replaced and version named before the store went back',
    begin(world, random) {
      const age = between(random, 100, 3_000);
      const away = between(random, 200, 1_500);
      void world.bringOlderCopy(age, away);
      world.bumpVersion();
      world.configure();
      void world.replaceWorker(random.below(world.workers.length));
      return { lasts: age + away, end: nothing, about: `${age} ms old`, strikes: [EVERYTHING] };
    },
  },
];

/** Rate limits that workers name, in requests a second, and the range of their durations, in milliseconds. */
const LIMIT_RATES = [0.5, 1, 2] as const;
const SHORTEST_LIMIT = 4_500;
const LONGEST_LIMIT = 8_000;

/** Workers name a rate limit in their answers for a time. */
const LIMITS: Fault[] = [
  {
    name: 'worker limits its rate',
    begin(world, random) {
      const { worker } = one(world.workers, random);
      const rate = one(LIMIT_RATES, random);
      const lasts = between(random, SHORTEST_LIMIT, LONGEST_LIMIT);
      if (worker.rateLimit !== undefined) return { lasts: 0, end: nothing, about: `${worker.id} already` };
      worker.rateLimit = rate;
      const from = performance.now();
      world.log.limits.push({ worker: worker.id, rate, from, to: from + lasts });
      const end = () => {
        worker.rateLimit = undefined;
      };
      return { lasts, end, about: `${worker.id} to ${rate} a second` };
    },
  },
];

/** Pauses of a worker in a hundred events, and of a worker that often pauses. */
const FEW_PAUSES = 2;
const MANY_PAUSES = 6;

function stall(
  name: string,
  begin: (stalls: Stalls, random: Random) => { lasts: number; about: string },
  strikesAll = false,
): Fault {
  return {
    name,
    begin(world, random) {
      const struck = strikesAll ? world.workers : [one(world.workers, random)];
      const seed = random.below(1_000_000);
      const begun = struck.map(({ worker: { stalls } }, place) => {
        stalls.drawFrom(seededRandom(seed + place));
        return begin(stalls, random);
      });
      const lasts = Math.max(...begun.map((each) => each.lasts));
      const end = () => {
        for (const { worker } of struck) worker.stalls.heal();
      };
      const parts = strikesAll ? 'all workers' : struck[0].worker.id;
      return { lasts, end, about: `${parts} ${begun[0].about}` };
    },
  };
}

const pauseOften = (stalls: Stalls, random: Random) => {
  stalls.eventsInHundred = between(random, FEW_PAUSES, MANY_PAUSES);
  stalls.startsInHundred = between(random, 0, 10);
  return { lasts: between(random, 1_500, 5_000), about: `${stalls.eventsInHundred} in 100 events` };
};

const standStill = (stalls: Stalls, random: Random) => {
  const lasts = between(random, 700, 2_000);
  stalls.standStill(lasts);
  return { lasts, about: '' };
};

const failContinuations = (stalls: Stalls, random: Random) => {
  stalls.continuation = one(['refuses', 'breaksOff'] as const, random);
  stalls.continuationsInHundred = between(random, 30, 101);
  stalls.eventsInHundred = between(random, 0, FEW_PAUSES);
  const about = `${stalls.continuation} ${stalls.continuationsInHundred} in 100 streams that go on`;
  return { lasts: between(random, 2_000, 6_000), about };
};

/** Sound workers pause, and fail where a stream is to go on: nothing of it counts as a disruption. */
const STALLS: Fault[] = [
  stall('streams of a worker pause', pauseOften),
  stall('streams of all workers pause', pauseOften, true),
  stall('worker stands still', standStill),
  stall('all workers stand still', standStill, true),
  stall('worker fails streams that go on', failContinuations),
  stall('all workers fail streams that go on', failContinuations, true),
];

const IDLE_TIMEOUTS = [300, 1_000, 5_000, 20_000, 60_000] as const;
const LONG_TIMEOUTS = [4_500, LONG_TIMEOUT, 9_000, 12_000] as const;
const WRITE_TIMEOUTS = [1_500, ROUTE_TIMEOUT, 6_000] as const;
const MOVES: readonly ConfigurationShape['movedTo'][] = [
  { engines: 1 },
  { plain: 1 },
  { engines: 1, plain: 3 },
];
const MORE_ROUTES = 2_500;

/** A change that stays. */
function drawChange(random: Random): Partial<ConfigurationShape> {
  const timeouts = () => ({
    write: one(WRITE_TIMEOUTS, random),
    long: one(LONG_TIMEOUTS, random),
    moved: one(LONG_TIMEOUTS, random),
  });
  const draw = one(
    [
      () => ({ idleTimeout: one(IDLE_TIMEOUTS, random) }),
      () => ({ timeouts: timeouts() }),
      () => ({ movedTo: one(MOVES, random) }),
    ],
    random,
  );
  return draw();
}

/** Declares something for a time. */
function declareFor(
  name: string,
  least: number,
  most: number,
  draw: (random: Random) => Partial<ConfigurationShape>,
  undo: Partial<ConfigurationShape>,
): Fault {
  return {
    name,
    isSeries: true,
    begin(world, random) {
      const changes = draw(random);
      world.configure(changes);
      const lasts = between(random, least, most);
      const about = `${JSON.stringify(changes)} from ${world.configurationVersion} on`;
      return { lasts, end: () => world.configure(undo), about };
    },
  };
}

/** Configurations that change what running requests go by, alone, in storms, and beside signals and versions. */
const CONFIGURATIONS: Fault[] = [
  {
    name: 'limits, time-outs or services changed',
    begin(world, random) {
      const changes = drawChange(random);
      world.configure(changes);
      return { lasts: 0, end: nothing, about: `${world.configurationVersion}: ${JSON.stringify(changes)}` };
    },
  },
  declareFor(
    'service dropped and brought back',
    300,
    2_500,
    (random) => ({ dropped: one(['engines', 'plain'], random) }),
    { dropped: undefined },
  ),
  declareFor('route dropped and brought back', 300, 2_500, () => ({ lacksMovedRoute: true }), {
    lacksMovedRoute: false,
  }),
  declareFor('many routes', 1_000, 3_000, () => ({ moreRoutes: MORE_ROUTES }), { moreRoutes: 0 }),
  {
    name: 'storm of configurations',
    isSeries: true,
    begin(world, random) {
      const gap = between(random, 30, 400);
      const changes = Array.from({ length: between(random, 4, 12) }, () => drawChange(random));
      const lasts = inTurn(changes, gap, (change) => world.configure(change));
      return { lasts, end: nothing, about: `${changes.length}, every ${gap} ms` };
    },
  },
  {
    name: 'configuration, version and signals at once',
    isSeries: true,
    begin(world, random) {
      const entries = entriesOf(world);
      const stopped = one(entries, random);
      const reloaded = one(entries, random);
      const change = drawChange(random);
      const isBig = random.below(3) === 0;
      const steps = [
        () => world.configure({ ...change, moreRoutes: isBig ? MORE_ROUTES : 0 }),
        () => world.reload(reloaded),
        () => world.bumpVersion(),
        () => world.terminate(stopped),
        () => world.configure({ ...drawChange(random), moreRoutes: 0 }),
      ];
      const gap = between(random, 0, 300);
      const lasts = inTurn(steps, gap, (step) => step());
      return { lasts, end: nothing, about: `${stopped.name} stops, every ${gap} ms` };
    },
  },
];

/** Longest pause between two faults, in milliseconds: series overlap. */
const LONGEST_PAUSE = 900;

/** Which faults a seed plays: with planned work alone, everything that it harms is a loss. */
export type FaultChoice =
  | 'planned'
  | 'all'
  | 'restarts'
  | 'drills'
  | 'deadly'
  | 'limits'
  | 'stalls'
  | 'mixed';

/** Choices in which configurations move a route that callers use. */
export const MOVES_ROUTE: ReadonlySet<FaultChoice> = new Set(['stalls', 'mixed']);

const PROCESS_KILLS = UNPLANNED.filter(({ name }) => name === 'process killed');

const repeat = (faults: readonly Fault[], count: number) =>
  Array.from({ length: count }, () => faults).flat();

const FAULTS: Record<FaultChoice, Fault[]> = {
  planned: PLANNED,
  all: [...PLANNED, ...UNPLANNED],
  // Restarts are two in five, or few would come.
  restarts: [...PLANNED, ...UNPLANNED, ...RESTARTS, ...RESTARTS, ...RESTARTS],
  // Beside them a content ends the workers that run it: see `deadly-content.ts`.
  deadly: [...PLANNED, ...UNPLANNED],
  // Kills are only two in 24: requests from recently disrupted entries are not judged.
  limits: [...PLANNED, ...PLANNED, ...PROCESS_KILLS, ...PROCESS_KILLS, ...repeat(LIMITS, 8)],
  stalls: [...PLANNED, ...repeat(CONFIGURATIONS, 3), ...repeat(STALLS, 3)],
  mixed: [...PLANNED, ...UNPLANNED, ...CONFIGURATIONS, ...STALLS, ...STALLS],
  drills: [...PLANNED, ...UNPLANNED, ...RESTARTS, ...DRILLS, ...DRILLS, ...DRILLS, ...DRILLS],
};

/** Provokes faults until `signal`; returns their time line. */
export async function provoke(
  world: SoakWorld,
  random: Random,
  signal: AbortSignal,
  choice: FaultChoice,
): Promise<string[]> {
  const timeline: string[] = [];
  const startedAt = performance.now();
  const faults = FAULTS[choice];
  const replaced = new Set<string>();
  let seriesEndAt = startedAt;
  while (!signal.aborted) {
    await new Promise((resolve) => setTimeout(resolve, random.below(LONGEST_PAUSE)));
    if (signal.aborted) break;
    const fault = one(faults, random);
    // A place whose worker is being replaced is left alone until it is there.
    if (fault.name === 'worker replaced' && replaced.size > 0) continue;
    const { lasts, end, about, strikes = [] } = fault.begin(world, random);
    world.disruptions.record(strikes, lasts + AFTERMATH);
    if (fault.isSeries === true) seriesEndAt = Math.max(seriesEndAt, performance.now() + lasts);
    const at = Math.round(performance.now() - startedAt);
    timeline.push(`${at} ms ${fault.name}: ${about}${lasts > 0 ? ` for ${lasts} ms` : ''}`);
    if (fault.name === 'worker replaced') replaced.add(about);
    setTimeout(() => {
      end();
      replaced.delete(about);
    }, lasts);
  }
  await new Promise((resolve) => setTimeout(resolve, Math.max(0, seriesEndAt - performance.now())));
  return timeline;
}
