/**
 * An engine whose stage is slow and whose staged pieces become corrupt at any time. It may stand still, and then carries out
 * what has arrived meanwhile, in order, also calls whose sender has given them up. Works in virtual time.
 */
import { digestOf } from '../../src/model/manifest.js';
import { failure, type Result, success } from '../../src/model/result.js';
import type { HeldLayers } from '../../src/protocol/back-end-list-state.js';
import type { PieceManifest } from '../../src/weights/held-weights.js';
import type {
  EngineError,
  EngineState,
  OrderOutcome,
  StagedEngine,
  StartOrder,
} from '../../src/weights/staged-engine.js';

export const PIECES = 48;
export const LAYERS = 16;
const PIECES_PER_LAYER = PIECES / LAYERS;
/** Time for which a piece may have been corrupt when an engine loads it, in milliseconds: the users' rule. */
export const ALLOWED_CORRUPTION = 3_000;
/** Time in which the engine loads all layers once it is idle, in milliseconds. */
const LOAD_TIME = 300;
const UNREACHABLE: Result<never, EngineError> = failure({ type: 'engineUnreachable', reason: 'timed out' });
const CORRUPT = Buffer.from('corrupt');
/** Time that a call without work takes, in milliseconds. */
const CALL_TIME = 1;

export const pieceOf = (version: number, index: number) =>
  Buffer.from(`piece ${index} of version ${version}`.padEnd(32));

export function manifestOf(version: number): PieceManifest {
  const digests = Array.from({ length: PIECES }, (_, index) => digestOf(pieceOf(version, index)));
  return { model: 'm', version, pieceBytes: 32, digests };
}

/** One order that the engine accepted. */
export interface AcceptedOrder {
  at: number;
  version: number;
  layers: { from: number; end: number };
  /** For how long the piece that had been corrupt longest was so, of the layers that this order loaded, in milliseconds. */
  corruptFor: number;
}

export class DecayingEngine implements StagedEngine {
  /** Names its current start. */
  current = 1;
  /** Time that a read and a write of the stage take, in milliseconds. */
  readTime = 1;
  writeTime = 1;
  /** Time that the answer to the next state request takes, in milliseconds. */
  nextStateTime = 0;
  /** Requests that run; an engine that switches waits until they have ended. */
  load = 0;
  readonly accepted: AcceptedOrder[] = [];
  /** Called when a piece has been read from the stage. */
  onRead: (index: number) => void = () => {};
  /** Called when an order arrives, before it is handled. */
  onOrder: () => void = () => {};
  /** Called when an order has been accepted. */
  onAccepted: () => void = () => {};
  /** Time after which an order alone is handled, in milliseconds. */
  orderDelay = 0;
  /** Pieces of which the next write is held back until {@link releaseWrites}. */
  readonly heldWrites = new Set<number>();
  /** Answers to orders are lost. */
  losesAnswers = false;
  /** Orders are lost on their way. */
  losesOrders = false;
  /** Status with which it refuses every order, whatever its state. */
  refusesAllWith: number | undefined;
  reads = 0;
  writes = 0;
  readonly #stage = new Map<number, Buffer>();
  #releases: Array<() => void> = [];
  readonly #corruptSince = new Map<number, number>();
  /** For each loaded layer, whether it was sound when it was loaded. */
  readonly #isSound = new Map<number, boolean>();
  #layers: HeldLayers | undefined;
  #sequence = 0;
  #busyUntil = 0;
  #loading: HeldLayers | undefined;
  #standsStillUntil = 0;

