/**
 * Switches an engine to another version: gives notice, orders the engine to load it, and proves that what it loaded was sound;
 * layers of which that cannot be proven are loaded anew. An order depends on nothing but the engine: it is followed up if the
 * version is no longer wanted or its fetch has ended, since an order that was accepted cannot be withdrawn.
 */
import { sleep } from '../fleet/table-follower.js';
import { withLimit } from '../model/time-limit.js';
import type { Log } from '../observability/log.js';
import { type LayerProofs, type LayerRange, layersOfPiece } from '../systems/layer-proofs.js';
import type { AcceptanceTime } from '../systems/stage-checks.js';
import { EngineOrder, type OrderEnding } from './engine-order.js';
import type { EngineStage } from './engine-stage.js';
import type { HeldWeights } from './held-weights.js';
import type { EngineState, StagedEngine } from './staged-engine.js';

/**
 * Time between the notice of a switch and the order, in milliseconds: entries learn of it and send no new
 * requests.
 */
const NOTICE_PERIOD = 60;
const CALL_TIMEOUT = 1_000;
/** Time in which all pieces are to be read back before an order, and any of them if that fails, in milliseconds. */
const WHOLE_REFRESH_TIME = 1_500;
const PART_REFRESH_TIME = 3_000;
/** Orders of one switch that were not sent as checks became too old at the last moment. */
const MAX_STALE_ORDERS = 20;
/** Times that pieces are read back after an order that was accepted late, until the engine has answered for each. */
const MAX_PROOF_ROUNDS = 5;

export interface EngineSwitchOptions {
  engine: StagedEngine;
  stage: EngineStage;
  /**
   * Called with each state that was read and the time of the request; undefined if the engine did not answer.
   */
  onState: (state: EngineState | undefined, askedAt: number) => void;
  /** Called with how a switch ended, before it counts as ended. */
  onEnding: (ending: SwitchEnding) => void;
  /** Called when a switch has begun and when it has ended. */
  onChange: () => void;
  log: Log;
}

/** The version to load, and the state of the engine on which the decision was based. */
export interface SwitchOrder {
  /** The complete version, which is in the stage. */
  held: HeldWeights;
  /** The engine's state before the order. */
  state: EngineState;
  /** Version that the engine serves; 0 if none. */
  served: number;
  /** Which layers of the version the engine holds proven; updated as orders are carried out. */
  proofs: LayerProofs;
  /** Whether the version is still to be loaded; asked before each order. */
  isWanted: () => boolean;
}

/** How a switch ended. */
export type SwitchEnding =
  /** The engine holds all layers of the version, each of them proven. */
  | 'proven'
  /** The engine has accepted no order. */
  | 'unchanged'
  /** The same, and it refuses the order for good. */
  | 'refused'
  /** The engine has accepted an order, or still may, and may hold a layer that is not proven. */
  | 'unproven'
  /** The engine has accepted an order of another process, so that it is not known what it holds. */
  | 'otherOrder'
  | 'restarted';

/** Figures of all switches since the start of this process. */
export interface SwitchFigures {
  /** Orders by how they ended. */
  orders: Record<OrderEnding['type'], number>;
  /** Layers that were loaded anew, as they could not be proven. */
  layersInDoubt: number;
}

/** The switches of one engine, one at a time. */
export class EngineSwitch {
  readonly #options: EngineSwitchOptions;
  readonly figures: SwitchFigures = {
    orders: {
      accepted: 0,
      alreadyHeld: 0,
      refused: 0,
      otherOrder: 0,
      notSent: 0,
      stale: 0,
      restarted: 0,
      aborted: 0,
    },
    layersInDoubt: 0,
  };
  #isRunning = false;

  constructor(options: EngineSwitchOptions) {
    this.#options = options;
  }

  /** True from the notice until the engine has loaded proven weights, or the switch has ended otherwise. */
  get isRunning(): boolean {
    return this.#isRunning;
  }

  /** Orders the engine to load `order.held`; returns when that is done and proven, has failed, or `signal` aborts. */
  async run(order: SwitchOrder, signal: AbortSignal): Promise<SwitchEnding> {
    this.#isRunning = true;
    this.#options.onChange();
    if (order.served > 0) await sleep(NOTICE_PERIOD, signal);
    const ending = await this.#loadAll(order, signal);
    // Weights that are not proven are in doubt before the switch counts as ended: no request may get in between.
    this.#options.onEnding(ending);
    this.#isRunning = false;
    this.#options.onChange();
    return ending;
  }

