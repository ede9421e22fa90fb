/**
 * Stand-ins for the users' workers in a soak, plain services and the origin of weights; `engine.ts` has the engines. They
 * record what they receive and run, so that the judges can check it.
 */
import { createHash } from 'node:crypto';
import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http';
import type { AcceptedOrder, LoadedLayer } from './engine-stage.js';
import { type Continuation, Stalls } from './stalls.js';

/** Number of pieces of a version, and of layers of the model. */
export const PIECES = 48;
export const LAYERS = 16;
const PIECE_BYTES = 4_096;
/** Default number of events of a stream, and the default interval between them in milliseconds. */
const EVENTS = 6;
const EVENT_INTERVAL = 15;
/** Requests that a worker may run concurrently. */
export const SLOTS = 8;
const SERVICE_TIME = 20;
const MISDIRECTED = 421;
/** Time after which a continued stream is broken off, in milliseconds. */
const BREAK_DELAY = 10;
const MILLISECONDS = 1_000;
/** A back-off is stated in seconds, which may have a fraction. */
const SECONDS = /^\d+(\.\d+)?$/;

/** Response headers by which a caller matches a response to its request and run. */
export type AnswerHeaders = Record<'Attempt-Id' | 'Server-Seal', string>;

/** How the connection of a request ends that crashes its engine. */
export type CrashEnding = 'noHead' | 'headOnly' | 'insideEvent' | 'reset' | 'chunked' | 'length';
export const CRASH_ENDINGS: readonly CrashEnding[] = [
  'noHead',
  'headOnly',
  'insideEvent',
  'reset',
  'chunked',
  'length',
];

/** One run of a request at a worker. */
export interface Run {
  requestId: string;
  worker: string;
  service: string;
  tenant: string;
  method: string;
  path: string;
  body: string;
  /** Version of the weights that ran it; 0 for a plain service. */
  version: number;
  /** The layers of the engine that ran it; none for a plain service. */
  layers: readonly LoadedLayer[];
  at: number;
  /** When the run ended; undefined while it is in progress. */
  endedAt: number | undefined;
  /** Whether the worker itself aborted the response. */
  isAborted: boolean;
  /** The event after which the stream was to be continued; 0 for a stream from the start. */
  after: number;
  /** Whether the worker broke off a continued stream before its first event, which loses nothing for the caller. */
  isContinuationBroken: boolean;
}

/** One start of a worker. */
export interface WorkerStart {
  worker: string;
  /** When it started by its own clock. */
  born: number;
}

/** A request that reached a worker, whether or not it ran there. */
export interface Arrival extends WorkerStart {
  requestId: string;
  service: string;
  at: number;
  /** It was refused as it was meant for another worker or version. */
  isMisdirected?: boolean;
}

/** The store has acknowledged that a worker leaves or is gone; it serves on for some time. */
export interface Departure extends WorkerStart {
  at: number;
}

/** An answer by which a worker stated that it is leaving. */
export interface LeavingAnswer extends WorkerStart {
  requestId: string;
}

/** A refusal by which a worker asked for a back-off; times are in milliseconds. */
export interface BackoffRequest extends WorkerStart {
  requestId: string;
  at: number;
  backoff: number;
}

/** A period in which a worker announces a rate limit; times are in milliseconds of the monotonic clock. */
export interface RateLimitPeriod {
  worker: string;
  /** Requests per second. */
  rate: number;
  from: number;
  to: number;
}

/** A period in which the operator has a zone out of service; times are in milliseconds of the monotonic clock. */
export interface EvacuationPeriod {
  zone: string;
  from: number;
  /** Infinite while it lasts. */
  to: number;
}

/** A period in which a worker is cold; times are in milliseconds of the monotonic clock. */
export interface ColdPeriod extends WorkerStart {
  cause: 'started' | 'turned cold';
  from: number;
  to: number;
}

