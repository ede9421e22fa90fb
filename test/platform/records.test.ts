/** Decoding of the records that the operator and the workers write. */
import { describe, expect, it } from 'vitest';
import { heldLayers, platformRecords } from '../../platform/records.js';
import { agentSettings, entrySettings, parseSettings } from '../../platform/settings.js';
import { workerRow } from './wire-rows.js';

const CONFIGURATION = {
  version: 7,
  routes: [
    {
      name: 'r-1',
      host: 'voka93.example',
      path_prefix: '/filo73/',
      kind: 'stream',
      timeout_ms: 6_000,
      slo_ms: 401,
      priority: 1,
      split: [
        { service: 'huvo11a', weight: 90 },
        { service: 'kafi81c', weight: 10 },
      ],
      max_attempts: 2,
      public: false,
      resumable: true,
      gap_target_ms: 300,
    },
    { name: 'r-2', host: 'h', path_prefix: '/', kind: 'non_idempotent', service: 'kafi81c', max_attempts: 1 },
  ],
  services: [
    {
      name: 'huvo11a',
      max_conns: 424,
      engine: {
        slots: 16,
        models: [{ name: 'm' }],
        step_ms: 7.4,
        per_seq_ms: 0.05,
        layers: 16,
        chunks: 48,
        chunk_bytes: 49_152,
      },
    },
    { name: 'kafi81c', origin: '172.20.0.3:8006', max_conns: 48 },
  ],
  limits: {
    max_header_bytes: 16_384,
    max_body_bytes: 4_194_304,
    header_timeout_ms: 3_000,
    idle_timeout_ms: 15_000,
  },
  tenants: [{ name: 'bozi300', api_keys: ['k1', 'k2'], priority: 1 }],
};

const row = (key: string, value: unknown, revision = 3) => ({
  table: 'op',
  partition: '',
  key,
  value: Buffer.from(JSON.stringify(value)),
  revision,
});

