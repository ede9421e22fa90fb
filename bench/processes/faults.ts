/** The fault cases of a burst over real processes. Times are shares of the window. */
import { setTimeout as pause } from 'node:timers/promises';
import { rendezvousOrder } from '../../src/model/random.js';
import type { Cluster, StartedAgent } from './cluster.js';

/** What a case may act on. */
export interface ProcessFaultContext {
  cluster: Cluster;
  windowSeconds: number;
  /** The machine does not come back: the burst is judged without it. */
  lose(agent: StartedAgent): void;
  /** Declares another version. */
  switchTo(version: string): Promise<void>;
}

/** A case: what is made to happen in a burst. */
export interface ProcessFault {
  name: string;
  inject(context: ProcessFaultContext): Promise<void>;
}

/** All cases. */
export const PROCESS_FAULTS: readonly ProcessFault[] = [
  {
    name: 'machineDies',
    inject: async ({ cluster, windowSeconds, lose }) => {
      await pause(0.3 * windowSeconds * 1_000);
      for (const agent of cluster.agents.slice(0, 2)) {
        cluster.processes.kill(agent.name);
        cluster.processes.kill(`${agent.name}-engine`);
        lose(agent);
      }
    },
  },
  {
    name: 'agentReplaced',
    inject: async ({ cluster, windowSeconds }) => {
      await pause(0.3 * windowSeconds * 1_000);
      cluster.processes.kill(cluster.agents[0].name);
      await pause(500);
      cluster.processes.restart(cluster.agents[0].name);
    },
  },
  {
    name: 'agentFrozen',
    inject: async ({ cluster, windowSeconds }) => {
      await pause(0.2 * windowSeconds * 1_000);
      cluster.processes.kill(cluster.agents[1].name, 'SIGSTOP');
      await pause(0.3 * windowSeconds * 1_000);
      cluster.processes.kill(cluster.agents[1].name, 'SIGCONT');
    },
  },
  {
    name: 'originCorrupts',
    inject: ({ cluster }) => cluster.setFaults({ originCorruption: 0.1 }),
  },
  {
    name: 'originStalls',
    inject: async ({ cluster, windowSeconds }) => {
      await pause(0.1 * windowSeconds * 1_000);
      await cluster.setFaults({ originStalled: true });
      await pause(0.2 * windowSeconds * 1_000);
      await cluster.setFaults({ originStalled: false });
    },
  },
  {
    name: 'originGoneAfterOneCopy',
    inject: async ({ cluster, windowSeconds }) => {
      const chunks = cluster.versions[0].manifest.chunks.length;
      const limit = performance.now() + windowSeconds * 2_000;
      while ((await cluster.platformAudit()).originDistinctChunks < chunks && performance.now() < limit) {
        await pause(50);
      }
      // The last chunk sent has to arrive before the swarm holds one copy.
      await pause(500);
      await cluster.setFaults({ originDown: true });
    },
  },
  {
    name: 'platformDown',
    inject: async ({ cluster }) => {
      // As soon as the placement is in force: from then on the burst needs nothing of the platform's store.
      await pause(1_500);
      await cluster.setFaults({ tablesDown: true, objectsDown: true });
    },
  },
  {
    name: 'coordinatorDies',
    inject: async ({ cluster, windowSeconds }) => {
      await pause(0.2 * windowSeconds * 1_000);
      const addresses = cluster.entries.map((entry) => entry.peers);
      const coordinator = rendezvousOrder(cluster.versions[0].version, addresses)[0];
      const entry = cluster.entries.find(({ peers }) => peers === coordinator);
      if (entry !== undefined) cluster.processes.kill(entry.name);
    },
  },
  {
    name: 'versionChanges',
    inject: async ({ cluster, windowSeconds, switchTo }) => {
      await pause(0.4 * windowSeconds * 1_000);
      await switchTo(cluster.versions[1].version);
    },
  },
];
