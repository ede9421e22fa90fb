/** Configuration changes of a soak that affect requests in progress. */
import type { Random } from '../../../src/model/random.js';
import { drawBetween, entriesOf, type Fault, noCleanup, pick, staggered } from './fault.js';
import { type ConfigurationShape, LONG_TIMEOUT, ROUTE_TIMEOUT } from './world.js';

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
export const CONFIGURATIONS: Fault[] = [
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
