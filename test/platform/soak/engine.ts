/**
 * A stand-in for the users' engines in a soak: a worker with a stage for weights. It can be as slow and as late as the users'
 * protocol allows.
 */
import type { IncomingMessage, ServerResponse } from 'node:http';
import { hash32, type Random, seededRandom } from '../../../src/model/random.js';
import { type EngineLoad, type LoadedLayer, StandInStage } from './engine-stage.js';
import {
  type AnswerHeaders,
  type CrashEnding,
  eventData,
  json,
  LAYERS,
  pause,
  type Run,
  requestIdOf,
  SLOTS,
  StandInWorker,
  type WorkerOptions,
} from './workers.js';

/** Requests that may be queued. */
const QUEUE = 16;
/** Time that an engine takes to load all layers of a version, in milliseconds. */
const LOAD_TIME = 80;
/** Time from the start of a run to the crash that it causes, in milliseconds. */
const CRASH_DELAY = 20;
/** Length that the answer of a crashing request announces, in bytes. */
const ANNOUNCED_LENGTH = 10_000;
/** Interval at which an engine checks whether it still stands still or has requests, in milliseconds. */
const POLL_INTERVAL = 5;

/** Ways in which engines may differ. */
export interface EngineTraits {
  /** When the pieces are read: as the order is accepted, or only once the running requests have ended. */
  readsStage: 'accepted' | 'idle';
  /** Whether it refuses orders with a lower fencing token than one it has seen. */
  requiresFencing: boolean;
  /** Whether an order for what it holds is answered as such even if the expected count of orders differs. */
  checksHeldFirst: boolean;
}

export interface EngineOptions extends WorkerOptions {
  /** The version that it holds at its start; 0 for none. */
  version: number;
  /** The stage of its machine; if undefined, a new one with `version`. */
  stage?: StandInStage;
  /** Source of its times and traits; if undefined, one seeded with its id. */
  random?: Random;
  traits?: EngineTraits;
}

/** A call at which a fault may begin. */
export type EngineCall = 'read' | 'write' | 'order';

/** A range of times in milliseconds. */
export interface TimeRange {
  least: number;
  most: number;
}

export const NO_TIME: TimeRange = { least: 0, most: 0 };

interface Order {
  version: number;
  /** First layer, and the layer after the last one. */
  from: number;
  end: number;
  expectedOrders: number | undefined;
  fence: number;
  drops: boolean;
}

function parseOrder(body: Buffer): Order {
  const order = JSON.parse(body.toString('utf8')) as Record<string, unknown>;
  return {
    version: Number(order.version),
    from: Number(order.from ?? 0),
    end: Number(order.target_version ?? LAYERS),
    expectedOrders: order.expected_rev === undefined ? undefined : Number(order.expected_rev),
    fence: Number(order.fence ?? 0),
    drops: order.method === 'preempt',
  };
}

/** Draws the traits of an engine. */
export function drawTraits(random: Random): EngineTraits {
  return {
    // As the users' interface says.
    readsStage: 'accepted',
    requiresFencing: random.below(2) === 0,
    checksHeldFirst: random.below(2) === 0,
  };
}

/** An engine with a stage. */
export class StandInEngine extends StandInWorker {
  readonly stage: StandInStage;
  /** Time that each read and write of the stage takes. */
  stageTime = NO_TIME;
  /** Called when a call arrives, before it is carried out. */
  readonly callListeners = new Set<(call: EngineCall) => void>();
  readonly #random: Random;
  readonly #traits: EngineTraits;
  /** The layers that it holds, in order and without gaps. */
  #layers: readonly LoadedLayer[] = [];
  #version: number;
  #isBusy = false;
  #orders = 0;
  #highestFence = 0;
  #active = 0;
  #waiting: Array<() => void> = [];
  /** Callbacks that abort the streams in progress. */
  readonly #running = new Set<() => void>();
  #isStopped = false;
  /** Until when it stands still, in milliseconds of the monotonic clock. */
  #standsStillUntil = 0;
  /** What it does when it no longer stands still, in the order of arrival; undefined while it does not. */
  #held: Array<() => void> | undefined;
  /** Delays of the next orders and writes, in milliseconds. */
  readonly #orderDelays: number[] = [];
  readonly #writeDelays: number[] = [];

  constructor(options: EngineOptions) {
    super(options);
    const { version, stage, random = seededRandom(hash32(options.id)), traits } = options;
    this.#random = random;
    this.#traits = traits ?? drawTraits(random);
    this.stage = stage ?? new StandInStage(version);
    this.#version = version;
    if (version > 0) this.#layers = this.#read({ version, from: 0, end: LAYERS }, 0);
  }

  get version(): number {
    return this.#version;
  }

  /** Whether an order is being carried out. */
  get isBusy(): boolean {
    return this.#isBusy;
  }

