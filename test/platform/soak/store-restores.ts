/** Restorations of the store of a soak. */
import { EVERYTHING } from './disruptions.js';
import { drawBetween, type Fault, noCleanup } from './fault.js';

/** The store is restored from an older copy, alone and together with a replaced worker, a new version and a new configuration. */
export const STORE_RESTORES: Fault[] = [
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
