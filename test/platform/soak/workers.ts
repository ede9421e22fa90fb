/**
 * Stand-ins for the users' workers in a soak: engines with a stage, plain services and the origin of weights. They note
 * what runs, so that the promises can be judged from what they saw.
 */
import { createHash } from 'node:crypto';
import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http';

/** Pieces of a version, and layers of the model. */
export const PIECES = 8;
export const LAYERS = 4;
const PIECE_BYTES = 4_096;
/** Events of a stream, and the time between two, in milliseconds. */
export const EVENTS = 6;
const EVENT_INTERVAL = 15;
/** Requests that run at the same time, and that wait besides. */
const SLOTS = 8;
const QUEUE = 16;
/** Time from an order to the weights, in milliseconds. */
const WARM_TIME = 80;
const SERVICE_TIME = 20;

/** One run of a request at a worker. */
export interface Run {
  requestId: string;
  worker: string;
  tenant: string;
  method: string;
  path: string;
  body: string;
  /** Version of the weights that ran it; 0 for a plain service. */
  version: number;
  at: number;
}

/** All runs, and what the stand-ins saw go wrong. */
export class RunLog {
  readonly runs: Run[] = [];
  readonly violations: string[] = [];

  of(requestId: string): Run[] {
    return this.runs.filter((run) => run.requestId === requestId);
  }
}

/** Bytes of a piece. */
export function pieceOf(version: number, index: number): Buffer {
  return Buffer.alloc(PIECE_BYTES, createHash('sha256').update(`${version}/${index}`).digest());
}

/** The data of an event of the stream at `path`: the same whoever writes it. */
export function eventData(path: string, id: number): string {
  return createHash('sha256').update(`${path}/${id}`).digest('hex').slice(0, 16);
}

/** A server at an address of its own. */
abstract class StandIn {
  readonly address: string;
  #server: Server | undefined;

  constructor(address: string) {
    this.address = address;
  }

  async start(): Promise<void> {
    const [host, port] = this.address.split(':');
    const server = createServer((request, response) => {
      response.on('error', () => {});
      void readBody(request).then(
        (body) => this.handle(request, response, body),
        () => response.destroy(),
      );
    });
    await new Promise<void>((resolve) => server.listen(Number(port), host, resolve));
    this.#server = server;
  }

  /** Ends as a crash does. */
  stop(): void {
    this.#server?.closeAllConnections();
    this.#server?.close();
  }

  protected abstract handle(request: IncomingMessage, response: ServerResponse, body: Buffer): void;
}

/** The origin of weights. */
export class StandInOrigin extends StandIn {
  /** Pieces sent of each version. */
  readonly sent = new Map<number, number>();

  protected handle(request: IncomingMessage, response: ServerResponse): void {
    const url = new URL(request.url ?? '/', 'http://origin');
    const [, , call, model] = url.pathname.split('/');
    const version = Number(url.searchParams.get('version'));
    if (call === 'manifest') {
      const digests = Array.from({ length: PIECES }, (_, index) =>
        createHash('sha256').update(pieceOf(version, index)).digest('hex'),
      );
      return void json(response, 200, { model, version, chunk_bytes: PIECE_BYTES, layers: LAYERS, digests });
    }
    this.sent.set(version, (this.sent.get(version) ?? 0) + 1);
    response.end(pieceOf(version, Number(url.searchParams.get('length'))));
  }
}

/** A worker of any service. */
export abstract class StandInWorker extends StandIn {
  readonly id: string;
  readonly service: string;
  protected readonly log: RunLog;
  leaving = false;
  #runs = 0;

  constructor(options: { id: string; service: string; address: string; log: RunLog }) {
    super(options.address);
    this.id = options.id;
    this.service = options.service;
    this.log = options.log;
  }

  /** What it keeps in the store besides its address and zone. */
  abstract record(): object;

  /** Answers that the request did not run. */
  protected refuse(request: IncomingMessage, response: ServerResponse, status: number): void {
    response.writeHead(status, { 'Attempt-Id': requestIdOf(request), 'Not-Executed': '1' });
    response.end();
  }

  /** Notes a run; returns the signature of its answer. */
  protected run(request: IncomingMessage, body: Buffer, version: number): string {
    this.log.runs.push({
      requestId: requestIdOf(request),
      worker: this.id,
      tenant: String(request.headers.tenant ?? ''),
      method: request.method ?? '',
      path: request.url ?? '',
      body: body.toString('utf8'),
      version,
      at: performance.now(),
    });
    return `${this.id}.${++this.#runs}`;
  }

  protected isMeant(request: IncomingMessage): boolean {
    return request.headers['expect-instance'] === this.id;
  }
}

/** A plain service: what it runs may not be repeated. */
export class StandInService extends StandInWorker {
  record(): object {
    return { slots: SLOTS };
  }

  protected handle(request: IncomingMessage, response: ServerResponse, body: Buffer): void {
    if (!this.isMeant(request)) return this.refuse(request, response, 421);
    const seal = this.run(request, body, 0);
    setTimeout(() => {
      const id = requestIdOf(request);
      response.writeHead(200, { 'Attempt-Id': id, 'Server-Seal': seal });
      response.end(JSON.stringify({ id, seal }));
    }, SERVICE_TIME);
  }
}

