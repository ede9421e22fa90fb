/**
 * Stand-in for the platform's metadata store. Each machine reaches it at an address of its own, which can be cut off: its
 * connections are reset and new ones refused, while the store goes on serving the other machines and the operator.
 */
import { createServer } from 'node:http';

/** Longest wait of a call for changes, in milliseconds. */
const MAX_WAIT = 30_000;

/** The tables and objects of the store. */
export class Store {
  #version = 0;
  #rows = new Map();
  #objects = new Map();
  #waiting = new Set();

  /** Writes a row, or removes it if `value` is undefined; returns the time of the acknowledgement. */
  write(table, key, value) {
    this.#apply([{ table, part: '', private_key: key, value: value && encode(value) }]);
    return performance.now();
  }

  /** Answers one call of the HTTP interface. */
  async answer(request, response) {
    const url = new URL(request.url, 'http://store');
    const parts = [];
    for await (const part of request) parts.push(part);
    const body = Buffer.concat(parts);
    const [, , call, ...name] = url.pathname.split('/');
    const reply = (status, value) => {
      response.writeHead(status, { 'content-type': 'application/json', 'store-era': '1' });
      response.end(JSON.stringify(value));
    };
    if (call === 'rows-get') return reply(200, this.#read(url.searchParams));
    if (call === 'rows-feed') return reply(200, await this.#feed(url.searchParams, response));
    if (call === 'rows-tx') return this.#transact(JSON.parse(body.toString()), reply);
    return this.#answerObject(call, decodeURIComponent(name.join('/')), url, body, response, reply);
  }

  #read(query) {
    const table = query.get('table');
    const part = query.get('part') ?? '';
    const from = query.get('from') ?? '';
    const rows = [...this.#rows.values()].filter(
      (row) => row.table === table && row.part === part && row.private_key >= from && row.value !== undefined,
    );
    rows.sort((a, b) => Buffer.compare(Buffer.from(a.private_key), Buffer.from(b.private_key)));
    return { rows: rows.slice(0, 500), more: rows.length > 500, ver: this.#version, now_ms: now() };
  }

  async #feed(query, response) {
    const table = query.get('table');
    const after = Number(query.get('after_rev'));
    const endsAt = performance.now() + Math.min(MAX_WAIT, Number(query.get('wait_ms') ?? 0));
    const changed = () => [...this.#rows.values()].filter((row) => row.table === table && row.ver > after);
    while (changed().length === 0 && performance.now() < endsAt && !response.destroyed)
      await this.#untilChange(endsAt - performance.now());
    const rows = changed().sort((a, b) => a.ver - b.ver);
    return { rows: rows.map(wireRow), ver: this.#version, now_ms: now() };
  }

  #transact({ expected_rev = [], put = [], remove = [] }, reply) {
    const unmet = expected_rev.filter((row) => (this.#find(row)?.ver ?? 0) !== row.ver);
    if (unmet.length > 0)
      return reply(412, { rows: unmet.flatMap((row) => this.#find(row) ?? []), ver: this.#version });
    this.#apply([...put, ...remove.map((row) => ({ ...row, value: undefined }))]);
    return reply(200, { ver: this.#version, now_ms: now() });
  }

  #answerObject(call, name, url, body, response, reply) {
    if (call === 'blob-put') {
      this.#objects.set(name, body);
      return reply(200, {});
    }
    if (call === 'blob-list') {
      const prefix = url.searchParams.get('path_prefix') ?? '';
      return reply(200, {
        names: [...this.#objects.keys()].filter((key) => key.startsWith(prefix)),
        more: false,
      });
    }
    const found = this.#objects.get(name);
    if (call !== 'blob-get' || found === undefined) return reply(404, {});
    response.writeHead(200, { 'store-era': '1' });
    response.end(found);
  }

  #find({ table, part = '', private_key }) {
    const row = this.#rows.get(JSON.stringify([table, part, private_key]));
    return row?.value === undefined ? undefined : row;
  }

  #apply(rows) {
    this.#version++;
    for (const { table, part = '', private_key, value } of rows)
      this.#rows.set(JSON.stringify([table, part, private_key]), {
        table,
        part,
        private_key,
        value,
        ver: this.#version,
      });
    for (const wake of this.#waiting) wake();
  }

  #untilChange(milliseconds) {
    return new Promise((resolve) => {
      const wake = () => {
        clearTimeout(timer);
        this.#waiting.delete(wake);
        resolve();
      };
      const timer = setTimeout(wake, Math.max(0, milliseconds));
      this.#waiting.add(wake);
    });
  }
}

/** The way of one machine to the store. */
export class StoreLink {
  #store;
  #host;
  #port;
  #server;
  /** When the machine last read the list of workers, in milliseconds of the monotonic clock. */
  listReadAt = Number.NEGATIVE_INFINITY;

  constructor(store, host, port) {
    this.#store = store;
    this.#host = host;
    this.#port = port;
  }

  get address() {
    return `${this.#host}:${this.#port}`;
  }

  async open() {
    const server = createServer((request, response) => {
      response.on('error', () => {});
      if (request.url.includes('table=servers')) this.listReadAt = performance.now();
      this.#store.answer(request, response).catch(() => response.destroy());
    });
    server.keepAliveTimeout = 30_000;
    await new Promise((resolve, reject) => {
      server.once('error', reject);
      server.listen(this.#port, this.#host, resolve);
    });
    this.#server = server;
  }

  /** Closes all connections and refuses new ones until `open`. */
  cut() {
    this.#server?.close();
    this.#server?.closeAllConnections();
    this.#server = undefined;
  }
}

function wireRow({ table, part, private_key, value, ver }) {
  return value === undefined
    ? { table, part, private_key, ver, gone: true }
    : { table, part, private_key, value, ver };
}

function encode(value) {
  return Buffer.from(JSON.stringify(value)).toString('base64');
}

function now() {
  return Math.round(performance.now());
}
