/** A complete entry with an in-memory store, for tests of the entry role. */
import { type Agent, request as httpRequest } from 'node:http';
import Router from '@koa/router';
import { freeAddress } from '../../bench/processes/child.js';
import { MemoryStore } from '../../emulator/store/memory-store.js';
import type { FleetConfiguration } from '../../src/fleet/configuration.js';
import type { RecordDecoder } from '../../src/fleet/record-decoder.js';
import { failure, success } from '../../src/model/result.js';
import { type Log, silentLog } from '../../src/observability/log.js';
import type { BackEndRecord } from '../../src/protocol/back-end-list-state.js';
import type { DirectEntry } from '../../src/roles/direct-entry.js';
import { createDirectEntry } from '../../src/roles/direct-entry-components.js';
import type { DirectEntrySettings } from '../../src/roles/settings.js';
import type { PieceOriginFactory } from '../../src/weights/piece-source.js';
import { NAMES } from '../forwarding/forwarding-harness.js';
import { routeNamed } from '../forwarding/routes.js';

/** Connections that a back end of the service `few` accepts from all entries together. */
export const FEW_CONNECTIONS = 2;

/** The revision in which the route with the path of its revision is bound to `region-b`, and `billing` warms up. */
export const BOUND_REVISION = 90;
/** Requests a second that a cold back end of `billing` bears in that revision. */
export const COLD_RATE = 5;

/** Route options for requests that are sent to at most one back end. */
const ONCE = { repeatability: 'never', objective: 500, maxAttempts: 1 } as const;

const configurationOf = (revision: number): FleetConfiguration => ({
  revision,
  routes: [
    routeNamed('route', {
      ...ONCE,
      pathPrefix: `/${revision}/`,
      regions: revision === BOUND_REVISION ? ['region-b'] : undefined,
    }),
    routeNamed('stream', { ...ONCE, isStream: true, longestPause: 500 }),
    routeNamed('few', { ...ONCE, targets: [{ service: 'few', weight: 1 }] }),
  ],
  services: [
    {
      name: 'billing',
      maxConnections: 0,
      engine: undefined,
      warmUp: revision === BOUND_REVISION ? { rate: COLD_RATE, time: 60_000 } : undefined,
    },
    { name: 'few', maxConnections: FEW_CONNECTIONS, engine: undefined },
  ],
  origin: undefined,
  limits: { headerBytes: 16_384, bodyBytes: 100_000, headerTimeout: 5_000, idleTimeout: 10_000 },
  tenants: undefined,
});

const documentOf = (document: Buffer) => ({
  document,
  configuration: configurationOf(Number(document.toString())),
});

/** Key of the row that takes a zone out of service. */
export const evacuationOf = (zone: string) => `evacuate/${zone}`;

/** Rows contain this system's own records as JSON. */
const decoder: RecordDecoder = {
  operatorTable: 'operator',
  backEndTable: 'backEnds',
  operatorRecord: ({ key, value }) => {
    const [kind, zone] = key.split('/');
    if (zone !== undefined && kind === 'evacuate')
      return success({ type: 'evacuation', zone, isEvacuated: value !== undefined });
    return value && success({ type: 'configuration', document: documentOf(value) });
  },
  configuration: (document) => success(documentOf(document)),
  backEnd: (row) =>
    success({
      ...(JSON.parse(row.value!.toString()) as BackEndRecord),
      id: row.key,
      revision: row.revision,
    }),
};

const noOrigin: PieceOriginFactory = () => ({
  manifest: async () => failure({ type: 'sourceFailed', reason: 'none' }),
  piece: async () => failure({ type: 'sourceFailed', reason: 'none' }),
});

export interface RunningEntry {
  entry: DirectEntry;
  settings: DirectEntrySettings;
  store: MemoryStore;
}

const running: RunningEntry[] = [];

/** Starts an entry that has no configuration yet. */
export async function startEntry(
  name: string,
  seeds: string[],
  changes: Partial<DirectEntrySettings> = {},
  log: Log = silentLog,
  store = new MemoryStore(),
): Promise<RunningEntry> {
  const settings: DirectEntrySettings = {
    name,
    zone: 'zone-a',
    region: 'region-a',
    regions: { 'zone-a': 'region-a' },
    peers: await freeAddress(),
    slots: await freeAddress(),
    metrics: await freeAddress(),
    callers: await freeAddress(),
    ready: await freeAddress(),
    directory: await freeAddress(),
    seeds,
    versionBound: 8_000,
    heartbeatInterval: 1_200,
    addressLifetimeSeconds: 1,
    graceTime: 6_000,
    retries: { share: 0.2, slack: 100, span: 10_000 },
    ...changes,
  };
  const empty = () => new Router();
  const entry = createDirectEntry(
    settings,
    {
      decoder,
      tables: store,
      objects: store,
      originAt: noOrigin,
      headers: NAMES,
      readyRoutes: empty,
      directoryRoutes: empty,
      metricsPath: '/metrics',
    },
    log,
  );
  await entry.start();
  const started = { entry, settings, store };
  running.push(started);
  return started;
}

/** Stops every entry that the test started. */
export async function stopEntries(): Promise<void> {
  await Promise.all(running.splice(0).map(({ entry }) => entry.stop()));
}

/** Writes a configuration and a back end to a store. */
export function writeRecords(
  store: MemoryStore,
  revision: number,
  backEnd: { readonly address: string },
  slots = 4,
  service = 'billing',
  start?: number,
): void {
  store.write('operator', 'configuration', String(revision));
  const record = { service, address: backEnd.address, zone: 'zone-a', slots, leaving: false, start };
  store.write('backEnds', 'one', JSON.stringify(record));
}

/** The answer that a caller received. */
export interface Received {
  status: number;
  /** The answer asks the caller to close its connection. */
  close: boolean;
  isComplete: boolean;
  retryAfter: string | undefined;
}

/** Options of a request. */
export interface SendOptions {
  requestId?: string;
  /** Keeps connections alive; without an agent each request opens its own connection. */
  agent?: Agent;
  /** The list of prompt parts; the header is omitted if undefined. */
  parts?: string;
}

/** Sends a request; rejects if its connection ends before the response head. */
export function send(
  { settings }: RunningEntry,
  path: string,
  { requestId = 'r1', agent, parts }: SendOptions = {},
): Promise<Received> {
  const [host, port] = settings.callers.split(':');
  return new Promise((resolve, reject) => {
    const partsHeader = parts === undefined ? {} : { 'x-parts': parts };
    const headers = { host: 'api.example', 'x-request': requestId, ...partsHeader };
    const sent = httpRequest({ host, port, path, headers, agent }, (response) => {
      const end = () =>
        resolve({
          status: response.statusCode ?? 0,
          close: response.headers.connection === 'close',
          isComplete: response.complete,
          retryAfter: response.headers['retry-after'],
        });
      response.resume();
      response.on('end', end);
      response.on('error', end);
    });
    sent.on('error', reject);
    sent.end();
  });
}