describe('documents of the platform', () => {
  it('are decoded to a configuration', () => {
    const record = platformRecords.operatorRecord(row('config', CONFIGURATION));
    expect(record).toMatchObject({
      ok: true,
      value: {
        type: 'configuration',
        document: {
          configuration: {
            revision: 7,
            routes: [
              {
                repeatability: 'resumable',
                isStream: true,
                longestPause: 300,
                patience: 2_400,
                targets: [{ weight: 90 }, { weight: 10 }],
              },
              { repeatability: 'never', targets: [{ service: 'kafi81c', weight: 1 }] },
            ],
            origin: { service: 'kafi81c', address: '172.20.0.3:8006' },
            tenants: [{ keys: ['k1', 'k2'] }],
          },
          skippedEntries: [],
        },
      },
    });
  });

  it('are decoded to the regions of routes and tenants; no list and an empty one allow any', () => {
    const regionsOf = (list: object) => {
      const [route] = CONFIGURATION.routes;
      const [tenant] = CONFIGURATION.tenants;
      const routes = [{ ...route, ...list }];
      const tenants = [{ ...tenant, ...list }];
      const read = platformRecords.operatorRecord(row('config', { ...CONFIGURATION, routes, tenants }));
      if (read?.ok !== true || read.value.type !== 'configuration') throw new Error('no configuration');
      const { configuration, skippedEntries } = read.value.document;
      const { routes: decoded, tenants: declared } = configuration;
      return [decoded[0]?.regions, declared?.[0]?.regions, skippedEntries?.length];
    };
    expect(regionsOf({ allowed_regions: ['r-1', 'r-2'] })).toEqual([['r-1', 'r-2'], ['r-1', 'r-2'], 0]);
    for (const list of [{}, { allowed_regions: [] }, { allowed_regions: null }])
      expect(regionsOf(list)).toEqual([undefined, undefined, 0]);
    // Without the faulty list, the requests would be served in any region.
    for (const list of ['r-1', [1], { 'r-1': true }])
      expect(regionsOf({ allowed_regions: list })).toEqual([undefined, undefined, 2]);
  });

  it('are decoded to a named version; a deleted row is ignored and an unreadable one is a fault', () => {
    const named = platformRecords.operatorRecord(row('version/m', { model: 'm', version: 2 }));
    expect(named).toEqual({ ok: true, value: { type: 'namedVersion', model: 'm', version: 2 } });
    expect(platformRecords.operatorRecord({ ...row('config', {}), value: undefined })).toBeUndefined();
    expect(platformRecords.operatorRecord({ ...row('config', {}), value: Buffer.from('{') })).toMatchObject({
      ok: false,
      error: { kind: 'unreadable' },
    });
  });

  it('are decoded to the evacuation of a zone while the row is there, and to its end when it is deleted', () => {
    const read = (key: string, value: Buffer | undefined) =>
      platformRecords.operatorRecord({ ...row(key, {}), value });
    const evacuation = { type: 'evacuation', zone: 'z-1' };
    expect(read('evacuate/z-1', Buffer.from('{}'))).toEqual({
      ok: true,
      value: { ...evacuation, isEvacuated: true },
    });
    expect(read('evacuate/z-1', Buffer.from('{'))).toMatchObject({ ok: true, value: { isEvacuated: true } });
    expect(read('evacuate/z-1', undefined)).toEqual({
      ok: true,
      value: { ...evacuation, isEvacuated: false },
    });
    expect(read('evacuate/', Buffer.from('{}'))).toMatchObject({ ok: false, error: { kind: 'missing' } });
  });

  it('are decoded to a back end with the layers that it holds', () => {
    const server = workerRow({ slots: 4, state: 'draining' });
    const layers = { from: 0, target_version: 16, version: 2 };
    expect(platformRecords.backEnd(row('i-1', { ...server, layers }))).toMatchObject({
      ok: true,
      value: { id: 'i-1', leaving: true, slots: 4, layers: { from: 0, end: 16, version: 2 } },
    });
    expect(heldLayers({ from: 0, target_version: 0, version: 0 })).toBeUndefined();
  });

  it('are decoded to how back ends warm up; a service whose back ends are never cold declares nothing', () => {
    const warmUpOf = (fields: object) => {
      const services = [{ ...CONFIGURATION.services[0], ...fields }];
      const read = platformRecords.operatorRecord(row('config', { ...CONFIGURATION, services }));
      if (read?.ok !== true || read.value.type !== 'configuration') throw new Error('no configuration');
      return read.value.document.configuration.services[0]?.warmUp;
    };
    expect(warmUpOf({ cold_s: 3, cold_per_s: 15 })).toEqual({ rate: 15, time: 3_000 });
    for (const fields of [{}, { cold_s: 3, cold_per_s: 0 }, { cold_s: 0, cold_per_s: 15 }, { cold_s: null }])
      expect(warmUpOf(fields)).toBeUndefined();
    const coldLeftOf = (left: number) => {
      const read = platformRecords.backEnd(row('i-1', workerRow({ cold_left_ms: left })));
      return read.ok ? read.value.coldLeft : undefined;
    };
    expect([1_800, 0, -5, 1e300].map(coldLeftOf)).toEqual([1_800, 0, 0, 86_400_000]);
  });

  it('are decoded to the path of health answers; one that cannot be requested is left out, its service is not', () => {
    const healthPathsOf = (fields: object) => {
      const services = [{ ...CONFIGURATION.services[0], ...fields }];
      const read = platformRecords.operatorRecord(row('config', { ...CONFIGURATION, services }));
      if (read?.ok !== true || read.value.type !== 'configuration') throw new Error('no configuration');
      return read.value.document.configuration.services.map(({ healthPath }) => healthPath);
    };
    expect(healthPathsOf({ health_path: '/healthz?full' })).toEqual(['/healthz?full']);
    for (const path of [undefined, null, '', 'healthz', '/a b', '/a\r\nHost: b', `/${'a'.repeat(2_000)}`, 7])
      expect(healthPathsOf({ health_path: path })).toEqual([undefined]);
    expect(healthPathsOf({})).toEqual([undefined]);
  });

  it('are decoded to the start of a back end; a record whose start is not an integer is rejected', () => {
    const server = workerRow();
    const entryWith = (born: unknown) => platformRecords.backEnd(row('i-1', { ...server, born }));
    const start = 1_796_266_800_123;
    expect(entryWith(start)).toMatchObject({ ok: true, value: { id: 'i-1', start } });
    expect(platformRecords.backEnd(row('i-1', server))).toMatchObject({
      ok: true,
      value: { start: undefined },
    });
    for (const born of ['1796266800123', 1.5, null, true, [1], {}, 1e300])
      expect(entryWith(born)).toMatchObject({ ok: false });
  });

  it('are converted to settings of both roles', () => {
    const document = {
      node_name: 'n',
      machine_class: 'front',
      ip: '10.0.0.1',
      zone: 'z',
      region: 'r',
      port_range: [7_700, 7_715],
      zones: { z: 'r' },
      app: '10.0.0.1:8001',
      listen: { front: '10.0.0.1:1', ready: '10.0.0.1:2', control: '10.0.0.1:3', directory: '10.0.0.1:4' },
      bounds: { grace_s: 8, version_ms: 8_000, unknown_bound: 3 },
      platform: { address: '10.0.0.9:9' },
    };
    const parsed = parseSettings(JSON.stringify(document));
    expect(entrySettings(parsed)).toMatchObject({
      callers: '10.0.0.1:1',
      peers: '10.0.0.1:3',
      graceTime: 8_000,
    });
    expect(agentSettings(parsed)).toMatchObject({ engine: '10.0.0.1:8001', peers: '10.0.0.1:7700' });
  });
});
