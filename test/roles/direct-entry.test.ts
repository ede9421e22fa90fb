/** Entries as whole processes would run, on a stand-in store and scripted back ends. */
import { request as httpRequest } from 'node:http';
import Router from '@koa/router';
import { afterEach, beforeEach, describe, expect, it } from 'vitest';
import { freeAddress } from '../../bench/processes/child.js';
import { MemoryStore } from '../../emulator/store/memory-store.js';
import type { BackEndRecord } from '../../src/fleet/back-end-list.js';
import type { FleetConfiguration } from '../../src/fleet/configuration.js';
import type { RecordDecoder } from '../../src/fleet/record-decoder.js';
import { failure } from '../../src/model/result.js';
import { silentLog } from '../../src/observability/log.js';
import { createDirectEntry, type DirectEntry } from '../../src/roles/direct-entry.js';
import type { DirectEntrySettings } from '../../src/roles/settings.js';
import type { PieceOriginFactory } from '../../src/weights/piece-source.js';
import { NAMES } from '../forwarding/forwarding-harness.js';
import { reply, StandInBackEnd } from '../forwarding/stand-in-back-end.js';
import { until } from '../support.js';

const configurationOf = (revision: number): FleetConfiguration => ({
  revision,
  routes: [
    {
      name: 'route',
      host: 'api.example',
      pathPrefix: `/${revision}/`,
      targets: [{ service: 'billing', weight: 1 }],
      isStream: false,
      repeatability: 'never',
      timeout: 5_000,
      objective: 500,
      longestPause: 0,
      patience: 2_400,
      priority: 1,
      maxAttempts: 1,
      isPublic: true,
    },
  ],
  services: [{ name: 'billing', maxConnections: 0, engine: undefined }],
  origin: undefined,
  limits: { headerBytes: 16_384, bodyBytes: 100_000, headerTimeout: 5_000, idleTimeout: 10_000 },
  tenants: undefined,
});

/** Rows hold JSON of the product's own records. */
const decoder: RecordDecoder = {
  operatorTable: 'operator',
  backEndTable: 'backEnds',
  operatorRecord: (row) =>
    row.value && { type: 'configuration', document: decoder.configuration(row.value)! },
  configuration: (document) => ({ document, configuration: configurationOf(Number(document.toString())) }),
  backEnd: (row) => ({
    ...(JSON.parse(row.value!.toString()) as BackEndRecord),
    id: row.key,
    revision: row.revision,
  }),
};

const noOrigin: PieceOriginFactory = () => ({
  manifest: async () => failure({ type: 'sourceFailed', reason: 'none' }),
  piece: async () => failure({ type: 'sourceFailed', reason: 'none' }),
});

interface RunningEntry {
  entry: DirectEntry;
  settings: DirectEntrySettings;
  store: MemoryStore;
}

let backEnd: StandInBackEnd;
const running: RunningEntry[] = [];

async function startEntry(name: string, seeds: string[]): Promise<RunningEntry> {
  const store = new MemoryStore();
  const settings: DirectEntrySettings = {
    name,
    zone: 'zone-a',
    region: 'region-a',
    regions: { 'zone-a': 'region-a' },
    peers: await freeAddress(),
    metrics: await freeAddress(),
    callers: await freeAddress(),
    ready: await freeAddress(),
    directory: await freeAddress(),
    seeds,
    versionBound: 8_000,
    addressLifetimeSeconds: 1,
    graceTime: 6_000,
    retries: { share: 0.2, slack: 100, span: 10_000 },
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
    silentLog,
  );
  await entry.start();
  const started = { entry, settings, store };
  running.push(started);
  return started;
}

function write(store: MemoryStore, revision: number): void {
  store.write('operator', 'configuration', String(revision));
  const record = { service: 'billing', address: backEnd.address, zone: 'zone-a', slots: 4, leaving: false };
  store.write('backEnds', 'one', JSON.stringify(record));
}

function send(
  { settings }: RunningEntry,
  path: string,
): Promise<{ status: number; close: boolean; whole: boolean }> {
  const [host, port] = settings.callers.split(':');
  return new Promise((resolve, reject) => {
    const headers = { host: 'api.example', 'x-request': 'r1' };
    const sent = httpRequest({ host, port, path, headers }, (response) => {
      response.resume();
      response.on('end', () =>
        resolve({
          status: response.statusCode ?? 0,
          close: response.headers.connection === 'close',
          whole: response.complete,
        }),
      );
    });
    sent.on('error', reject);
    sent.end();
  });
}