  /** Reads back what a switch to `held` orders first; returns whether it can be ordered. The engine goes on serving meanwhile. */
  async prepare(held: HeldWeights, proofs: LayerProofs, signal: AbortSignal): Promise<boolean> {
    return proofs.isComplete || (await this.#nextRange(held, proofs, 0, signal)) !== undefined;
  }

  async #loadAll(order: SwitchOrder, signal: AbortSignal): Promise<SwitchEnding> {
    const { proofs, held } = order;
    let before = order.state;
    let hasAccepted = false;
    let staleOrders = 0;
    while (!proofs.isComplete && order.isWanted()) {
      const range = await this.#nextRange(held, proofs, PART_REFRESH_TIME, signal);
      if (range === undefined) return hasAccepted ? 'unproven' : 'unchanged';
      const loaded = proofs.loadedBy(range);
      const engineOrder = this.#orderFor(order, before, range);
      const ending = await engineOrder.send(signal);
      this.figures.orders[ending.type]++;
      if (ending.type === 'stale' && ++staleOrders < MAX_STALE_ORDERS) continue;
      if (ending.type === 'restarted') return 'restarted';
      if (ending.type === 'aborted') return 'unproven';
      // What this process has not ordered, another one has.
      if (ending.type === 'otherOrder' || ending.type === 'alreadyHeld') return 'otherOrder';
      if (ending.type !== 'accepted' && hasAccepted) return 'unproven';
      if (ending.type === 'refused' && ending.isFinal) return 'refused';
      if (ending.type !== 'accepted') return 'unchanged';
      hasAccepted = true;
      const [state, unproven] = await Promise.all([
        engineOrder.awaitCompletion(signal),
        this.#unprovenLayers(held, proofs, loaded, ending.time, signal),
      ]);
      if (state === undefined) return signal.aborted ? 'unproven' : 'restarted';
      if (!engineOrder.isCarriedOut(state) || engineOrder.isFollowed(state)) return 'otherOrder';
      proofs.noteOrdered(range, unproven);
      this.figures.layersInDoubt += unproven.size;
      this.#options.log.info('engine loaded', {
        model: held.manifest.model,
        version: held.manifest.version,
        layers: state.layers,
        inDoubt: [...unproven],
        tookMs: Math.round(performance.now() - ending.time.from),
      });
      before = state;
    }
    if (proofs.isComplete) return 'proven';
    return hasAccepted ? 'unproven' : 'unchanged';
  }

  /** Waits until pieces can be loaded, `partTime` longer for a part of them than for all; undefined if none can be, or not in time. */
  async #nextRange(
    held: HeldWeights,
    proofs: LayerProofs,
    partTime: number,
    signal: AbortSignal,
  ): Promise<LayerRange | undefined> {
    const { stage } = this.#options;
    const piecesOfLayers = (layers: readonly number[]) => piecesOf(layers, held, proofs.count);
    const isReady = (layer: number) => stage.isFresh(piecesOfLayers([layer]));
    const pieces = piecesOfLayers(proofs.missing);
    // All layers at once, if reading them back in time is possible; else those that are ready.
    await stage.refresh(held, pieces, () => stage.isFresh(pieces), WHOLE_REFRESH_TIME, signal);
    const isAnyReady = () => proofs.next(isReady).type !== 'wait';
    await stage.refresh(held, pieces, isAnyReady, partTime, signal);
    const next = proofs.next(isReady);
    return next.type === 'hold' ? next.range : undefined;
  }

  #orderFor({ held, proofs }: SwitchOrder, before: EngineState, range: LayerRange): EngineOrder {
    const { engine, stage, log } = this.#options;
    const isWhole = range.from === 0 && range.end === proofs.count;
    return new EngineOrder({
      engine,
      stage,
      readState: (signal) => this.#readState(signal),
      held,
      before,
      layers: isWhole ? undefined : range,
      layerCount: proofs.count,
      pieces: piecesOf(proofs.loadedBy(range), held, proofs.count),
      log,
    });
  }

  /** The layers of `loaded` that are not proven to have been sound when the engine accepted the order. */
  async #unprovenLayers(
    held: HeldWeights,
    proofs: LayerProofs,
    loaded: readonly number[],
    accepted: AcceptanceTime,
    signal: AbortSignal,
  ): Promise<ReadonlySet<number>> {
    const { checks } = this.#options.stage;
    const pieces = piecesOf(loaded, held, proofs.count);
    let unproven = checks.unproven(accepted, pieces);
    for (let round = 0; round < MAX_PROOF_ROUNDS && unproven.length > 0 && !signal.aborted; round++) {
      const isUnread = (piece: number) => checks.uncheckedSince(accepted.by, [piece]).length > 0;
      const unread = unproven.filter((piece) => isUnread(piece) && !checks.isCorrupt(piece));
      if (unread.length === 0) break;
      // Nothing is written: only a piece that has not been written since the order proves what the engine loaded.
      await this.#options.stage.readBack(held, unread, signal);
      unproven = checks.unproven(accepted, pieces);
    }
    const count = held.manifest.digests.length;
    const wanted = new Set(loaded);
    const layers = unproven.flatMap((piece) => layersOfPiece(piece, count, proofs.count));
    return new Set(layers.filter((layer) => wanted.has(layer)));
  }

  async #readState(signal: AbortSignal): Promise<EngineState | undefined> {
    const askedAt = performance.now();
    const answer = await this.#options.engine.state(withLimit(signal, CALL_TIMEOUT));
    const state = answer.ok ? answer.value : undefined;
    this.#options.onState(state, askedAt);
    return state;
  }
}

/** The pieces that hold a part of `layers`. */
function piecesOf(layers: readonly number[], { manifest }: HeldWeights, layerCount: number): number[] {
  const wanted = new Set(layers);
  const count = manifest.digests.length;
  return [...manifest.digests.keys()].filter((piece) =>
    layersOfPiece(piece, count, layerCount).some((layer) => wanted.has(layer)),
  );
}
