/**
 * Stand-in for a worker: keeps its entry in the store with a heartbeat, checks `Expect-Instance`, runs a request for `workMs`, and
 * refuses what finds all slots taken with `Not-Executed`. It tells each arrival and each run.
 */
import { createServer } from 'node:http';
import { readBody, sleep } from './http.mjs';

const HEARTBEAT_MS = 1_200;
/** `drain_ms` of the settings: the least time for which a worker serves on after it has said that it leaves. */
const DRAIN_MS = 2_000;

export class Worker {
  #store;
  #server;
  #timer;
  #sequence = 0;
  #running = 0;
  isLeaving = false;
  /** Headers that are added to each answer. */
  extraHeaders = () => ({});
  /** Called with each request that arrives here and is meant for this worker. */
  onArrival = () => {};
  /** Called when a request begins to run. */
  onRun = () => {};
  /** Replaces the usual handling of a request; returns false to leave it to that. */
  intercept = () => false;

  constructor(store, { id, service, zone, slots = 6, workMs = 20 }) {
    this.#store = store;
    Object.assign(this, { id, service, zone, slots, workMs });
  }

  async start(host) {
    this.#server = createServer((request, response) => {
      this.#handle(request, response).catch(() => response.destroy());
    });
    this.#server.keepAliveTimeout = 20_000;
    await new Promise((resolve) => this.#server.listen(0, host, resolve));
    this.address = `${host}:${this.#server.address().port}`;
    this.beat();
    this.#timer = setInterval(() => this.beat(), HEARTBEAT_MS);
  }

  /** Writes the entry. */
  beat() {
    const { service, address, zone, slots, isLeaving } = this;
    this.#store.put('servers', this.id, {
      service,
      address,
      zone,
      version: 'v1',
      slots,
      state: isLeaving ? 'draining' : 'ready',
      cold_left_ms: 0,
      seq: ++this.#sequence,
    });
  }

  /** Says that it leaves; from the store's answer on it serves for `DRAIN_MS` and `longer`. */
  async leave(longer) {
    this.isLeaving = true;
    this.beat();
    await sleep(DRAIN_MS + longer);
    this.stop();
    this.#store.remove('servers', this.id);
  }

  /** Leaves without saying so: the entry goes, and it serves on as long. */
  async leaveUnannounced(longer) {
    clearInterval(this.#timer);
    this.#store.remove('servers', this.id);
    await sleep(DRAIN_MS + longer);
    this.stop();
  }

  stop() {
    clearInterval(this.#timer);
    this.#server?.closeAllConnections();
    this.#server?.close();
  }

  async #handle(request, response) {
    const body = await readBody(request);
    const { headers, url } = request;
    if (url === '/healthz') return this.#answer(request, response, 200, { 'instance-id': this.id });
    if (headers['expect-instance'] !== undefined && headers['expect-instance'] !== this.id)
      return this.#answer(request, response, 421, { 'instance-id': this.id });
    this.onArrival(headers, request);
    if (this.intercept(request, response, body)) return undefined;
    if (this.#running >= this.slots) return this.refuse(request, response);
    return this.run(request, response);
  }

  refuse(request, response, headers = {}) {
    this.#answer(request, response, 503, { 'not-executed': '1', ...headers });
  }

  async run(request, response) {
    const id = request.headers['attempt-id'];
    this.#running++;
    this.onRun(request.headers);
    await sleep(this.workMs);
    this.#running--;
    this.#answer(
      request,
      response,
      200,
      { 'server-seal': `seal-${this.id}-${id}` },
      `done ${id} at ${this.id}`,
    );
  }

  #answer({ headers }, response, status, added, text = '') {
    const id = headers['attempt-id'];
    response.writeHead(status, {
      ...(id === undefined ? {} : { 'attempt-id': id }),
      'content-length': Buffer.byteLength(text),
      ...this.extraHeaders(),
      ...added,
    });
    response.end(text);
  }
}
