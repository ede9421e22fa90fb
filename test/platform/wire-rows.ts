/** Rows as the operator and the workers write them, for tests. */

/** The record of a worker of the service `engines`; fields of `change` replace its own. */
export function workerRow(change: object = {}): object {
  return {
    service: 'engines',
    address: '10.0.0.1:8080',
    zone: 'zone-a',
    version: 'v1',
    slots: 16,
    state: 'ready',
    cold_left_ms: 0,
    seq: 1,
    phase: 'hybrid',
    models: [{ name: 'm', version: 1, adapters: [] }],
    layers: { from: 0, target_version: 16, version: 1 },
    ...change,
  };
}

/** A configuration with two routes and three services; fields of `change` replace its own. */
export function configurationDocument(change: object = {}) {
  return {
    version: 7,
    routes: [
      {
        name: 'r-1',
        host: 'one.example',
        path_prefix: '/one/',
        kind: 'stream',
        timeout_ms: 6_000,
        slo_ms: 401,
        priority: 1,
        split: [
          { service: 'engines', weight: 90 },
          { service: 'plain', weight: 10 },
        ],
        max_attempts: 2,
        public: false,
        sticky: true,
        resumable: true,
        gap_target_ms: 300,
      },
      { name: 'r-2', host: 'two.example', path_prefix: '/', kind: 'non_idempotent', service: 'plain' },
    ],
    services: [
      {
        name: 'engines',
        max_conns: 424,
        engine: {
          slots: 16,
          models: [{ name: 'm' }],
          step_ms: 7.4,
          per_seq_ms: 0.05,
          read_per_s: 31_900,
          layers: 16,
          chunks: 48,
          chunk_bytes: 49_152,
        },
      },
      { name: 'plain', max_conns: 49 },
      { name: 'weights', origin: '172.20.0.3:8006', max_conns: 48 },
    ],
    limits: {
      max_header_bytes: 16_384,
      max_body_bytes: 4_194_304,
      header_timeout_ms: 3_000,
      idle_timeout_ms: 15_000,
    },
    tenants: [{ name: 'some', api_keys: ['k1', 'k2'], priority: 1 }],
    ...change,
  };
}
