/** Invalid answers of the store, workers and the origin are returned as errors; nothing is thrown. */
import { createServer, type Server } from 'node:http';
import type { AddressInfo } from 'node:net';
import { afterEach, beforeEach, describe, expect, it } from 'vitest';
import { platformEngine } from '../../platform/engine.js';
import { platformOrigin } from '../../platform/origin.js';
import { platformObjects, platformTables } from '../../platform/store.js';

let server: Server;
let address: string;
let body: string;

const signal = () => AbortSignal.timeout(5_000);

beforeEach(async () => {
  server = createServer((_request, response) => response.end(body));
  await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve));
  address = `127.0.0.1:${(server.address() as AddressInfo).port}`;
});

afterEach(() => {
  server.closeAllConnections();
  server.close();
});

const INVALID_OBJECTS = ['', 'null', '4', '[]', '"text"', '{"rows":'];

describe('an invalid answer of the store', () => {
  const row = { table: 't', part: '', private_key: 'k', value: 'YQ==', ver: 3 };
  const answers = [
    ...INVALID_OBJECTS,
    '{}',
    '{"rows":{},"ver":4,"now_ms":1}',
    '{"rows":[],"ver":"4","now_ms":1}',
    '{"rows":[],"ver":4,"now_ms":null}',
    JSON.stringify({ rows: [null], ver: 4, now_ms: 1 }),
    JSON.stringify({ rows: [{ ...row, private_key: 4 }], ver: 4, now_ms: 1 }),
    JSON.stringify({ rows: [{ ...row, ver: 1.5 }], ver: 4, now_ms: 1 }),
    JSON.stringify({ rows: [{ ...row, value: 4 }], ver: 4, now_ms: 1 }),
  ];
  for (const answer of answers) {
    it(`is an error of the store: ${answer}`, async () => {
      body = answer;
      const tables = platformTables(address);
      const query = { table: 't', after: 1, wait: 0 };
      expect(await tables.read('t', '', signal())).toMatchObject({ ok: false });
      expect(await tables.changes(query, signal())).toMatchObject({ ok: false });
    });
  }

  for (const answer of [...INVALID_OBJECTS, '{}', '{"ver":"4"}']) {
    it(`commits nothing: ${answer}`, async () => {
      body = answer;
      const committed = await platformTables(address).transact([], [], signal());
      expect(committed).toMatchObject({ ok: false });
    });
  }

  for (const answer of [...INVALID_OBJECTS, '{"names":4}', '{"names":[4]}']) {
    it(`lists no objects: ${answer}`, async () => {
      body = answer;
      expect(await platformObjects(address).list('p', signal())).toMatchObject({ ok: false });
    });
  }
});

describe('an invalid report of a worker', () => {
  const answers = [
    ...INVALID_OBJECTS,
    '{"models":"m"}',
    '{"models":[{"name":4}]}',
    '{"layers":"all"}',
    '{"layers":{"from":0}}',
    '{"busy":"no"}',
    '{"queued":-1}',
    '{"active":1.5}',
    '{"seq":"2"}',
    '{"born":null}',
    '{"born":"1764730000000"}',
  ];
  for (const answer of answers) {
    it(`is an error: ${answer}`, async () => {
      body = answer;
      const state = await platformEngine(address).state(signal());
      expect(state).toMatchObject({ ok: false, error: { type: 'engineUnreachable' } });
    });
  }

  it('may have unknown fields, and null for layers', async () => {
    body =
      '{"models":[],"layers":null,"busy":true,"seq":1,"queued":0,"active":2,"pace":1,"stalled":[],"new":{}}';
    expect(await platformEngine(address).state(signal())).toMatchObject({
      ok: true,
      value: { model: '', layers: undefined, isBusy: true, load: 2, sequence: 1 },
    });
  });
});

describe('an invalid manifest of the origin', () => {
  const answers = [
    ...INVALID_OBJECTS,
    '{}',
    '{"chunk_bytes":4}',
    '{"chunk_bytes":0,"digests":["ab"]}',
    '{"chunk_bytes":4,"digests":[4]}',
    '{"chunk_bytes":"4","digests":["ab"]}',
  ];
  for (const answer of answers) {
    it(`is an error of the origin: ${answer}`, async () => {
      body = answer;
      const manifest = await platformOrigin(address).manifest({ model: 'm', version: 2 }, signal());
      expect(manifest).toMatchObject({ ok: false, error: { type: 'sourceFailed' } });
    });
  }
});
