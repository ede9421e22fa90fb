/** Faults of a soak, drawn by its seed: what is done to processes, links, workers and the store, and when it ends. */
import type { Random } from '../../../src/model/random.js';
import { PIECES, StandInEngine } from './workers.js';
import type { SoakWorld, SystemProcess } from './world.js';

/** One fault; it returns what ends it, and how long it lasts in milliseconds. */
interface Fault {
  name: string;
  begin(world: SoakWorld, random: Random): { lasts: number; end: () => void; about: string };
}

const nothing = () => {};

function one<T>(items: readonly T[], random: Random): T {
  return items[random.below(items.length)];
}

function signal(started: SystemProcess, name: NodeJS.Signals): void {
  started.child?.kill(name);
}

const between = (random: Random, least: number, most: number) => least + random.below(most - least);

/** One process gets a signal. */
function signalled(name: string, which: NodeJS.Signals): Fault {
  return {
    name,
    begin(world, random) {
      const struck = one(world.processes, random);
      signal(struck, which);
      return { lasts: 0, end: nothing, about: struck.name };
    },
  };
}

const FAULTS: Fault[] = [
  signalled('process killed', 'SIGKILL'),
  signalled('process told to stop', 'SIGTERM'),
  signalled('settings told to have changed', 'SIGHUP'),
  {
    name: 'process paused',
    begin(world, random) {
      const struck = one(world.processes, random);
      signal(struck, 'SIGSTOP');
      return {
        lasts: between(random, 200, 2_500),
        end: () => signal(struck, 'SIGCONT'),
        about: struck.name,
      };
    },
  },
  {
    name: 'all processes killed',
    begin(world) {
      for (const struck of world.processes) signal(struck, 'SIGKILL');
      return { lasts: 0, end: nothing, about: 'all' };
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
      };
    },
  },
  {
    name: 'way to the store reset',
    begin(world, random) {
      const { storeLink, name } = one(world.processes, random);
      storeLink.reset();
      return { lasts: 0, end: nothing, about: name };
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
      };
    },
  },
  {
    name: 'way to a worker reset',
    begin(world, random) {
      const { link, worker } = one(world.workers, random);
      link.reset();
      return { lasts: 0, end: nothing, about: worker.id };
    },
  },
  {
    name: 'worker replaced',
    begin(world, random) {
      const place = random.below(world.workers.length);
      const { id } = world.workers[place].worker;
      void world.replaceWorker(place);
      return { lasts: 1_500, end: nothing, about: id };
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
      };
    },
  },
  {
    name: 'history forgotten',
    begin({ store }) {
      store.forgetHistory();
      return { lasts: 0, end: nothing, about: 'store' };
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

/** Longest pause between two faults, in milliseconds: series overlap. */
const LONGEST_PAUSE = 900;

/** Provokes faults until `signal`; returns their time line. */
export async function provoke(world: SoakWorld, random: Random, signal: AbortSignal): Promise<string[]> {
  const timeline: string[] = [];
  const startedAt = performance.now();
  const replaced = new Set<string>();
  while (!signal.aborted) {
    await new Promise((resolve) => setTimeout(resolve, random.below(LONGEST_PAUSE)));
    if (signal.aborted) break;
    const fault = one(FAULTS, random);
    // A place whose worker is being replaced is left alone until it is there.
    if (fault.name === 'worker replaced' && replaced.size > 0) continue;
    const { lasts, end, about } = fault.begin(world, random);
    const at = Math.round(performance.now() - startedAt);
    timeline.push(`${at} ms ${fault.name}: ${about}${lasts > 0 ? ` for ${lasts} ms` : ''}`);
    if (fault.name === 'worker replaced') replaced.add(about);
    setTimeout(() => {
      end();
      replaced.delete(about);
    }, lasts);
  }
  return timeline;
}
