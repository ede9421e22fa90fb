/** Routes that may be served only in some regions, and the check of where their requests arrive. */
import type { Random } from '../../../src/model/random.js';
import type { SentRequest } from './callers.js';
import { type Fault, noCleanup, pick } from './fault.js';
import { type ConfigurationShape, type SoakWorld, ZONES } from './world.js';

/** Routes that the configuration may bind to regions; each zone of a soak is a region of its own. */
const BOUND_ROUTES = ['write', 'long', 'once', 'again'] as const;

const ONE_REGION = ZONES.map((zone) => [zone]);

/** Draws the regions of each route: mostly one; else all by name, or none named, which allows any. */
export function drawRegions(random: Random): Pick<ConfigurationShape, 'regions'> {
  const regions = Object.fromEntries(
    BOUND_ROUTES.map((route) => [route, pick([...ONE_REGION, ...ONE_REGION, ZONES, []], random)]),
  );
  return { regions };
}

/** The regions of routes change while requests run. */
export const REGION_CHANGES: Fault[] = [
  {
    name: 'regions of routes changed',
    begin(world, random) {
      const changes = drawRegions(random);
      world.configure(changes);
      const detail = `${JSON.stringify(changes.regions)} from ${world.configurationVersion} on`;
      return { duration: 0, end: noCleanup, detail };
    },
  },
];

/** Reports requests that reached a worker in a region that no configuration allowed which may have been in force. */
export function judgeRegions(world: SoakWorld, sent: readonly SentRequest[]): string[] {
  const byId = new Map(sent.map((request) => [request.id, request]));
  const outside = world.log.arrivals.flatMap(({ requestId, worker, at }) => {
    const request = byId.get(requestId);
    const region = world.zoneOf(worker);
    if (request === undefined || region === undefined) return [];
    const mayBeAllowed = world.disruptions
      .regionsOf(request.kind, request.sentAt, at)
      .some((allowed) => allowed.length === 0 || allowed.includes(region));
    return mayBeAllowed
      ? []
      : [`${requestId} (${request.kind}) from ${world.entryAt(request.entry)} at ${worker}`];
  });
  return outside.length === 0
    ? []
    : [`HOME: ${outside.length} requests outside their regions, as of ${outside[0]}`];
}
