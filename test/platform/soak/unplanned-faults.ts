/** Faults of a soak that are not planned work: what fails in processes, links, workers and the store. */
import { EVERYTHING } from './disruptions.js';
import { StandInEngine } from './engine.js';
import { drawBetween, type Fault, noCleanup, pick } from './fault.js';
import { PIECES } from './workers.js';
import { RESTART_DELAY, type SystemProcess } from './world.js';

function signal(started: SystemProcess, name: NodeJS.Signals): void {
  started.child?.kill(name);
}

export const UNPLANNED: Fault[] = [
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
