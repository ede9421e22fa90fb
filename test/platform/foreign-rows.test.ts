/** Invalid rows in the store, written by another writer or by a faulty one: they are rejected and reported. */
import { afterEach, beforeEach, describe, expect, it } from 'vitest';
import { MemoryStore } from '../../emulator/store/memory-store.js';
import { platformRecords } from '../../platform/records.js';
import { FleetView } from '../../src/fleet/fleet-view.js';
import { StoreSync } from '../../src/fleet/store-sync.js';
import { seededRandom } from '../../src/model/random.js';
import type { Log } from '../../src/observability/log.js';
import { until } from '../support.js';
import { configurationDocument, workerRow } from './wire-rows.js';

/** One log line. */
interface LogLine {
  message: string;
  fields: Record<string, unknown>;
}

let store: MemoryStore;
let fleet: FleetView;
let sync: StoreSync;
let lines: LogLine[];

const addLine = (message: string, fields: object = {}) =>
  void lines.push({ message, fields: fields as LogLine['fields'] });
const log: Log = { debug: addLine, info: addLine, warn: addLine, error: addLine };

const ids = () => [...fleet.backEnds.records.keys()].filter((id) => !id.startsWith('marker-')).sort();
const linesAbout = (key: string) => lines.filter(({ fields }) => fields.key === key);
const writeWorker = (id: string, change: object = {}) =>
  store.write('servers', id, JSON.stringify(workerRow(change)));

/** Resolves once everything written so far has been read. */
async function untilRead(): Promise<void> {
  const marker = `marker-${store.revision}`;
  writeWorker(marker);
  await until(() => fleet.backEnds.records.has(marker), 'what was written');
}

beforeEach(async () => {
  lines = [];
  store = new MemoryStore();
  store.write('op', 'config', JSON.stringify(configurationDocument()));
  writeWorker('good');
  fleet = new FleetView();
  sync = new StoreSync({
    tables: store,
    decoder: platformRecords,
    fleet,
    heartbeatInterval: 1_200,
    random: seededRandom(1),
    log,
  });
  await sync.start();
  await until(() => fleet.complete, 'the first reading');
});

afterEach(() => sync.stop());

describe('an invalid row of a back end', () => {
  const faults: Record<string, object> = {
    'no service': { service: undefined },
    'a service that is a number': { service: 7 },
    'no address': { address: undefined },
    'an address without a port': { address: '10.0.0.1' },
    'an address with a port beyond all': { address: '10.0.0.1:70000' },
    'an address that is no IP number': { address: '10.0.0.256:80' },
    'an address with a path': { address: '10.0.0.1:80/x' },
    'no zone': { zone: undefined },
    'a zone that is null': { zone: null },
    'no slots': { slots: undefined },
    'slots as text': { slots: '16' },
    'no slot': { slots: 0 },
    'slots below none': { slots: -1 },
    'half a slot': { slots: 1.5 },
    'slots without end': { slots: 1e300 },
    'no state': { state: undefined },
    'a state that is not named': { state: 'resting' },
    'a state in a list': { state: ['ready'] },
    'layers that are text': { layers: 'all' },
    'layers in a list with a number': { layers: [4] },
    'layers from below the first': { layers: { from: -1, target_version: 4, version: 1 } },
    'layers that end before they begin': { layers: { from: 5, target_version: 4, version: 1 } },
    'layers without end': { layers: { from: 0, target_version: 1e15, version: 1 } },
    'layers of half a version': { layers: { from: 0, target_version: 4, version: 1.5 } },
    'a start that is text': { born: '1764730000000' },
    'a start that is null': { born: null },
    'half a millisecond as its start': { born: 1.5 },
    'no software version': { version: undefined },
    'a count that is text': { seq: 'one' },
    'a name of a megabyte': { service: 'x'.repeat(1_048_576) },
  };

  const unreadable = ['', '{', 'null', '4', '[]', '"ready"', '{"service":'];

  it('is rejected and reported once, without effect on other rows', async () => {
    for (const [name, change] of Object.entries(faults)) writeWorker(name, change);
    for (const text of unreadable) store.write('servers', `as ${text}`, text);
    await untilRead();
    expect(ids()).toEqual(['good']);
    for (const key of [...Object.keys(faults), ...unreadable.map((text) => `as ${text}`)]) {
      const reported = linesAbout(key);
      expect(
        reported.map(({ message }) => message),
        key,
      ).toEqual(['record left out']);
      expect(JSON.stringify(reported).length).toBeLessThan(1_000);
    }
  });
});