/** An engine with a stage. */
export class StandInEngine extends StandInWorker {
  readonly #stage = new Map<number, Buffer>();
  #version: number;
  #isBusy = false;
  #orders = 0;
  #active = 0;
  #waiting: Array<() => void> = [];

  /** @param version - what it holds at its start, staged too; 0 for nothing */
  constructor(options: { id: string; service: string; address: string; log: RunLog; version: number }) {
    super(options);
    this.#version = options.version;
    if (options.version === 0) return;
    for (let index = 0; index < PIECES; index++) this.#stage.set(index, pieceOf(options.version, index));
  }

  get version(): number {
    return this.#version;
  }

  /** One staged piece turns bad. */
  rot(index: number): void {
    if (this.#stage.has(index)) this.#stage.set(index, Buffer.alloc(PIECE_BYTES, 1));
  }

  record(): object {
    return { slots: SLOTS, layers: this.#layers(), models: [{ name: 'm', version: this.#version }] };
  }

  protected handle(request: IncomingMessage, response: ServerResponse, body: Buffer): void {
    const url = new URL(request.url ?? '/', 'http://engine');
    const index = Number(url.searchParams.get('length'));
    if (url.pathname === '/v1/report') return json(response, 200, this.#report());
    if (url.pathname.startsWith('/v1/stage-put/')) {
      this.#stage.set(index, body);
      return json(response, 200, {});
    }
    if (url.pathname.startsWith('/v1/stage-get/')) {
      const piece = this.#stage.get(index);
      if (piece === undefined) return json(response, 404, {});
      return void response.end(piece);
    }
    if (url.pathname === '/v1/order') return this.#order(JSON.parse(body.toString('utf8')), response);
    void this.#generate(request, response, body);
  }

  #layers(): object | undefined {
    return this.#version === 0 ? undefined : { from: 0, target_version: LAYERS, version: this.#version };
  }

  #report(): object {
    return {
      models: [{ name: 'm', version: this.#version }],
      layers: this.#layers(),
      busy: this.#isBusy,
      seq: this.#orders,
      queued: this.#waiting.length,
      active: this.#active,
    };
  }

  #order(order: { version: number; expected_rev?: number }, response: ServerResponse): void {
    if (this.#isBusy || (order.expected_rev !== undefined && order.expected_rev !== this.#orders))
      return json(response, 409, {});
    for (let index = 0; index < PIECES; index++) {
      if (this.#stage.get(index)?.equals(pieceOf(order.version, index)) !== true)
        this.log.violations.push(`WHOLE: ${this.id} ordered to take ${order.version}, piece ${index} is not`);
    }
    this.#orders++;
    this.#isBusy = true;
    json(response, 202, {});
    void this.#take(order.version);
  }

  async #take(version: number): Promise<void> {
    while (this.#active > 0) await pause(5);
    await pause(WARM_TIME);
    this.#version = version;
    this.#isBusy = false;
    for (const wake of this.#waiting.splice(0)) wake();
  }

  async #generate(request: IncomingMessage, response: ServerResponse, body: Buffer): Promise<void> {
    const isOther = () => {
      const expected = request.headers['expect-version'];
      return expected !== undefined && Number(expected) !== this.#version;
    };
    if (!this.isMeant(request) || this.#version === 0 || isOther())
      return this.refuse(request, response, 421);
    if (this.#waiting.length >= QUEUE) return this.refuse(request, response, 503);
    let isGone = false;
    response.on('close', () => {
      isGone = true;
    });
    while (this.#isBusy || this.#active >= SLOTS)
      await new Promise<void>((resolve) => this.#waiting.push(resolve));
    if (isGone) return this.#waiting.shift()?.();
    if (isOther()) return this.refuse(request, response, 421);
    this.#active++;
    const seal = this.run(request, body, this.#version);
    response.writeHead(200, {
      'Attempt-Id': requestIdOf(request),
      'Server-Seal': seal,
      'Weight-Versions': String(this.#version),
      'Content-Type': 'text/event-stream',
    });
    const first = Number(request.headers['last-event-id'] ?? 0) + 1;
    for (let id = first; id <= EVENTS && !isGone; id++) {
      response.write(`id: ${id}\ndata: ${eventData(request.url ?? '', id)}\n\n`);
      await pause(EVENT_INTERVAL);
    }
    response.end();
    this.#active--;
    this.#waiting.shift()?.();
  }
}

function requestIdOf(request: IncomingMessage): string {
  return String(request.headers['attempt-id'] ?? '');
}

function json(response: ServerResponse, status: number, body: object): void {
  response.writeHead(status, { 'content-type': 'application/json' });
  response.end(JSON.stringify(body));
}

async function readBody(request: IncomingMessage): Promise<Buffer> {
  const parts: Buffer[] = [];
  for await (const part of request) parts.push(part as Buffer);
  return Buffer.concat(parts);
}

function pause(milliseconds: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, milliseconds));
}