  /** Whether all layers are loaded and one of them was loaded with a piece that was not sound. */
  get servesCorruptLayer(): boolean {
    this.#finishLoad();
    if (this.#layers === undefined || this.#loading !== undefined) return false;
    if (this.#layers.end - this.#layers.from < LAYERS) return false;
    return [...this.#isSound.values()].includes(false);
  }

  get version(): number {
    this.#finishLoad();
    return this.#layers?.end === LAYERS && this.#layers.from === 0 ? this.#layers.version : 0;
  }

  /** The engine holds a version from its start, which is in the stage as well. */
  holdFromStart(version: number): void {
    for (let index = 0; index < PIECES; index++) this.#stage.set(index, pieceOf(version, index));
    this.#layers = { from: 0, end: LAYERS, version };
    for (let layer = 0; layer < LAYERS; layer++) this.#isSound.set(layer, true);
  }

  corrupt(index: number): void {
    this.#stage.set(index, CORRUPT);
    if (!this.#corruptSince.has(index)) this.#corruptSince.set(index, performance.now());
  }

  standStill(milliseconds: number): void {
    this.#standsStillUntil = performance.now() + milliseconds;
  }

  /** The process ends and starts anew; its stage remains. */
  restart(): void {
    this.current++;
    this.#sequence = 0;
    this.#layers = undefined;
    this.#loading = undefined;
    this.#isSound.clear();
  }

  async state(signal: AbortSignal): Promise<Result<EngineState, EngineError>> {
    const answerTime = this.nextStateTime;
    this.nextStateTime = 0;
    const state = await this.#handle(signal, CALL_TIME, () => {
      this.#finishLoad();
      const isBusy = this.#loading !== undefined;
      const { load } = this;
      return {
        start: this.current,
        model: 'm',
        layers: this.#layers,
        isBusy,
        load,
        sequence: this.#sequence,
      };
    });
    return state.ok && answerTime > 0 ? this.#handle(signal, answerTime, () => state.value) : state;
  }

  async stage(_model: string, index: number, bytes: Buffer, signal: AbortSignal) {
    const write = () => {
      this.writes++;
      this.#stage.set(index, bytes);
      this.#corruptSince.delete(index);
    };
    if (!this.heldWrites.delete(index)) return this.#handle(signal, this.writeTime, write);
    this.#releases.push(write);
    return this.#handle(signal, Number.MAX_SAFE_INTEGER, () => {});
  }

  /** Carries out the first of the writes that were held back. */
  releaseWrite(): void {
    this.#releases.shift()?.();
  }

  /** Carries out the writes that were held back. */
  releaseWrites(): void {
    for (const write of this.#releases.splice(0)) write();
  }

  async staged(_model: string, index: number, signal: AbortSignal) {
    let bytes: Buffer | undefined;
    // What is read is what was there at the beginning.
    const arrival = this.#handle(signal, 0, () => {
      bytes = this.#stage.get(index);
      this.reads++;
      this.onRead(index);
    });
    const { readTime } = this;
    const answer = await arrival;
    if (!answer.ok) return answer;
    const sent = await this.#handle(signal, readTime, () => {});
    return sent.ok ? success(bytes) : sent;
  }

  async start(order: StartOrder, signal: AbortSignal): Promise<Result<OrderOutcome, EngineError>> {
    this.onOrder();
    if (this.losesOrders)
      return this.#handle(signal, Number.MAX_SAFE_INTEGER, () => ({ type: 'held' }) as const);
    const outcome = await this.#handle(signal, CALL_TIME + this.orderDelay, () => this.#accept(order));
    return this.losesAnswers ? UNREACHABLE : outcome;
  }

  /** Carries `work` out after `delay`, and no sooner than the engine stands still no more, whether or not its sender waits. */
  #handle<T>(signal: AbortSignal, delay: number, work: () => T): Promise<Result<T, EngineError>> {
    return new Promise((resolve) => {
      signal.addEventListener('abort', () => resolve(UNREACHABLE), { once: true });
      const attempt = () => {
        const rest = this.#standsStillUntil - performance.now();
        if (rest > 0) return void setTimeout(attempt, rest);
        resolve(success(work()));
      };
      if (delay > 0) setTimeout(attempt, delay);
      else attempt();
    });
  }

  #accept({ version, expectedSequence, layers = { from: 0, end: LAYERS } }: StartOrder): OrderOutcome {
    this.#finishLoad();
    const status = this.refusesAllWith;
    if (status !== undefined) return { type: 'refused', status, isFinal: true };
    if (this.#loading !== undefined || expectedSequence !== this.#sequence)
      return { type: 'refused', status: 409, isFinal: false };
    const held = this.#layers?.version === version ? this.#layers : undefined;
    if (held?.from === layers.from && held.end === layers.end) return { type: 'held' };
    this.#sequence++;
    const now = performance.now();
    const [keptFrom, keptEnd] = [
      Math.max(layers.from, held?.from ?? LAYERS),
      Math.min(layers.end, held?.end ?? 0),
    ];
    const kept = held !== undefined && keptFrom < keptEnd;
    const isKept = (layer: number) => kept && layer >= keptFrom && layer < keptEnd;
    let corruptFor = 0;
    for (const layer of [...this.#isSound.keys()]) if (!isKept(layer)) this.#isSound.delete(layer);
    for (let layer = layers.from; layer < layers.end; layer++) {
      if (isKept(layer)) continue;
      const ages = Array.from({ length: PIECES_PER_LAYER }, (_, place) =>
        this.#corruptAge(version, layer * PIECES_PER_LAYER + place, now),
      );
      const oldest = Math.max(...ages);
      corruptFor = Math.max(corruptFor, oldest);
      this.#isSound.set(layer, oldest <= ALLOWED_CORRUPTION);
    }
    this.accepted.push({ at: now, version, layers, corruptFor });
    this.onAccepted();
    const wanted = { ...layers, version };
    const isOnlyShrunk = kept && keptFrom === layers.from && keptEnd === layers.end;
    if (isOnlyShrunk) this.#layers = wanted;
    else {
      if (!kept && held !== undefined) this.#layers = undefined;
      this.#loading = wanted;
      this.#busyUntil = now + LOAD_TIME;
    }
    return { type: 'taken' };
  }

  /** For how long a piece has been corrupt; infinite if it is of another version or missing. */
  #corruptAge(version: number, index: number, now: number): number {
    const bytes = this.#stage.get(index);
    if (bytes?.equals(pieceOf(version, index))) return 0;
    return bytes === CORRUPT ? now - this.#corruptSince.get(index)! : Number.POSITIVE_INFINITY;
  }

  #finishLoad(): void {
    if (this.#loading === undefined || this.load > 0 || performance.now() < this.#busyUntil) return;
    this.#layers = this.#loading;
    this.#loading = undefined;
  }
}
