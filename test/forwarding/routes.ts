/** Routes, and configurations of a service without agents, for tests. */
import type { FleetConfiguration, Route } from '../../src/fleet/configuration.js';

/** A route for the path `/<name>/` to the service `billing`; its requests may run more than once. */
export function routeNamed(name: string, changes: Partial<Route> = {}): Route {
  return {
    name,
    host: 'api.example',
    pathPrefix: `/${name}/`,
    targets: [{ service: 'billing', weight: 1 }],
    isStream: false,
    repeatability: 'always',
    timeout: 5_000,
    objective: 200,
    longestPause: 0,
    patience: 2_400,
    priority: 1,
    maxAttempts: 2,
    isPublic: true,
    ...changes,
  };
}

/** A configuration of the service `billing`, whose back ends have no agents. */
export function billingConfiguration(...routes: Route[]): FleetConfiguration {
  return {
    revision: 1,
    routes,
    services: [{ name: 'billing', maxConnections: 0, engine: undefined }],
    origin: undefined,
    limits: { headerBytes: 16_384, bodyBytes: 200_000, headerTimeout: 5_000, idleTimeout: 10_000 },
    tenants: undefined,
  };
}
