/** Configuration with one service of engines, for tests of versions and capacity. */

import { STREAM_ROUTE } from '../../bench/simulation/stream-route.js';
import type { FleetConfiguration } from '../../src/fleet/configuration.js';

/** Number of layers of the model that the engines serve. */
export const ENGINE_LAYERS = 4;

export const ENGINE_CONFIGURATION: FleetConfiguration = {
  revision: 1,
  routes: [STREAM_ROUTE],
  services: [
    {
      name: 'engines',
      maxConnections: 0,
      engine: {
        slots: 4,
        models: [{ name: 'm' }],
        layers: ENGINE_LAYERS,
        pieceCount: 8,
        pieceBytes: 16,
        readTokensPerSecond: 30_000,
        tokenTime: 8,
      },
    },
  ],
  origin: undefined,
  limits: { headerBytes: 16_384, bodyBytes: 200_000, headerTimeout: 5_000, idleTimeout: 10_000 },
  tenants: undefined,
};
