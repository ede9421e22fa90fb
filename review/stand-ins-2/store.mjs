/**
 * Stand-in for the platform's metadata store: tables with versions, conditional transactions, pages, a feed of changes, and objects.
 * It answers each call after `answerMs`, lists at most 500 rows a page, and keeps 20 s of history.
 */
import { createServer } from 'node:http';
import { readBody } from './http.mjs';

const PAGE_ROWS = 500;
const HISTORY_MS = 20_000;

export class Store {
  #rows = new Map();
  /** Changes of the last 20 s, oldest first. */
  #log = [];
  #version = 0;
  /** Newest version that is no longer in the log. */
  #forgotten = 0;
  #waiting = new Set();
  #blobs = new Map();
  #server;
  /** Called with each call before it is answered. */
  onCall = () => {};
  answerMs = 4;

  async start(host, port = 0) {
    this.#server = createServer((request, response) => {
      this.#handle(request, response).catch((error) => response.destroy(error));
    });
    await new Promise((resolve) => this.#server.listen(port, host, resolve));
    this.address = `${host}:${this.#server.address().port}`;
  }

  stop() {
    this.#server?.closeAllConnections();
    this.#server?.close();
  }

  /** Writes a row as the operator or a worker does; returns its version. */
  put(table, key, value, part = '') {
    return this.#commit([{ table, part, key, value: Buffer.from(JSON.stringify(value)).toString('base64') }]);
  }

  remove(table, key, part = '') {
    return this.#commit([{ table, part, key, value: undefined }]);
  }

  #commit(writes) {
    const version = ++this.#version;
    const now = performance.now();
    for (const write of writes) {
      const row = { ...write, version, at: now };
      const name = nameOf(write);
      if (write.value === undefined) this.#rows.delete(name);
      else this.#rows.set(name, row);
      this.#log.push(row);
    }
    while (this.#log.length > 0 && this.#log[0].at < now - HISTORY_MS)
      this.#forgotten = this.#log.shift().version;
    for (const wake of [...this.#waiting]) wake();
    return version;
  }

  async #handle(request, response) {
    const url = new URL(request.url, 'http://store');
    const body = await readBody(request);
    this.onCall({ method: request.method, url, body });
    await new Promise((resolve) => setTimeout(resolve, this.answerMs));
    const [, , call, name] = url.pathname.split('/', 4);
    const rest = url.pathname.split('/').slice(3).join('/');
    const query = Object.fromEntries(url.searchParams);
    if (call === 'rows-get') return send(response, 200, this.#page(query));
    if (call === 'rows-feed') return this.#feed(response, query);
    if (call === 'rows-tx') return this.#transact(response, JSON.parse(body.toString()));
    if (call === 'rows-parts') return send(response, 200, { parts: this.#parts(query.table), more: false });
    if (call === 'blob-list') {
      const names = [...this.#blobs.keys()].filter((one) => one.startsWith(query.path_prefix ?? '')).sort();
      return send(response, 200, { names: names.slice(0, 1_000), more: names.length > 1_000 });
    }
    if (call === 'blob-put') {
      this.#blobs.set(rest, body);
      return send(response, 200, {});
    }
    if (call === 'blob-get' && this.#blobs.has(rest)) return response.end(this.#blobs.get(rest));
    if (call === 'blob-drop') this.#blobs.delete(rest);
    return send(response, call === 'blob-drop' ? 200 : 404, { name });
  }

  /** One page, as of one moment. */
  #page({ table, part = '', from = '', target_version: end, limit = PAGE_ROWS }) {
    const all = [...this.#rows.values()]
      .filter((row) => row.table === table && row.part === part)
      .filter((row) => compare(row.key, from) >= 0 && (end === undefined || compare(row.key, end) < 0))
      .sort((one, other) => compare(one.key, other.key));
    const rows = all.slice(0, Math.min(PAGE_ROWS, Number(limit)));
    return { ...this.#stamp(), rows: rows.map(toWire), more: all.length > rows.length };
  }

  async #feed(response, { table, after_rev: after, wait_ms: wait = '0' }) {
    const since = Number(after);
    const endsAt = performance.now() + Number(wait);
    for (;;) {
      if (since < this.#forgotten) return send(response, 410, {});
      const rows = this.#changes(table, since);
      const left = endsAt - performance.now();
      if (rows.length > 0 || left <= 0 || response.destroyed)
        return send(response, 200, { ...this.#stamp(), rows: rows.map(toWire) });
      await this.#nextCommit(left);
    }
  }

  /** The latest change of each row of a table after a version, in order. */
  #changes(table, since) {
    const latest = new Map();
    for (const row of this.#log) {
      if (row.table !== table || row.version <= since) continue;
      latest.delete(nameOf(row));
      latest.set(nameOf(row), row);
    }
    return [...latest.values()];
  }

  #nextCommit(longest) {
    return new Promise((resolve) => {
      const wake = () => {
        clearTimeout(timer);
        this.#waiting.delete(wake);
        resolve();
      };
      const timer = setTimeout(wake, longest);
      this.#waiting.add(wake);
    });
  }

  #transact(response, { expected_rev: expected = [], put = [], remove = [] }) {
    const known = expected.map((one) => this.#rows.get(nameOf(ofWire(one))));
    const isMet = expected.every(({ ver }, index) => (known[index]?.version ?? 0) === ver);
    if (!isMet) return send(response, 412, { rows: known.filter(Boolean).map(toWire), ...this.#stamp() });
    const removed = remove.map((one) => ({ ...ofWire(one), value: undefined }));
    this.#commit([...put.map((one) => ({ ...ofWire(one), value: one.value })), ...removed]);
    return send(response, 200, this.#stamp());
  }

  #parts(table) {
    return [
      ...new Set([...this.#rows.values()].filter((row) => row.table === table).map(({ part }) => part)),
    ];
  }

  #stamp() {
    return { ver: this.#version, now_ms: Math.round(performance.now()) };
  }
}

function compare(one, other) {
  return Buffer.compare(Buffer.from(one), Buffer.from(other));
}

function nameOf({ table, part, key }) {
  return JSON.stringify([table, part, key]);
}

function ofWire({ table, part = '', private_key: key }) {
  return { table, part, key };
}

function toWire({ table, part, key, value, version }) {
  const row = { table, part, private_key: key, ver: version };
  return value === undefined ? { ...row, gone: true } : { ...row, value };
}

function send(response, status, body) {
  if (response.destroyed) return;
  const bytes = Buffer.from(JSON.stringify(body));
  response.writeHead(status, { 'content-type': 'application/json', 'content-length': bytes.byteLength });
  response.end(bytes);
}
