/** The fault cases of the request path, over real processes. Times in milliseconds from the begin of the load. */
import { setTimeout as pause } from 'node:timers/promises';
import { waitForHttp } from './child.js';
import type { Cluster, StartedAgent } from './cluster.js';
import type { Cut } from './cuttable-link.js';

/** What a case may act on. */
export interface RequestFaultContext {
  cluster: Cluster;
  engines: StartedAgent[];
  services: StartedAgent[];
  /** Notes that a machine was asked to leave now: later work there is a breach. */
  noteLeaving(agent: StartedAgent): void;
}

/** A case; `planned` ones may cut nothing off. */
export interface RequestFault {
  name: string;
  planned?: boolean;
  inject(context: RequestFaultContext): Promise<void>;
}

const DRAIN_TIME = 4_000;
/** Longer and shorter than the silence after which a connection is ended. */
const CUT_TIME = 6_000;
const SHORT_CUT_TIME = 1_500;

async function freeze(cluster: Cluster, name: string, milliseconds: number): Promise<void> {
  cluster.processes.kill(name, 'SIGSTOP');
  await pause(milliseconds);
  cluster.processes.kill(name, 'SIGCONT');
}

async function cutLinks(
  { engines, services }: RequestFaultContext,
  cut: Cut,
  milliseconds: number,
): Promise<void> {
  const links = [engines[0].link, services[0].link];
  for (const link of links) link?.cut(cut);
  await pause(milliseconds);
  for (const link of links) link?.cut('none');
}

async function cutEntryLink({ cluster }: RequestFaultContext, cut: Cut): Promise<void> {
  const { link } = cluster.entries[1];
  link?.cut(cut);
  await pause(CUT_TIME);
  link?.cut('none');
}

async function replace(cluster: Cluster, name: string): Promise<void> {
  cluster.processes.kill(name);
  await pause(300);
  cluster.processes.restart(name);
}

async function drain(context: RequestFaultContext, agent: StartedAgent): Promise<void> {
  context.noteLeaving(agent);
  await fetch(`http://${agent.operators}/drain`, { method: 'POST' });
}

/** All cases. */
export const REQUEST_FAULTS: readonly RequestFault[] = [
  { name: 'entryDies', inject: async ({ cluster }) => cluster.processes.kill('entry-1') },
  { name: 'entryReplaced', inject: ({ cluster }) => replace(cluster, 'entry-1') },
  { name: 'entryFrozen', inject: ({ cluster }) => freeze(cluster, 'entry-1', 5_000) },
  {
    name: 'engineAgentDies',
    inject: async ({ cluster, engines }) => cluster.processes.kill(engines[0].name),
  },
  {
    name: 'engineDies',
    inject: async ({ cluster, engines }) => cluster.processes.kill(`${engines[0].name}-engine`),
  },
  { name: 'engineAgentFrozen', inject: ({ cluster, engines }) => freeze(cluster, engines[0].name, 5_000) },
  {
    name: 'engineFrozen',
    inject: ({ cluster, engines }) => freeze(cluster, `${engines[0].name}-engine`, 5_000),
  },
  { name: 'ownerDies', inject: async ({ cluster, services }) => cluster.processes.kill(services[0].name) },
  { name: 'ownerReplaced', inject: ({ cluster, services }) => replace(cluster, services[0].name) },
  { name: 'ownerFrozen', inject: ({ cluster, services }) => freeze(cluster, services[0].name, 8_000) },
  {
    name: 'serviceDies',
    inject: async ({ cluster, services }) => cluster.processes.kill(`${services[0].name}-service`),
  },
  {
    name: 'serviceFrozen',
    inject: ({ cluster, services }) => freeze(cluster, `${services[0].name}-service`, 5_000),
  },
  { name: 'linkCutBothWays', inject: (context) => cutLinks(context, 'both', CUT_TIME) },
  { name: 'linkCutToAgents', inject: (context) => cutLinks(context, 'toTarget', CUT_TIME) },
  { name: 'linkCutFromAgents', inject: (context) => cutLinks(context, 'fromTarget', CUT_TIME) },
  { name: 'linkCutShortly', inject: (context) => cutLinks(context, 'both', SHORT_CUT_TIME) },
  { name: 'entryLinkCutBothWays', inject: (context) => cutEntryLink(context, 'both') },
  { name: 'entryLinkCutToEntry', inject: (context) => cutEntryLink(context, 'toTarget') },
  { name: 'entryLinkCutFromEntry', inject: (context) => cutEntryLink(context, 'fromTarget') },
  { name: 'storeDown', inject: ({ cluster }) => cluster.setFaults({ tablesDown: true, objectsDown: true }) },
  { name: 'storeSlow', inject: ({ cluster }) => cluster.setFaults({ tablesDelay: 2_500 }) },
  { name: 'storeAnswersLost', inject: ({ cluster }) => cluster.setFaults({ loseAnswers: 50 }) },
  {
    name: 'machineGone',
    inject: async ({ cluster, services }) => {
      cluster.processes.kill(services[0].name);
      cluster.processes.kill(`${services[0].name}-service`);
      await cluster.listMachines(cluster.agents.filter((agent) => agent !== services[0]));
    },
  },
  {
    name: 'frozenOwnerTakenForGone',
    inject: async ({ cluster, services }) => {
      await cluster.listMachines(cluster.agents.filter((agent) => agent !== services[0]));
      await freeze(cluster, services[0].name, 14_000);
    },
  },
  {
    name: 'ownerReplacedWhileStoreDown',
    inject: async ({ cluster, services }) => {
      await cluster.setFaults({ tablesDown: true, objectsDown: true });
      await replace(cluster, services[0].name);
      await pause(5_000);
      await cluster.setFaults({ tablesDown: false, objectsDown: false });
    },
  },
  {
    name: 'ownerReplacedWhileEntryFrozen',
    inject: async ({ cluster, services }) => {
      await Promise.all([freeze(cluster, 'entry-1', 5_000), replace(cluster, services[0].name)]);
    },
  },
  {
    name: 'ownerFrozenAndEntryDies',
    inject: async ({ cluster, services }) => {
      cluster.processes.kill('entry-2');
      await freeze(cluster, services[1].name, 5_000);
    },
  },
  {
    name: 'agentsDrain',
    planned: true,
    inject: async (context) => {
      await drain(context, context.engines[0]);
      await drain(context, context.services[0]);
    },
  },
  {
    name: 'entryDrains',
    planned: true,
    inject: async ({ cluster }) => cluster.processes.kill('entry-1', 'SIGTERM'),
  },
  {
    name: 'entriesRestartOneByOne',
    planned: true,
    inject: async ({ cluster }) => {
      for (const { name, callers } of cluster.entries) {
        cluster.processes.kill(name, 'SIGTERM');
        await cluster.processes.ended(name);
        cluster.processes.restart(name);
        await waitForHttp(`http://${callers}/status`);
      }
    },
  },
  {
    name: 'agentsRestartOneByOne',
    planned: true,
    inject: async (context) => {
      const { cluster, engines, services } = context;
      for (const agent of [engines[0], services[0], engines[1], services[1]]) {
        await drain(context, agent);
        await pause(DRAIN_TIME);
        cluster.processes.kill(agent.name, 'SIGTERM');
        await cluster.processes.ended(agent.name);
        agent.restartedAt = Date.now();
        cluster.processes.restart(agent.name);
      }
    },
  },
];
