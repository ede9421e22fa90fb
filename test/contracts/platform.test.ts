import { afterAll, beforeAll, describe, expect, it } from 'vitest';
import { freeAddress } from '../../bench/processes/child.js';
import { platformEmulator } from '../../emulator/platform/platform.js';
import { httpMachineList } from '../../src/clients/machine-list.js';
import { httpObjectStore, manifestKey, type ObjectStore } from '../../src/clients/object-store.js';
import { httpOrigin, type Origin } from '../../src/clients/origin.js';
import { httpTableService, type TableService } from '../../src/clients/table-service.js';
import { digestOf, isManifestOf, type Manifest } from '../../src/model/manifest.js';
import type { Startable } from '../../src/model/startable.js';
import { platformEmulatorSettings } from '../../src/settings/schemas.js';
import { until } from '../support.js';

let address: string;
let platform: Startable;
let tables: TableService;
let objects: ObjectStore;
let origin: Origin;

const signal = () => AbortSignal.timeout(5_000);

async function setFaults(faults: object): Promise<void> {
  await fetch(`http://${address}/faults`, { method: 'POST', body: JSON.stringify(faults) });
}

beforeAll(async () => {
  address = await freeAddress();
  const version = { label: 'first', bytes: 10_000, chunkBytes: 3_000, seed: 1 };
  const next = { ...version, label: 'second', unchangedShare: 0.5, changedSeed: 2 };
  platform = platformEmulator(
    platformEmulatorSettings.parse({
      listen: address,
      origin: { bytesPerSecond: 10_000_000, versions: [version, next] },
      machineListLag: 20,
    }),
  );
  await platform.start();
  tables = httpTableService(`http://${address}/tables`);
  objects = httpObjectStore(`http://${address}/objects`);
  origin = httpOrigin(`http://${address}/origin`);
});

afterAll(() => platform.stop());

let operations = 0;

function write(key: string, value: unknown, revision?: number, operationId = `operation-${operations++}`) {
  const conditions = revision === undefined ? [] : [{ table: 't', key, revision }];
  return tables.transact({ operationId, conditions, writes: [{ table: 't', key, value }] }, signal());
}

async function committed(key: string, value: unknown, revision?: number): Promise<number> {
  const outcome = await write(key, value, revision);
  if (!outcome.ok || outcome.value.type !== 'committed') throw new Error(JSON.stringify(outcome));
  return outcome.value.revision;
}

describe('the table service', () => {
  it('increases revisions by one and lists the changes after a revision', async () => {
    const first = await committed('a', 1);
    const second = await committed('b', 2);
    expect(second).toBe(first + 1);
    const changes = await tables.changes(first, signal());
    expect(changes).toMatchObject({
      ok: true,
      value: { revision: second, rows: [{ key: 'b', revision: second }] },
    });
  });

  it('commits atomically and returns the rows whose conditions failed', async () => {
    const revision = await committed('c', 1);
    const transaction = {
      operationId: 'all-or-nothing',
      conditions: [{ table: 't', key: 'c', revision: revision - 1 }],
      writes: [
        { table: 't', key: 'c', value: 2 },
        { table: 't', key: 'd', value: 2 },
      ],
    };
    const outcome = await tables.transact(transaction, signal());
    expect(outcome).toMatchObject({ ok: true, value: { type: 'conflict', rows: [{ key: 'c', revision }] } });
    const changes = await tables.changes(revision, signal());
    expect(changes).toMatchObject({ ok: true, value: { rows: [] } });
  });

  it('accepts revision 0 for a row that does not exist, also after its deletion', async () => {
    await committed('e', 1, 0);
    expect(await write('e', 2, 0)).toMatchObject({ ok: true, value: { type: 'conflict' } });
    await committed('e', null);
    await committed('e', 3, 0);
  });

  it('commits the same operation once', async () => {
    const first = await write('f', 1, undefined, 'same');
    expect(await write('f', 2, undefined, 'same')).toEqual(first);
  });

  it.each([['it is down', { tablesDown: true }, { tablesDown: false }]])(
    'reports that nothing took effect and when to retry while %s',
    async (_, fault, repair) => {
      await setFaults(fault);
      const outcome = await write('g', 1);
      await setFaults(repair);
      expect(outcome).toMatchObject({ ok: false, error: { type: 'unavailable', retryAfter: 1_000 } });
    },
  );

  it('may lose its answer after the write took effect; the same operation commits once', async () => {
    await setFaults({ loseAnswers: 1 });
    const outcome = await write('h', 1, undefined, 'lost-answer');
    expect(outcome).toMatchObject({ ok: false, error: { type: 'outcomeUnknown' } });
    const storedValue = async () => {
      const changes = await tables.changes(0, signal());
      return changes.ok ? changes.value.rows.find((row) => row.key === 'h')?.value : undefined;
    };
    expect(await storedValue()).toBe(1);
    const again = await write('h', 2, undefined, 'lost-answer');
    expect(again).toMatchObject({ ok: true, value: { type: 'committed' } });
    expect(await storedValue()).toBe(1);
  });
});

