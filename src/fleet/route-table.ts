/**
 * A configuration indexed for lookups: the route of a host and a path, the tenant of an API key, a service by name.
 *
 * @example
 * ```ts
 * const table = new RouteTable(configuration);
 * const route = table.match('api.example', '/complete/v1');
 * ```
 */
import { type AllowedRegions, commonRegions } from '../systems/allowed-regions.js';
import type { BackEndService, DeclaredTenant, FleetConfiguration, Route } from './configuration.js';

/** The lookup tables of the active configuration. */
export class RouteTable {
  readonly configuration: FleetConfiguration;
  readonly #routesByHost = new Map<string, Map<string, Route>>();
  readonly #tenantsByKey = new Map<string, DeclaredTenant>();
  readonly #tenantsByName = new Map<string, DeclaredTenant>();
  readonly #services = new Map<string, BackEndService>();
  /** Each priority that occurs in a route or a tenant, once. */
  readonly #priorities: readonly number[];

  constructor(configuration: FleetConfiguration) {
    this.configuration = configuration;
    for (const route of configuration.routes) this.#routesOf(route.host).set(route.pathPrefix, route);
    for (const service of configuration.services) this.#services.set(service.name, service);
    const priorities = [...configuration.routes, ...(configuration.tenants ?? [])].map((one) => one.priority);
    this.#priorities = [...new Set(priorities)].filter((priority) => priority !== undefined);
    for (const tenant of configuration.tenants ?? []) {
      this.#tenantsByName.set(tenant.name, tenant);
      for (const key of tenant.keys) this.#tenantsByKey.set(key, tenant);
    }
  }

  /** The route of `host` with the longest path prefix that matches `path`. */
  match(host: string, path: string): Route | undefined {
    const routes = this.#routesByHost.get(hostName(host));
    if (routes === undefined) return undefined;
    for (let end = path.lastIndexOf('/'); end >= 0; end = end === 0 ? -1 : path.lastIndexOf('/', end - 1)) {
      const route = routes.get(path.slice(0, end + 1));
      if (route !== undefined) return route;
    }
    return undefined;
  }

  /** The tenant that owns the API key. */
  tenantOf(key: string): DeclaredTenant | undefined {
    return this.#tenantsByKey.get(key);
  }

  /** The regions in which requests of `tenant` (its name) on `route` may be served: both bind. */
  regionsOf(route: Route | undefined, tenant: string | undefined): AllowedRegions {
    const declared = tenant === undefined ? undefined : this.#tenantsByName.get(tenant);
    return commonRegions([route?.regions, declared?.regions]);
  }

  /** The lists of regions that routes of `host` and tenants name; those of all routes if the host is empty. */
  regionLists(host: string): Array<ReadonlySet<string>> {
    const { routes, tenants } = this.configuration;
    const ofHost = host === '' ? routes : [...(this.#routesByHost.get(hostName(host))?.values() ?? [])];
    const lists = [...ofHost, ...(tenants ?? [])].map(({ regions }) => regions);
    return lists.filter((regions) => regions !== undefined).map((regions) => new Set(regions));
  }

  service(name: string): BackEndService | undefined {
    return this.#services.get(name);
  }

  /** Rank of `priority` among those of routes and tenants; 0 for the most urgent. */
  rankOf(priority: number): number {
    return this.#priorities.filter((other) => other < priority).length;
  }

  /** Whether requests for routes that are not public must carry an API key. */
  get requiresKeys(): boolean {
    return this.configuration.tenants !== undefined;
  }

  #routesOf(host: string): Map<string, Route> {
    const name = hostName(host);
    const routes = this.#routesByHost.get(name) ?? new Map<string, Route>();
    this.#routesByHost.set(name, routes);
    return routes;
  }
}

/** The path of a request target, without its query. */
export function pathOf(target: string): string {
  const query = target.indexOf('?');
  return query < 0 ? target : target.slice(0, query);
}

/** Selects the service of `route` by weight for a request whose hash is `fraction`, in `[0, 1)`. */
export function targetService(route: Route, fraction: number): string {
  const total = route.targets.reduce((sum, { weight }) => sum + weight, 0);
  let rest = fraction * total;
  for (const { service, weight } of route.targets) {
    rest -= weight;
    if (rest < 0) return service;
  }
  return route.targets[route.targets.length - 1].service;
}

/** The host name in a Host header: in lower case, without the port. */
function hostName(host: string): string {
  const colon = host.indexOf(':');
  return (colon < 0 ? host : host.slice(0, colon)).toLowerCase();
}