/** Everything that the stand-ins recorded, and the violations that they saw. */
export class RunLog {
  /** How long a step of an answer takes that usually takes `usual` milliseconds. */
  timeOf: (usual: number) => number = (usual) => usual;
  /** Called at the start of each run. */
  onRun: (run: Run) => void = () => {};
  /** How a request ends that crashes its engine; undefined for all others. */
  crashEndingOf: (request: IncomingMessage) => CrashEnding | undefined = () => undefined;
  /** Called when a request has crashed the engine with this id, to stop it. */
  onCrash: (worker: string) => void = () => {};
  readonly runs: Run[] = [];
  readonly arrivals: Arrival[] = [];
  readonly orders: AcceptedOrder[] = [];
  readonly limits: RateLimitPeriod[] = [];
  readonly evacuations: EvacuationPeriod[] = [];
  readonly coldPeriods: ColdPeriod[] = [];
  readonly leavingAnswers: LeavingAnswer[] = [];
  readonly departures: Departure[] = [];
  readonly backoffRequests: BackoffRequest[] = [];
  readonly violations: string[] = [];

  of(requestId: string): Run[] {
    return this.runs.filter((run) => run.requestId === requestId);
  }
}

/** The pieces that have been asked for, as engines compare them again and again; they must not be changed. */
const pieces = new Map<string, Buffer>();

/** Bytes of a piece. */
export function pieceOf(version: number, index: number): Buffer {
  const name = `${version}/${index}`;
  const known = pieces.get(name);
  if (known !== undefined) return known;
  const bytes = Buffer.alloc(PIECE_BYTES, createHash('sha256').update(name).digest());
  pieces.set(name, bytes);
  return bytes;
}

/** Number of events and interval of the stream at `path`, whose query may override the defaults. */
export function streamShape(path: string): { events: number; interval: number } {
  const { searchParams } = new URL(path, 'http://engine');
  return {
    events: Number(searchParams.get('events') ?? EVENTS),
    interval: Number(searchParams.get('interval') ?? EVENT_INTERVAL),
  };
}

/** The data of an event of the stream at `path`, which is the same at every worker. */
export function eventData(path: string, id: number): string {
  return createHash('sha256').update(`${path}/${id}`).digest('hex').slice(0, 16);
}

/** A server with its own address. */
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

  /** Closes all connections abruptly, as a crash does. */
  stop(): void {
    this.#server?.closeAllConnections();
    this.#server?.close();
  }

  protected abstract handle(request: IncomingMessage, response: ServerResponse, body: Buffer): void;
}

/** The origin of weights. */
export class StandInOrigin extends StandIn {
  /** Number of pieces sent, by version. */
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

/** Path of the health answers of plain services. */
export const HEALTH_PATH = '/healthz';

export interface WorkerOptions {
  id: string;
  service: string;
  address: string;
  log: RunLog;
  /** Error of its clock, in milliseconds. */
  clockError?: number;
}

/** A worker of any service. */
export abstract class StandInWorker extends StandIn {
  readonly id: string;
  /** When it started by its own clock, in milliseconds since 1970; part of its record and of its reports. */
  readonly born: number;
  readonly service: string;
  protected readonly log: RunLog;
  leaving = false;
  /** Its record is removed, and not written again. */
  isUnlisted = false;
  readonly stalls = new Stalls();
  /** Whether it states in all its answers that it is leaving; its record may say so or not. */
  statesLeaving = false;
  /** Share of requests that it refuses although it is healthy. */
  shedShare = 0;
  /** `Retry-After` of these refusals; undefined for none. */
  shedRetryAfter: string | undefined;
  /** Until when it is cold, in milliseconds of the monotonic clock; part of its record. */
  coldUntil = 0;
  /** Rate limit announced in its responses, in requests per second; undefined for none. The worker does not enforce it. */
  rateLimit: number | undefined;
  #runs = 0;
  #offered = 0;

