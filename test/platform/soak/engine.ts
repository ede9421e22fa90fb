/** A stand-in for the users' engines in a soak: a worker with a stage for weights. */
import type { IncomingMessage, ServerResponse } from 'node:http';
import {
  type AnswerHeaders,
  type CrashEnding,
  eventData,
  json,
  LAYERS,
  PIECE_BYTES,
  PIECES,
  pause,
  pieceOf,
  type Run,
  requestIdOf,
  SLOTS,
  StandInWorker,
  type WorkerOptions,
} from './workers.js';

/** Requests that may be queued. */
const QUEUE = 16;
/** Time that an engine takes to load a version once it is idle, in milliseconds. */
const LOAD_TIME = 80;
/** An order to load a version with a corrupted piece is allowed for this long after the corruption, in milliseconds: the users' rule. */
const CORRUPTION_DETECTION_TIME = 3_000;
/** Time from the start of a run to the crash that it causes, in milliseconds. */
const CRASH_DELAY = 20;
/** Length that the answer of a crashing request announces, in bytes. */
const ANNOUNCED_LENGTH = 10_000;

/** An engine with a stage. */
export class StandInEngine extends StandInWorker {
  readonly #stage = new Map<number, Buffer>();
  /** When each staged piece was last corrupted, in milliseconds of the monotonic clock. */
  readonly #corruptedAt = new Map<number, number>();
  #version: number;
  #isBusy = false;
  #orders = 0;
  #active = 0;
  #waiting: Array<() => void> = [];
  /** Callbacks that abort the streams in progress. */
  readonly #running = new Set<() => void>();

  /** @param version - the version that is loaded and staged at its start; 0 for none */
  constructor(options: WorkerOptions & { version: number }) {
    super(options);
    this.#version = options.version;
    if (options.version === 0) return;
    for (let index = 0; index < PIECES; index++) this.#stage.set(index, pieceOf(options.version, index));
  }

  get version(): number {
    return this.#version;
  }

  /** Whether an order is being carried out. */
  get isBusy(): boolean {
    return this.#isBusy;
  }

  /** Whether its stage has pieces of the version after the loaded one. */
  get isStaged(): boolean {
    return this.#isStagedFor(this.#version + 1);
  }

  #isStagedFor(version: number): boolean {
    return [...this.#stage].some(([index, bytes]) => bytes.equals(pieceOf(version, index)));
  }

  /** Whether requests are running. */
  get hasRequests(): boolean {
    return this.#active > 0;
  }

  /** Corrupts a staged piece; does nothing if it is not staged. */
  corruptPiece(index: number): void {
    if (!this.#stage.has(index)) return;
    this.#stage.set(index, Buffer.alloc(PIECE_BYTES, 1));
    this.#corruptedAt.set(index, performance.now());
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
      this.#corruptedAt.delete(index);
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
      born: this.born,
      models: [{ name: 'm', version: this.#version }],
      layers: this.#layers(),
      busy: this.#isBusy,
      seq: this.#orders,
      queued: this.#waiting.length,
      active: this.#active,
    };
  }

  #order(order: { version: number; expected_rev?: number; method?: string }, response: ServerResponse): void {
    if (this.#isBusy || (order.expected_rev !== undefined && order.expected_rev !== this.#orders))
      return json(response, 409, {});
    const now = performance.now();
    for (let index = 0; index < PIECES; index++) {
      const isWhole = this.#stage.get(index)?.equals(pieceOf(order.version, index)) === true;
      const corruptedFor = now - (this.#corruptedAt.get(index) ?? Number.NEGATIVE_INFINITY);
      if (!isWhole && corruptedFor > CORRUPTION_DETECTION_TIME)
        this.log.violations.push(`WHOLE: ${this.id} ordered to take ${order.version}, piece ${index} is not`);
    }
    this.#orders++;
    this.#isBusy = true;
    json(response, 202, {});
    if (order.method === 'preempt') for (const breakOff of [...this.#running]) breakOff();
    void this.#loadVersion(order.version);
  }

  async #loadVersion(version: number): Promise<void> {
    while (this.#active > 0) await pause(5);
    await pause(LOAD_TIME);
    this.#version = version;
    this.#isBusy = false;
    for (const wake of this.#waiting.splice(0)) wake();
  }

  /** Breaks off the answer and asks to be stopped, as a crash does. */
  async #crash(ending: CrashEnding, run: Run, response: ServerResponse, seal: string): Promise<void> {
    await pause(CRASH_DELAY);
    run.isAborted = true;
    run.endedAt = performance.now();
    if (response.destroyed) return;
    const headers = { 'Attempt-Id': run.requestId, 'Server-Seal': seal };
    breakOff(ending, run.path, headers, response);
    this.log.onCrash(this.id);
  }

  async #generate(request: IncomingMessage, response: ServerResponse, body: Buffer): Promise<void> {
    if (!this.admits(request)) return this.shed(request, response);
    const hasOtherVersion = () => {
      const expected = request.headers['expect-version'];
      return expected !== undefined && Number(expected) !== this.#version;
    };
    if (!this.isAddressedHere(request) || this.#version === 0 || hasOtherVersion())
      return this.refuse(request, response, 421);
    if (this.#waiting.length >= QUEUE) return this.refuse(request, response, 503);
    let isGone = false;
    response.on('close', () => {
      isGone = true;
    });
    while (this.#isBusy || this.#active >= SLOTS)
      await new Promise<void>((resolve) => this.#waiting.push(resolve));
    if (isGone) return this.#waiting.shift()?.();
    if (hasOtherVersion()) return this.refuse(request, response, 421);
    const met = this.continuationFor(request);
    if (met === 'refuses') {
      this.#waiting.shift()?.();
      return this.refuse(request, response, 503);
    }
    const { run, seal } = this.run(request, body, this.#version);
    if (this.breaksContinuation(run, response, met, seal)) return this.#waiting.shift()?.();
    const crashEnding = this.log.crashEndingOf(request);
    if (crashEnding !== undefined) return this.#crash(crashEnding, run, response, seal);
    this.#active++;
    response.writeHead(200, {
      'Attempt-Id': requestIdOf(request),
      'Server-Seal': seal,
      'Weight-Versions': String(this.#version),
      'Content-Type': 'text/event-stream',
      ...this.noticeHeaders(request),
    });
    const breakOff = () => {
      run.isAborted = true;
      response.destroy();
    };
    this.#running.add(breakOff);
    await this.stalls.beforeStart(() => isGone);
    await this.writeEvents(run, response, () => isGone);
    this.#running.delete(breakOff);
    run.endedAt = performance.now();
    response.end();
    this.#active--;
    this.#waiting.shift()?.();
  }
}

/** Writes the beginning of an answer and ends its connection before its end. */
function breakOff(ending: CrashEnding, path: string, headers: AnswerHeaders, response: ServerResponse): void {
  const { socket } = response;
  if (ending === 'noHead') return void socket?.end();
  if (ending === 'length') response.setHeader('Content-Length', ANNOUNCED_LENGTH);
  else if (ending !== 'chunked') response.useChunkedEncodingByDefault = false;
  response.writeHead(200, { ...headers, 'Content-Type': 'text/event-stream' });
  response.flushHeaders();
  const event = `id: 1\ndata: ${eventData(path, 1)}\n\n`;
  if (ending === 'insideEvent' || ending === 'reset') response.write(event.slice(0, -3));
  else if (ending !== 'headOnly') response.write(event);
  if (ending === 'reset') setImmediate(() => socket?.resetAndDestroy());
  else socket?.end();
}
