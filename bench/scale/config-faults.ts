/** What fails while configuration changes, in the scale run. Times in milliseconds from the first change. */
import { setTimeout as pause } from 'node:timers/promises';
import type { ScaleCluster } from './scale-cluster.js';

/** A case. */
export interface ConfigFault {
  name: string;
  inject(cluster: ScaleCluster): Promise<void>;
}

const BEGIN = 2_000;
const OUTAGE = 8_000;
/** Longer than the time after which a zone out of reach is dropped. */
const ZONE_OUTAGE = 12_000;
const REPLACED_SHARE = 10;

function everyTenth(cluster: ScaleCluster): string[] {
  return cluster.hollowEntries.filter((_, index) => index % REPLACED_SHARE === 0);
}

/** All cases. */
export const CONFIG_FAULTS: readonly ConfigFault[] = [
  {
    name: 'storeDown',
    async inject(cluster) {
      await pause(BEGIN);
      await cluster.setFaults({ tablesDown: true });
      await pause(OUTAGE);
      await cluster.setFaults({ tablesDown: false });
    },
  },
  {
    name: 'storeAnswersLost',
    async inject(cluster) {
      await pause(BEGIN);
      await cluster.setFaults({ loseAnswers: 10 });
    },
  },
  {
    name: 'entriesReplaced',
    async inject(cluster) {
      await pause(BEGIN);
      const names = everyTenth(cluster);
      await cluster.stopEntries(names);
      await cluster.startEntries(names);
    },
  },
  {
    name: 'entriesReplacedWhileStoreDown',
    async inject(cluster) {
      await pause(BEGIN);
      await cluster.setFaults({ tablesDown: true });
      const names = everyTenth(cluster);
      await cluster.stopEntries(names);
      await cluster.startEntries(names);
      await cluster.setFaults({ tablesDown: false });
    },
  },
  {
    name: 'zoneLost',
    async inject(cluster) {
      await pause(BEGIN);
      const zone = cluster.plan.zones.at(-1);
      const ofZone = new Set(
        cluster.plan.entries.filter((entry) => entry.zone === zone).map(({ name }) => name),
      );
      const names = cluster.hollowEntries.filter((name) => ofZone.has(name));
      await cluster.stopEntries(names);
      await pause(ZONE_OUTAGE);
      await cluster.startEntries(names);
    },
  },
];
