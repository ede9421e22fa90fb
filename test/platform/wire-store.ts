/** A server that exposes an in-memory store through the platform's HTTP interface. */
import { createServer, type IncomingMessage, type ServerResponse } from 'node:http';
import type { AddressInfo } from 'node:net';
import type { MemoryStore } from '../../emulator/store/memory-store.js';
import { storeRevision, versionOf } from '../../src/clients/store-revision.js';
import type { StoredRow } from '../../src/clients/watched-tables.js';

/** Largest number of rows in one answer to a read of a table, and of names in a list of objects. */
const PAGE_ROWS = 500;
const PAGE_NAMES = 1_000;

/** The value of the era header; undefined to omit it. */
export type EraHeader = (era: number) => number | string | undefined;

/** Starts the server; returns its address and a function to stop it. */
export async function startStoreServer(
  behind: MemoryStore,
  eraHeader: EraHeader = (era) => era,
): Promise<{ address: string; stop: () => void }> {
  const server = createServer((request, response) => {
    const era = eraHeader(behind.era);
    if (era !== undefined) response.setHeader('store-era', era);
    void answer(behind, request, response).catch(() => response.destroy());
  });
  await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve));
  const address = `127.0.0.1:${(server.address() as AddressInfo).port}`;
  return {
    address,
    stop: () => {
      server.closeAllConnections();
      server.close();
    },
  };
}

async function answer(
  behind: MemoryStore,
  request: IncomingMessage,
  response: ServerResponse,
): Promise<void> {
  const url = new URL(request.url ?? '/', 'http://store');
  const closed = new AbortController();
  response.on('close', () => closed.abort());
  const { signal } = closed;
  const json = (status: number, body: unknown) => {
    response.writeHead(status, { 'content-type': 'application/json' });
    response.end(JSON.stringify(body));
  };
  const rowsJson = (rows: readonly StoredRow[], body: object) => {
    response.writeHead(200, { 'content-type': 'application/json' });
    response.write('{"rows":[');
    for (const [index, row] of rows.entries()) response.write(`${index === 0 ? '' : ','}${rowJson(row)}`);
    response.end(`],${JSON.stringify(body).slice(1)}`);
  };
  const parts: Buffer[] = [];
  for await (const part of request) parts.push(part as Buffer);
  const body = Buffer.concat(parts);
  const [, , call, name = ''] = url.pathname.split('/');
  const query = url.searchParams;
  if (behind.faults.down) return json(503, { error: 'down' });
  switch (call) {
    case 'rows-get': {
      const read = await behind.read(query.get('table') ?? '', query.get('part') ?? '', signal);
      if (!read.ok) return;
      const from = query.get('from') ?? '';
      const rows = read.value.rows.filter(({ key }) => key >= from);
      rowsJson(rows.slice(0, PAGE_ROWS), {
        more: rows.length > PAGE_ROWS,
        ver: versionOf(read.value.revision),
        now_ms: read.value.storeTime,
      });
      return;
    }
    case 'rows-feed': {
      const after = storeRevision(behind.era, Number(query.get('after_rev')))!;
      const changes = await behind.changes(
        { table: query.get('table') ?? '', after, wait: Number(query.get('wait_ms')) },
        signal,
      );
      if (changes.ok)
        return rowsJson(changes.value.rows, {
          ver: versionOf(changes.value.revision),
          now_ms: changes.value.storeTime,
        });
      return json(410, { error: 'history' });
    }
    case 'rows-tx': {
      const { expected_rev = [], put = [], remove = [] } = JSON.parse(body.toString('utf8'));
      const named = ({ table, part, private_key }: Record<string, string>) => ({
        table,
        partition: part,
        key: private_key,
      });
      const outcome = await behind.transact(
        expected_rev.map((row: Record<string, string>) => ({
          ...named(row),
          revision: Number(row.ver) === 0 ? 0 : storeRevision(behind.era, Number(row.ver))!,
        })),
        [
          ...put.map((row: Record<string, string>) => ({
            ...named(row),
            value: Buffer.from(row.value, 'base64'),
          })),
          ...remove.map((row: Record<string, string>) => ({ ...named(row), value: undefined })),
        ],
        signal,
      );
      if (!outcome.ok) return void response.destroy();
      if (outcome.value.type === 'conflict')
        return json(412, { rows: outcome.value.rows.map(wireRow), ver: versionOf(behind.revision) });
      return json(200, { ver: versionOf(outcome.value.revision), now_ms: 1 });
    }
    case 'blob-put':
      await behind.put(name, body, signal);
      return json(200, {});
    case 'blob-get': {
      const found = await behind.get(name, signal);
      if (!found.ok) return json(404, {});
      response.end(found.value);
      return;
    }
    case 'blob-list': {
      const names = await behind.list(query.get('path_prefix') ?? '', signal);
      const after = query.get('after_rev') ?? '';
      const rest = (names.ok ? names.value : []).filter((one) => one > after).sort();
      return json(200, { names: rest.slice(0, PAGE_NAMES), more: rest.length > PAGE_NAMES });
    }
  }
}

/** Rendered rows: a large one is sent to many processes. */
const renderedRows = new WeakMap<StoredRow, string>();

function rowJson(row: StoredRow): string {
  const known = renderedRows.get(row);
  if (known !== undefined) return known;
  const rendered = JSON.stringify(wireRow(row));
  renderedRows.set(row, rendered);
  return rendered;
}

function wireRow({ table, partition, key, value, revision }: StoredRow): object {
  const name = { table, part: partition, private_key: key, ver: versionOf(revision) };
  return value === undefined ? { ...name, gone: true } : { ...name, value: value.toString('base64') };
}
