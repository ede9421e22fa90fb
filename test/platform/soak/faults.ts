/** Faults of a soak, drawn by its seed: what is done to processes, links, workers and the store, and when it ends. */
import type { Random } from '../../../src/model/random.js';
import { EVERYTHING } from './disruptions.js';
import { PIECES, StandInEngine } from './workers.js';
import { RESTART_DELAY, type SoakWorld, type SystemProcess } from './world.js';

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
      signal(struck, 'SIGHUP');
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
        signal(entry, 'SIGHUP');
        setTimeout(() => world.terminate(entry), gap / 4);
        setTimeout(() => signal(entry, 'SIGHUP'), gap / 2);
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

/** Longest pause between two faults, in milliseconds: series overlap. */
const LONGEST_PAUSE = 900;

/** Which faults a seed plays: with planned work alone, everything that it harms is a loss. */
export type FaultChoice = 'planned' | 'all' | 'restarts' | 'drills' | 'deadly' | 'limits';

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
    world.disruptions.note(strikes, lasts + AFTERMATH);
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
