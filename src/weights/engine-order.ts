/**
 * One order to an engine, from the first attempt until it is known what became of it and until the engine has carried it out. An
 * order without an answer cannot be withdrawn and may be accepted at any later time. It is repeated with the same expected number
 * of orders, so that the engine accepts at most one of the attempts, until an answer or that number tells.
 */
import { sleep } from '../fleet/table-follower.js';
import { isSameStart } from '../model/back-end-identity.js';
import { withLimit } from '../model/time-limit.js';
import type { Log } from '../observability/log.js';
import type { LayerRange } from '../systems/layer-proofs.js';
import { type AcceptanceTime, MAX_CHECK_AGE } from '../systems/stage-checks.js';
import type { EngineStage } from './engine-stage.js';
import type { HeldWeights } from './held-weights.js';
import type { EngineState, StagedEngine } from './staged-engine.js';

/** Interval at which an engine that carries out an order, or has not answered one, is polled, in milliseconds. */
const POLL_INTERVAL = 60;
const CALL_TIMEOUT = 1_000;
/** Time in which checks that have become too old since the order was decided are renewed, in milliseconds. */
const REFRESH_TIME = 1_000;
/** Attempts to send an order on young checks before it is given up, unless an earlier attempt may still be accepted. */
const MAX_STALE_ATTEMPTS = 2;

/** What became of an order. */
export type OrderEnding =
  | { type: 'accepted'; time: AcceptanceTime }
  /** The engine holds what was ordered, and has loaded nothing. */
  | { type: 'alreadyHeld' }
  /** The engine did not accept it and never will; if `isFinal`, nor will it accept the same order sent again. */
  | { type: 'refused'; isFinal: boolean }
  /** The same, as it has accepted an order of another process. */
  | { type: 'otherOrder' }
  /** It was not sent: the engine is unreachable or occupied. */
  | { type: 'notSent' }
  /** It was not sent: the pieces cannot be read back fast enough. */
  | { type: 'stale' }
  /** The engine has restarted; whatever it accepted before is lost. */
  | { type: 'restarted' }
  /** This process stops; an attempt without an answer may still be accepted. */
  | { type: 'aborted' };

export interface EngineOrderOptions {
  engine: StagedEngine;
  stage: EngineStage;
  /** Reads the engine's state and passes it on; undefined if the engine did not answer. */
  readState: (signal: AbortSignal) => Promise<EngineState | undefined>;
  held: HeldWeights;
  /** The engine's state before the order. */
  before: EngineState;
  /** The layers to hold; undefined for all. */
  layers: LayerRange | undefined;
  /** Number of layers of the model. */
  layerCount: number;
  /** The pieces of the layers that the engine has to load. */
  pieces: readonly number[];
  log: Log;
}

export class EngineOrder {
  readonly #options: EngineOrderOptions;
  /** When the first attempt without an answer was sent; undefined if there is none. */
  #unansweredSince: number | undefined;
  #staleAttempts = 0;

  constructor(options: EngineOrderOptions) {
    this.#options = options;
  }

  /** Sends the order; returns once it is known what became of it. */
  async send(signal: AbortSignal): Promise<OrderEnding> {
    while (!signal.aborted) {
      const ending = await this.#attempt(signal);
      if (ending !== undefined) return ending;
      await sleep(POLL_INTERVAL, signal);
    }
    return this.#endUnless('notSent') ?? { type: 'aborted' };
  }