  /** Whether its stage has pieces of another version than the loaded one. */
  get isStaged(): boolean {
    return this.stage.hasOther(this.#version);
  }

  /** Number of requests that it runs. */
  get active(): number {
    return this.#active;
  }

  /** Whether it would run another request if a slot is free. */
  get takesRequests(): boolean {
    const isStandingStill = performance.now() < this.#standsStillUntil;
    return !this.#isStopped && !this.#isBusy && !isStandingStill && this.#servedVersion > 0;
  }

  /** Whether requests are running. */
  get hasRequests(): boolean {
    return this.#active > 0;
  }

  /** Corrupts a staged piece; does nothing if it is not staged, or corrupt already. */
  corruptPiece(index: number): void {
    this.stage.corrupt(index, performance.now());
  }

  /** Answers nothing for this long; then handles what has arrived, also for senders that have given up. */
  standStill(milliseconds: number): void {
    this.#standsStillUntil = Math.max(this.#standsStillUntil, performance.now() + milliseconds);
    this.stalls.suspend(milliseconds);
    if (this.#held !== undefined) return;
    this.#held = [];
    void this.#awaken();
  }

  async #awaken(): Promise<void> {
    while (performance.now() < this.#standsStillUntil) await pause(POLL_INTERVAL);
    const held = this.#held ?? [];
    this.#held = undefined;
    if (!this.#isStopped) for (const act of held) act();
  }

  /** Holds the next order back for this long, while everything else is answered. */
  delayNextOrder(milliseconds: number): void {
    this.#orderDelays.push(milliseconds);
  }

  /** Carries the next write out this much later. */
  delayNextWrite(milliseconds: number): void {
    this.#writeDelays.push(milliseconds);
  }

  /** Ends its faults; calls that are held back already stay late. */
  endFaults(): void {
    this.#standsStillUntil = 0;
    this.stageTime = NO_TIME;
    this.callListeners.clear();
    this.#orderDelays.length = 0;
    this.#writeDelays.length = 0;
  }

  override stop(): void {
    this.#isStopped = true;
    super.stop();
  }

  record(): object {
    return { slots: SLOTS, layers: this.#heldLayers(), models: [{ name: 'm', version: this.#version }] };
  }

  protected handle(request: IncomingMessage, response: ServerResponse, body: Buffer): void {
    const url = new URL(request.url ?? '/', 'http://engine');
    const call = callOf(url);
    if (call !== undefined) for (const listener of [...this.callListeners]) listener(call);
    const arrival = { at: performance.now(), isHeldBack: this.#held !== undefined };
    this.#whenAwake(() => this.#carryOut(url, request, response, body, arrival));
  }

  #whenAwake(act: () => void): void {
    if (this.#held === undefined) act();
    else this.#held.push(act);
  }

  /** Lets time pass; longer if the engine stands still at the end of it. */
  async #pause(milliseconds: number): Promise<void> {
    if (milliseconds > 0) await pause(milliseconds);
    if (this.#held !== undefined) await new Promise<void>((resolve) => this.#whenAwake(resolve));
  }

  #carryOut(
    url: URL,
    request: IncomingMessage,
    response: ServerResponse,
    body: Buffer,
    arrival: { at: number; isHeldBack: boolean },
  ): void {
    const index = Number(url.searchParams.get('length'));
    if (url.pathname === '/v1/report') return json(response, 200, this.#report());
    if (url.pathname.startsWith('/v1/stage-put/')) return void this.#writePiece(index, body, response);
    if (url.pathname.startsWith('/v1/stage-get/')) return void this.#readPiece(index, response);
    if (url.pathname === '/v1/order') return void this.#receiveOrder(parseOrder(body), response, arrival);
    void this.#generate(request, response, body, arrival.at);
  }

  /** Time of one call to the stage, before and after the moment at which it is carried out. */
  #drawStageTime(): { before: number; after: number } {
    const { least, most } = this.stageTime;
    if (most === 0) return { before: 0, after: 0 };
    const whole = least + this.#random.fraction() * (most - least);
    const before = whole * this.#random.fraction();
    return { before, after: whole - before };
  }

  async #writePiece(index: number, body: Buffer, response: ServerResponse): Promise<void> {
    const { before, after } = this.#drawStageTime();
    const lateness = this.#writeDelays.shift();
    const delay = lateness ?? before;
    if (delay > 0) await this.#pause(delay);
    if (this.#isStopped) return;
    this.stage.write(index, body, lateness === undefined ? undefined : performance.now());
    await this.#pause(after);
    json(response, 200, {});
  }

  async #readPiece(index: number, response: ServerResponse): Promise<void> {
    const { before, after } = this.#drawStageTime();
    if (before > 0) await this.#pause(before);
    const piece = this.stage.read(index);
    await this.#pause(after);
    if (piece === undefined) json(response, 404, {});
    else response.end(piece);
  }

  #heldLayers(): object | undefined {
    if (this.#layers.length === 0) return undefined;
    const [first] = this.#layers;
    const from = first.layer;
    return { from, target_version: from + this.#layers.length, version: this.#version };
  }

  /** The version of which it holds all layers; 0 if none. */
  get #servedVersion(): number {
    return this.#layers.length === LAYERS ? this.#version : 0;
  }

  #report(): object {
    return {
      born: this.born,
      models: [{ name: 'm', version: this.#version }],
      layers: this.#heldLayers(),
      busy: this.#isBusy,
      seq: this.#orders,
      queued: this.#waiting.length,
      active: this.#active,
    };
  }

  async #receiveOrder(
    order: Order,
    response: ServerResponse,
    { at, isHeldBack }: { at: number; isHeldBack: boolean },
  ): Promise<void> {
    const delay = this.#orderDelays.shift();
    if (delay !== undefined) await this.#pause(delay);
    if (this.#isStopped) return;
    const status = this.#statusFor(order);
    if (status === 202) this.#accept(order, at, isHeldBack || delay !== undefined);
    json(response, status, {});
  }

  #statusFor({ version, from, end, expectedOrders, fence }: Order): number {
    if (!(from >= 0 && from < end && end <= LAYERS)) return 400;
    if (this.#traits.requiresFencing && fence < this.#highestFence) return 412;
    this.#highestFence = Math.max(this.#highestFence, fence);
    const fits = !this.#isBusy && (expectedOrders === undefined || expectedOrders === this.#orders);
    const [first] = this.#layers;
    const isHeld =
      !this.#isBusy &&
      version === this.#version &&
      first?.layer === from &&
      this.#layers.length === end - from;
    if (isHeld && (fits || this.#traits.checksHeldFirst)) return 200;
    return fits ? 202 : 409;
  }

  #accept(order: Order, arrivedAt: number, isHeldBack: boolean): void {
    const { version, from, end } = order;
    const at = performance.now();
    const orderDelay = at - arrivedAt;
    const last = this.#layers.length - 1;
    const addsLayers =
      last >= 0 &&
      version === this.#version &&
      from <= this.#layers[0].layer &&
      end > this.#layers[last].layer;
    const loaded = this.#read(order, orderDelay);
    const missing = loaded.filter(({ layer }) => !this.#holds(version, layer));
    const faults = missing.flatMap(({ layer, load }) => load.faults.get(layer) ?? []);
    this.log.orders.push({ worker: this.id, version, at, isHeldBack, faults });
    this.#orders++;
    this.#isBusy = true;
    if (order.drops) for (const breakOff of [...this.#running]) breakOff();
    void this.#load(
      order,
      addsLayers,
      this.#traits.readsStage === 'accepted' ? loaded : undefined,
      orderDelay,
    );
  }

  #holds(version: number, layer: number): boolean {
    return version === this.#version && this.#layers.some((held) => held.layer === layer);
  }

  /** The layers of an order as the stage has them now; those that the engine holds already stay as they are. */
  #read({ version, from, end }: Pick<Order, 'version' | 'from' | 'end'>, orderDelay: number): LoadedLayer[] {
    const at = performance.now();
    const layers = Array.from({ length: end - from }, (_, place) => from + place);
    const faults = new Map(layers.map((layer) => [layer, this.stage.faultsOf(version, layer, at)]));
    const load: EngineLoad = { worker: this.id, version, at, orderDelay, faults };
    return layers.map((layer) => {
      const held = version === this.#version && this.#layers.find((one) => one.layer === layer);
      return held || { layer, load };
    });
  }

  /** @param atAcceptance - the layers as they were when the order was accepted, if the engine read them then */
  async #load(
    order: Order,
    addsLayers: boolean,
    atAcceptance: LoadedLayer[] | undefined,
    orderDelay: number,
  ): Promise<void> {
    while (!addsLayers && this.#active > 0) await pause(POLL_INTERVAL);
    await this.#pause(0);
    const layers = atAcceptance ?? this.#read(order, orderDelay);
    await this.#pause((LOAD_TIME * layers.length) / LAYERS);
    this.#layers = layers;
    this.#version = order.version;
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

  async #generate(
    request: IncomingMessage,
    response: ServerResponse,
    body: Buffer,
    arrivedAt: number,
  ): Promise<void> {
    if (!this.admits(request, arrivedAt)) return this.shed(request, response);
    const isRefused = () => {
      const expected = request.headers['expect-version'];
      const served = this.#servedVersion;
      return served === 0 || (expected !== undefined && Number(expected) !== served);
    };
    if (!this.isAddressedHere(request) || isRefused()) return this.refuse(request, response, 421);
    if (this.#waiting.length >= QUEUE) return this.refuse(request, response, 503);
    let isGone = response.destroyed;
    response.on('close', () => {
      isGone = true;
    });
    while (!isGone && (this.#isBusy || this.#active >= SLOTS))
      await new Promise<void>((resolve) => this.#waiting.push(resolve));
    if (isGone) return this.#waiting.shift()?.();
    if (isRefused()) return this.refuse(request, response, 421);
    const met = this.continuationFor(request);
    if (met === 'refuses') {
      this.#waiting.shift()?.();
      return this.refuse(request, response, 503);
    }
    const { run, seal } = this.run(request, body, this.#version, this.#layers);
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

function callOf({ pathname }: URL): EngineCall | undefined {
  if (pathname.startsWith('/v1/stage-put/')) return 'write';
  if (pathname.startsWith('/v1/stage-get/')) return 'read';
  return pathname === '/v1/order' ? 'order' : undefined;
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