beforeEach(async () => {
  backEnd = await new StandInBackEnd(reply(200, 'done')).start();
});

afterEach(async () => {
  await Promise.all(running.splice(0).map(({ entry }) => entry.stop()));
  await backEnd.stop();
});

describe('an entry', () => {
  it('answers 503 while it knows nothing, and serves as soon as it does', async () => {
    const one = await startEntry('one', []);
    expect((await send(one, '/1/')).status).toBe(503);
    expect(one.entry.isReady).toBe(false);
    write(one.store, 1);
    await until(() => one.entry.isReady, 'the configuration');
    expect((await send(one, '/1/')).status).toBe(200);
    expect(one.entry.addresses('zone-a', 'region-a')).toEqual([one.settings.callers]);
  });

  it('that the store turns away learns configuration and back ends from another', async () => {
    const one = await startEntry('one', []);
    write(one.store, 1);
    await until(() => one.entry.isReady, 'the configuration');
    const two = await startEntry('two', [one.settings.peers]);
    two.store.faults.down = true;
    await until(() => two.entry.isReady, 'what the other knows');
    expect((await send(two, '/1/')).status).toBe(200);
    write(one.store, 4);
    await until(async () => (await send(two, '/4/')).status === 200, 'the next configuration');
    expect((await send(two, '/1/')).status).toBe(404);
    // That the other is ready comes with its next report, whenever that is.
    await until(() => one.entry.addresses('zone-a', 'region-a').length === 2, 'both in the directory');
    expect(one.entry.addresses('zone-a', 'region-a').sort()).toEqual(
      [one.settings.callers, two.settings.callers].sort(),
    );
  });

  it('that leaves is told to callers no more, serves on, and ends what is in progress', async () => {
    const one = await startEntry('one', []);
    const two = await startEntry('two', [one.settings.peers]);
    for (const { store } of [one, two]) write(store, 1);
    await until(() => one.entry.addresses('zone-a', 'region-a').length === 2, 'both entries');
    let release: () => void = () => {};
    backEnd.answer((request, response, body) => {
      release = () => reply(200, 'late')(request, response, body);
    });
    const slow = send(one, '/1/');
    await until(() => backEnd.requests.length === 1, 'the slow request');
    const left = one.entry.leave();
    expect(one.entry.isReady).toBe(false);
    await until(() => two.entry.addresses('zone-a', 'region-a').length === 1, 'the other hears of it');
    backEnd.answer(reply(200, 'done'));
    expect(await send(one, '/1/')).toMatchObject({ status: 200, close: true });
    release();
    expect(await slow).toMatchObject({ status: 200, whole: true });
    await left;
    await expect(send(one, '/1/')).rejects.toThrow();
  });

  it('that leaves takes nothing that could not end before it stops', async () => {
    const LONG_ANSWER = 2_600;
    const one = await startEntry('one', []);
    write(one.store, 1);
    await until(() => one.entry.isReady, 'the configuration');
    backEnd.answer((request, response, body) => {
      setTimeout(() => reply(200, 'long')(request, response, body), LONG_ANSWER);
    });
    const left = one.entry.leave();
    const sent: Array<Promise<{ status: number; whole: boolean }>> = [];
    const isOpen = { value: true };
    while (isOpen.value) {
      const answer = send(one, '/1/');
      answer.catch(() => {
        isOpen.value = false;
      });
      sent.push(answer);
      await new Promise((resolve) => setTimeout(resolve, 50));
    }
    await left;
    const outcomes = await Promise.allSettled(sent);
    const taken = outcomes.flatMap((outcome) => (outcome.status === 'fulfilled' ? [outcome.value] : []));
    const refused = outcomes.flatMap((outcome) =>
      outcome.status === 'rejected' ? [outcome.reason.code] : [],
    );
    expect(taken.length).toBeGreaterThan(0);
    expect(taken.every(({ status, whole }) => status === 200 && whole)).toBe(true);
    // Whoever came later got no connection, and knows that nothing was read.
    expect(new Set(refused)).toEqual(new Set(['ECONNREFUSED']));
  });
});