  constructor(options: WorkerOptions) {
    super(options.address);
    this.id = options.id;
    this.born = Date.now() + (options.clockError ?? 0);
    this.service = options.service;
    this.log = options.log;
  }

  /** Its record in the store, besides the fields common to all workers. */
  abstract record(): object;

  /** Records the arrival of a request; returns false if the worker sheds it. */
  protected admits(request: IncomingMessage, at = performance.now()): boolean {
    const { id: worker, born, service } = this;
    this.log.arrivals.push({ requestId: requestIdOf(request), service, worker, born, at });
    // Shed requests are evenly spaced, so that they depend only on the share.
    const before = Math.floor(this.#offered * this.shedShare);
    return Math.floor(++this.#offered * this.shedShare) === before;
  }

  /** Refuses a request that is shed, with the back-off for which the worker asks. */
  protected shed(request: IncomingMessage, response: ServerResponse): void {
    const retryAfter = this.shedRetryAfter;
    if (retryAfter === undefined) return this.refuse(request, response, 503);
    const { id: worker, born } = this;
    const [requestId, at] = [requestIdOf(request), performance.now()];
    if (SECONDS.test(retryAfter))
      this.log.backoffRequests.push({
        requestId,
        worker,
        born,
        at,
        backoff: Number(retryAfter) * MILLISECONDS,
      });
    this.refuse(request, response, 503, { 'Retry-After': retryAfter });
  }

  /** Responds that the request was not executed. */
  protected refuse(request: IncomingMessage, response: ServerResponse, status: number, more = {}): void {
    const arrival = this.log.arrivals.findLast(({ requestId }) => requestId === requestIdOf(request));
    if (arrival !== undefined && status === MISDIRECTED) arrival.isMisdirected = true;
    const headers = {
      'Attempt-Id': requestIdOf(request),
      'Not-Executed': '1',
      ...this.noticeHeaders(request),
      ...more,
    };
    response.writeHead(status, headers);
    response.end();
  }

  /** Headers in which the worker states its rate limit, and that it is leaving. */
  protected noticeHeaders(request: IncomingMessage): Record<string, string> {
    const { id: worker, born } = this;
    if (this.statesLeaving) this.log.leavingAnswers.push({ requestId: requestIdOf(request), worker, born });
    return {
      ...(this.rateLimit === undefined ? {} : { 'Server-Limit': String(this.rateLimit) }),
      ...(this.statesLeaving ? { 'Server-Leaving': '1' } : {}),
    };
  }

  /** Records a run; returns it with the signature of its response. */
  protected run(
    request: IncomingMessage,
    body: Buffer,
    version: number,
    layers: readonly LoadedLayer[] = [],
  ): { run: Run; seal: string } {
    const run: Run = {
      requestId: requestIdOf(request),
      worker: this.id,
      service: this.service,
      tenant: String(request.headers.tenant ?? ''),
      method: request.method ?? '',
      path: request.url ?? '',
      body: body.toString('utf8'),
      version,
      layers,
      at: performance.now(),
      endedAt: undefined,
      isAborted: false,
      after: Number(request.headers['last-event-id'] ?? 0),
      isContinuationBroken: false,
    };
    this.log.runs.push(run);
    this.log.onRun(run);
    return { run, seal: `${this.id}.${++this.#runs}` };
  }

  protected isAddressedHere(request: IncomingMessage): boolean {
    return request.headers['expect-instance'] === this.id;
  }

  /** Writes the remaining events of the stream at `run.path`, until the caller leaves. */
  protected async writeEvents(run: Run, response: ServerResponse, isGone: () => boolean): Promise<void> {
    const { events, interval } = streamShape(run.path);
    for (let id = run.after + 1; id <= events && !isGone(); id++) {
      await this.stalls.beforePart(isGone);
      if (isGone()) break;
      response.write(`id: ${id}\ndata: ${eventData(run.path, id)}\n\n`);
      await pause(this.log.timeOf(interval));
    }
  }

  /** Breaks off a continued stream before its first event if `met` says so; returns whether it did. */
  protected breaksContinuation(run: Run, response: ServerResponse, met: Continuation, seal: string): boolean {
    if (met !== 'breaksOff') return false;
    run.isContinuationBroken = true;
    run.endedAt = performance.now();
    // Some fail before the response head, some after it.
    if (run.after % 2 === 0) {
      const headers = { 'Attempt-Id': run.requestId, 'Server-Seal': seal, 'Weight-Versions': run.version };
      response.writeHead(200, { ...headers, 'Content-Type': 'text/event-stream' });
      response.flushHeaders();
    }
    setTimeout(() => response.destroy(), BREAK_DELAY);
    return true;
  }

  /** How to handle a request: one that continues a stream may be refused or broken off. */
  protected continuationFor(request: IncomingMessage): Continuation {
    return request.headers['last-event-id'] === undefined ? 'serves' : this.stalls.drawContinuation();
  }
}

/** A plain service, whose requests on the `once` route must not run twice. The moved route may also lead its streams here. */
export class StandInService extends StandInWorker {
  record(): object {
    return { slots: SLOTS };
  }

  protected handle(request: IncomingMessage, response: ServerResponse, body: Buffer): void {
    if (request.url === HEALTH_PATH) return this.#answerHealth(response);
    if (!this.admits(request)) return this.shed(request, response);
    if (!this.isAddressedHere(request)) return this.refuse(request, response, 421);
    const met = this.continuationFor(request);
    if (met === 'refuses') return this.refuse(request, response, 503);
    const { run, seal } = this.run(request, body, 0);
    if (this.breaksContinuation(run, response, met, seal)) return;
    const headers = {
      'Attempt-Id': requestIdOf(request),
      'Server-Seal': seal,
      ...this.noticeHeaders(request),
    };
    let isGone = false;
    response.on('close', () => {
      isGone = true;
    });
    const answer = request.url?.startsWith('/moved/')
      ? () => this.#answerStream(run, response, headers, () => isGone)
      : () => this.#answerInParts(run, response, headers, () => isGone);
    setTimeout(() => void answer(), this.log.timeOf(SERVICE_TIME));
  }

  #answerHealth(response: ServerResponse): void {
    const coldLeft = Math.max(0, Math.round(this.coldUntil - performance.now()));
    response.writeHead(this.leaving ? 503 : 200, { 'Instance-Id': this.id, 'Cold-Ms': coldLeft });
    response.end();
  }

  async #answerInParts(run: Run, response: ServerResponse, headers: AnswerHeaders, isGone: () => boolean) {
    await this.stalls.beforeStart(isGone);
    response.writeHead(200, headers);
    const answer = JSON.stringify({ id: run.requestId, seal: headers['Server-Seal'] });
    const prefixLength = this.stalls.eventPausePercent > 0 ? 1 : 0;
    if (prefixLength > 0) response.write(answer.slice(0, prefixLength));
    await this.stalls.beforePart(isGone);
    run.endedAt = performance.now();
    response.end(answer.slice(prefixLength));
  }

  async #answerStream(run: Run, response: ServerResponse, headers: AnswerHeaders, isGone: () => boolean) {
    response.writeHead(200, { ...headers, 'Content-Type': 'text/event-stream' });
    await this.stalls.beforeStart(isGone);
    await this.writeEvents(run, response, isGone);
    run.endedAt = performance.now();
    response.end();
  }
}

export function requestIdOf(request: IncomingMessage): string {
  return String(request.headers['attempt-id'] ?? '');
}

export function json(response: ServerResponse, status: number, body: object): void {
  response.writeHead(status, { 'content-type': 'application/json' });
  response.end(JSON.stringify(body));
}

async function readBody(request: IncomingMessage): Promise<Buffer> {
  const parts: Buffer[] = [];
  for await (const part of request) parts.push(part as Buffer);
  return Buffer.concat(parts);
}

export function pause(milliseconds: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, milliseconds));
}
