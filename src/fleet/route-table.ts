/**
 * A configuration compiled for look-up: the route of a host and a path, the tenant of a key, a service by its name.
 *
 * @example
 * ```ts
 * const table = new RouteTable(configuration);
 * const route = table.match('api.example', '/complete/v1');
 * ```
 */
import type { BackEndService, DeclaredTenant, FleetConfiguration, Route } from './configuration.js';

/** The configuration in force, ready for requests. */
export class RouteTable {
  readonly configuration: FleetConfiguration;
  readonly #routesByHost = new Map<string, Map<string, Route>>();
  readonly #tenantsByKey = new Map<string, DeclaredTenant>();
  readonly #services = new Map<string, BackEndService>();
  /** Each priority that occurs, once. */
  readonly #priorities: readonly number[];

  constructor(configuration: FleetConfiguration) {
    this.configuration = configuration;
    for (const route of configuration.routes) this.#routesOf(route.host).set(route.pathPrefix, route);
    for (const service of configuration.services) this.#services.set(service.name, service);
    const priorities = [...configuration.routes, ...(configuration.tenants ?? [])].map((one) => one.priority);
    this.#priorities = [...new Set(priorities)].filter((priority) => priority !== undefined);
    for (const tenant of configuration.tenants ?? []) {
      for (const key of tenant.keys) this.#tenantsByKey.set(key, tenant);
    }
  }

  /** The route of `host` with the longest prefix that begins `path`. */
  match(host: string, path: string): Route | undefined {
    const routes = this.#routesByHost.get(hostName(host));
    if (routes === undefined) return undefined;
    for (let end = path.lastIndexOf('/'); end >= 0; end = end === 0 ? -1 : path.lastIndexOf('/', end - 1)) {
      const route = routes.get(path.slice(0, end + 1));
      if (route !== undefined) return route;
    }
    return undefined;
  }

  /** The tenant that holds `key`. */
  tenantOf(key: string): DeclaredTenant | undefined {
    return this.#tenantsByKey.get(key);
  }

  service(name: string): BackEndService | undefined {
    return this.#services.get(name);
  }

  /** Place of `priority` among those that routes and tenants have, 0 for the most urgent. */
  rankOf(priority: number): number {
    return this.#priorities.filter((other) => other < priority).length;
  }

  /** True when requests of routes that are not public must carry a key. */
  get needsKeys(): boolean {
    return this.configuration.tenants !== undefined;
  }

  #routesOf(host: string): Map<string, Route> {
    const name = hostName(host);
    const routes = this.#routesByHost.get(name) ?? new Map<string, Route>();
    this.#routesByHost.set(name, routes);
    return routes;
  }
}

/** The path of a request's target, without its query. */
export function pathOf(target: string): string {
  const query = target.indexOf('?');
  return query < 0 ? target : target.slice(0, query);
}

/** The service of `route` for a request whose hash is `fraction`, in `[0, 1)`. */
export function targetService(route: Route, fraction: number): string {
  const total = route.targets.reduce((sum, { weight }) => sum + weight, 0);
  let rest = fraction * total;
  for (const { service, weight } of route.targets) {
    rest -= weight;
    if (rest < 0) return service;
  }
  return route.targets[route.targets.length - 1].service;
}

/** The name in a Host header: without a port, in lower case. */
function hostName(host: string): string {
  const colon = host.indexOf(':');
  return (colon < 0 ? host : host.slice(0, colon)).toLowerCase();
}