describe('bytes that are not UTF-8', () => {
  it('are rejected as a back end', async () => {
    const bytes = Buffer.from(JSON.stringify(workerRow({ service: 'engines-x' })), 'latin1');
    bytes[bytes.indexOf('engines-x') + 8] = 0xff;
    const row = { table: 'servers', partition: '', key: 'bad', value: bytes, revision: 1 };
    expect(platformRecords.backEnd(row)).toEqual({
      ok: false,
      error: { kind: 'unreadable', reason: 'is not UTF-8' },
    });
  });
});

describe('a row of a back end that the platform allows', () => {
  const validRows: Record<string, object> = {
    'fields that are new': { colour: 'green', deep: { er: [null] } },
    'no layers': { layers: undefined },
    'layers that are null, as engines that hold none tell': { layers: null, models: [] },
    'an empty list of layers': { layers: [] },
    'a list of layers': { layers: [{ from: 0, target_version: 4, version: 1 }] },
    'no layer held': { layers: { from: 0, target_version: 0, version: 0 } },
    'a start': { born: 1_764_730_000_000 },
  };

  it('is accepted and not reported', async () => {
    for (const [name, change] of Object.entries(validRows)) writeWorker(name, change);
    await untilRead();
    expect(ids()).toEqual(['good', ...Object.keys(validRows)].sort());
    for (const key of Object.keys(validRows)) expect(linesAbout(key)).toEqual([]);
  });
});

describe('a back end whose row becomes invalid', () => {
  it('is removed until the row is valid again, and reported once per fault', async () => {
    for (const seq of [2, 3, 4]) {
      writeWorker('good', { slots: 'many', seq });
      await untilRead();
    }
    expect(ids()).toEqual([]);
    expect(linesAbout('good')).toHaveLength(1);
    expect(sync.faults.counts).toEqual({ unreadable: 0, missing: 0, type: 1, value: 0 });
    writeWorker('good', { state: 'resting' });
    await untilRead();
    expect(linesAbout('good')).toHaveLength(2);
    expect(sync.faults.counts).toEqual({ unreadable: 0, missing: 0, type: 1, value: 1 });
    writeWorker('good', { seq: 6 });
    await untilRead();
    expect(ids()).toEqual(['good']);
    expect(linesAbout('good')).toHaveLength(2);
  });

  it('is removed at once even after an outage of the store', async () => {
    store.faults.down = true;
    await new Promise((resolve) => setTimeout(resolve, 1_200));
    writeWorker('good', { address: 4 });
    writeWorker('other');
    store.faults.down = false;
    await until(() => fleet.backEnds.records.has('other'), 'the return');
    expect(ids()).toEqual(['other']);
  });
});

describe('an invalid row of the operator', () => {
  const configurations: Record<string, string> = {
    'cut off': JSON.stringify(configurationDocument({ version: 9 })).slice(0, 100),
    null: 'null',
    'a list': '[]',
    'without routes': JSON.stringify(configurationDocument({ version: 9, routes: undefined })),
    'with routes that are an object': JSON.stringify(configurationDocument({ version: 9, routes: {} })),
    'with services that are text': JSON.stringify(configurationDocument({ version: 9, services: 'all' })),
    'with tenants that are text': JSON.stringify(configurationDocument({ version: 9, tenants: 'all' })),
    'with a version that is text': JSON.stringify(configurationDocument({ version: '9' })),
    'with half a version': JSON.stringify(configurationDocument({ version: 9.5 })),
  };

  for (const [name, text] of Object.entries(configurations)) {
    it(`does not replace the configuration: ${name}`, async () => {
      const { document } = fleet;
      store.write('op', 'config', text);
      await until(() => linesAbout('config').length > 0, 'the line about it');
      expect(fleet.configurationRevision).toBe(7);
      expect(fleet.document).toBe(document);
      store.write('op', 'config', JSON.stringify(configurationDocument({ version: 10 })));
      await until(() => fleet.configurationRevision === 10, 'the next good one');
    });
  }

  it('names no version', async () => {
    const bad = [
      'null',
      '[]',
      '{"model":"m"}',
      '{"version":2}',
      '{"model":"m","version":"2"}',
      '{"model":"m","version":2.5}',
      '{"model":"m","version":0}',
      '{"model":"","version":2}',
      '{"model":["m"],"version":2}',
    ];
    for (const [index, text] of bad.entries()) store.write('op', `version/m-${index}`, text);
    store.write('op', 'version/m', '{"model":"m","version":3}');
    await until(() => fleet.versions.newest('m')?.version === 3, 'the good one');
    expect(fleet.versions.all()).toHaveLength(1);
    for (const index of bad.keys()) expect(linesAbout(`version/m-${index}`)).toHaveLength(1);
  });
});