  /** Waits until the engine has carried out the order; returns its state then, or undefined if it has restarted. */
  async awaitCompletion(signal: AbortSignal): Promise<EngineState | undefined> {
    while (!signal.aborted) {
      await sleep(POLL_INTERVAL, signal);
      const state = await this.#options.readState(signal);
      if (state === undefined) continue;
      if (this.#hasRestarted(state)) return undefined;
      if (!state.isBusy && (state.sequence > this.#options.before.sequence || this.isCarriedOut(state)))
        return state;
    }
    return undefined;
  }

  /** Makes one attempt; undefined if it is not known yet what becomes of the order. */
  async #attempt(signal: AbortSignal): Promise<OrderEnding | undefined> {
    const { stage, held, pieces, before } = this.#options;
    const isFresh = await stage.refresh(held, pieces, () => stage.isFresh(pieces), REFRESH_TIME, signal);
    // After a restart the stage may be empty and the number of orders begins anew, so that an order meant for the previous start
    // could be accepted by the next.
    const state = await this.#options.readState(signal);
    if (state === undefined) return this.#endUnless('notSent');
    if (this.#hasRestarted(state)) return { type: 'restarted' };
    if (state.sequence > before.sequence) return this.#acceptedEarlier();
    if (state.isBusy) return this.#endUnless('notSent');
    const isYoung = performance.now() - stage.checks.oldestOf(pieces) <= MAX_CHECK_AGE;
    if (isFresh && isYoung) return this.#sendOnce(state, signal);
    return ++this.#staleAttempts < MAX_STALE_ATTEMPTS ? undefined : this.#endUnless('stale');
  }

  /** Ends with `type`, unless an earlier attempt may still be accepted. */
  #endUnless(type: 'notSent' | 'stale'): OrderEnding | undefined {
    return this.#unansweredSince === undefined ? { type } : undefined;
  }

  /** The number of orders has risen: by an attempt without an answer, or by an order of another process. */
  #acceptedEarlier(): OrderEnding {
    if (this.#unansweredSince === undefined) return { type: 'otherOrder' };
    return { type: 'accepted', time: { from: this.#unansweredSince, by: performance.now() } };
  }

  async #sendOnce(state: EngineState, signal: AbortSignal): Promise<OrderEnding | undefined> {
    const { engine, stage, held, pieces, layers, before, log } = this.#options;
    const { model, version } = held.manifest;
    // Running requests are never dropped: the agent does not know which of them could continue elsewhere. Entries move streams
    // to other engines.
    const order = { model, version, layers, running: 'finish', expectedSequence: before.sequence } as const;
    const sentAt = performance.now();
    const oldestAt = stage.checks.oldestOf(pieces);
    const outcome = await engine.start(order, withLimit(signal, CALL_TIMEOUT));
    const answeredAt = performance.now();
    log.info('engine ordered', {
      ...order,
      from: state.layers?.version ?? 0,
      load: state.load,
      answer: outcome.ok ? outcome.value : outcome.error,
      answerMs: Math.round(answeredAt - sentAt),
      oldestCheckMs: Math.round(sentAt - oldestAt),
      pieces: pieces.length,
    });
    if (!outcome.ok) {
      this.#unansweredSince ??= sentAt;
      return undefined;
    }
    if (outcome.value.type === 'taken') return { type: 'accepted', time: { from: sentAt, by: answeredAt } };
    const from = this.#unansweredSince;
    if (outcome.value.type === 'refused') {
      const { isFinal } = outcome.value;
      return from === undefined || isFinal ? this.#refusal(isFinal, signal) : undefined;
    }
    return from === undefined
      ? { type: 'alreadyHeld' }
      : { type: 'accepted', time: { from, by: answeredAt } };
  }

  /** What a refusal says of all attempts: the only one was refused, or none will be accepted from now on. */
  async #refusal(isFinal: boolean, signal: AbortSignal): Promise<OrderEnding | undefined> {
    const state = await this.#options.readState(signal);
    if (state === undefined) return this.#unansweredSince === undefined ? { type: 'otherOrder' } : undefined;
    if (this.#hasRestarted(state)) return { type: 'restarted' };
    if (state.sequence === this.#options.before.sequence) return { type: 'refused', isFinal };
    return this.#acceptedEarlier();
  }

  /** Whether the engine has accepted another order after this one. */
  isFollowed({ sequence }: EngineState): boolean {
    return sequence > this.#options.before.sequence + 1;
  }

  /** Whether the engine holds just what was ordered. */
  isCarriedOut({ layers }: EngineState): boolean {
    const { held, layers: ordered, layerCount } = this.#options;
    if (layerCount === 1) return layers?.version === held.manifest.version;
    const { from, end } = ordered ?? { from: 0, end: layerCount };
    return layers?.version === held.manifest.version && layers.from === from && layers.end === end;
  }

  #hasRestarted({ start, sequence }: EngineState): boolean {
    const { before } = this.#options;
    return (before.start !== undefined && !isSameStart(start, before.start)) || sequence < before.sequence;
  }
}
