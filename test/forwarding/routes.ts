/** Routes for tests. */
import type { Route } from '../../src/fleet/configuration.js';

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