describe('a valid configuration with invalid entries', () => {
  it('is applied without these entries', async () => {
    const whole = configurationDocument();
    const [route] = whole.routes;
    const [engines] = whole.services;
    const badRoutes = [
      null,
      4,
      'route',
      { ...route, host: 4 },
      { ...route, host: undefined },
      { ...route, path_prefix: 'no-slash' },
      { ...route, timeout_ms: '6000' },
      { ...route, timeout_ms: -1 },
      { ...route, max_attempts: 0 },
      { ...route, max_attempts: 1.5 },
      { ...route, priority: -1 },
      { ...route, slo_ms: -1 },
      { ...route, public: 'no' },
      { ...route, split: [] },
      { ...route, split: [{ service: 'engines', weight: 0 }] },
      { ...route, split: [{ service: 'engines', weight: -1 }] },
      { ...route, split: undefined, service: undefined },
    ].map((bad) => (bad !== null && typeof bad === 'object' ? { ...bad, name: 'bad' } : bad));
    const document = {
      ...whole,
      version: 8,
      routes: [...badRoutes, ...whole.routes],
      services: [
        null,
        { name: 4 },
        { name: 'bad', max_conns: -1 },
        { name: 'bad', origin: 'nowhere' },
        { name: 'bad', engine: { ...engines.engine, slots: 0 } },
        { name: 'bad', engine: { ...engines.engine, models: 'm' } },
        ...whole.services,
      ],
      limits: { ...whole.limits, max_body_bytes: -1 },
      tenants: [null, { name: 'bad', api_keys: 'k' }, { name: 'some', api_keys: ['', 7, 'k9'] }],
    };
    store.write('op', 'config', JSON.stringify(document));
    await until(() => fleet.configurationRevision === 8, 'the configuration');
    const { configuration } = fleet.routes!;
    expect(configuration.routes.map(({ name }) => name)).toEqual(whole.routes.map(({ name }) => name));
    expect(configuration.services.map(({ name }) => name)).toEqual(whole.services.map(({ name }) => name));
    expect(configuration.limits).toMatchObject({ headerBytes: 16_384, bodyBytes: 1_048_576 });
    expect(configuration.tenants).toEqual([{ name: 'some', keys: ['k9'], priority: undefined }]);
    expect(linesAbout('config')).toHaveLength(badRoutes.length + 6 + 1 + 2 + 2);
  });

  it('limits times that are too long for a timer', async () => {
    const whole = configurationDocument({ version: 8 });
    const routes = [{ ...whole.routes[0], timeout_ms: 1e12, slo_ms: 1e12, gap_target_ms: 1e12 }];
    const limits = { header_timeout_ms: 1e12, idle_timeout_ms: 1e12 };
    store.write('op', 'config', JSON.stringify({ ...whole, routes, limits }));
    await until(() => fleet.configurationRevision === 8, 'the configuration');
    const { configuration } = fleet.routes!;
    const [{ timeout, patience }] = configuration.routes;
    // A longer timer would fire at once.
    const longest = 2_147_483_647;
    expect(timeout).toBeLessThanOrEqual(longest);
    expect(patience).toBeLessThanOrEqual(longest);
    expect(configuration.limits.headerTimeout).toBeLessThan(longest);
    expect(configuration.limits.idleTimeout).toBeLessThan(longest);
  });
});