describe('the object store', () => {
  it('returns stored objects and reports missing ones', async () => {
    await objects.put('folder/key', Buffer.from('value'), signal());
    expect(await objects.get('folder/key', signal())).toMatchObject({
      ok: true,
      value: Buffer.from('value'),
    });
    expect(await objects.get('other', signal())).toMatchObject({ ok: false, error: { type: 'notFound' } });
  });

  it('may be down', async () => {
    await setFaults({ objectsDown: true });
    const outcome = await objects.get('folder/key', signal());
    await setFaults({ objectsDown: false });
    expect(outcome).toMatchObject({ ok: false, error: { type: 'unavailable' } });
  });
});

describe('the origin', () => {
  async function manifests(): Promise<Array<{ version: string; manifest: Manifest }>> {
    const listed = (await (await fetch(`http://${address}/origin/versions`)).json()) as Array<{
      version: string;
    }>;
    return Promise.all(
      listed.map(async ({ version }) => {
        const found = await objects.get(manifestKey(version), signal());
        if (!found.ok) throw new Error(found.error.type);
        return { version, manifest: JSON.parse(found.value.toString()) as Manifest };
      }),
    );
  }

  it('serves the chunks of its versions; the digests of the manifests are the versions', async () => {
    for (const { version, manifest } of await manifests()) {
      expect(isManifestOf(manifest, version)).toBe(true);
      for (const { digest, bytes } of manifest.chunks) {
        const drawn = await origin.chunk(digest, signal());
        expect(drawn.ok && digestOf(drawn.value) === digest && drawn.value.byteLength === bytes).toBe(true);
      }
    }
  });

  it('shares unchanged chunks between versions', async () => {
    const [first, second] = await manifests();
    const shared = second.manifest.chunks.filter(({ digest }) =>
      first.manifest.chunks.some((c) => c.digest === digest),
    );
    expect(shared).toHaveLength(2);
  });

  it.each([
    ['has no such chunk', {}, '0'.repeat(64), 'notFound'],
    ['is down', { originDown: true }, undefined, 'unavailable'],
  ])('returns an error when it %s', async (_, fault, asked, expected) => {
    const [{ manifest }] = await manifests();
    await setFaults(fault);
    const drawn = await origin.chunk(asked ?? manifest.chunks[0].digest, signal());
    await setFaults({ originDown: false });
    expect(drawn).toMatchObject({ ok: false, error: { type: expected } });
  });

  it('may stall: the signal of the caller ends the call', async () => {
    const [{ manifest }] = await manifests();
    await setFaults({ originStalled: true });
    const drawn = await origin.chunk(manifest.chunks[0].digest, AbortSignal.timeout(50));
    await setFaults({ originStalled: false });
    expect(drawn.ok).toBe(false);
  });
});

describe('the machine list', () => {
  it('lags', async () => {
    const list = httpMachineList(`http://${address}/machines`);
    const machines = [{ address: '127.0.0.1', state: 'leaving' }];
    await fetch(`http://${address}/machines`, { method: 'PUT', body: JSON.stringify(machines) });
    await until(async () => {
      const read = await list.machines(signal());
      return read.ok && JSON.stringify(read.value) === JSON.stringify(machines);
    }, 'the list');
  });
});
