/** A route to engines, as the users have it, for simulations and tests. */
import type { Route } from '../../src/fleet/configuration.js';

/** Its times are in milliseconds. */
export const STREAM_ROUTE: Route = {
  name: 'write',
  host: 'api.example',
  pathPrefix: '/write/',
  targets: [{ service: 'engines', weight: 1 }],
  isStream: true,
  repeatability: 'resumable',
  timeout: 6_000,
  objective: 400,
  longestPause: 300,
  patience: 2_400,
  priority: 1,
  maxAttempts: 2,
  isPublic: true,
};
