/** The interface of an engine that loads weights from a staging area on its own machine. */
import type { BackEndIdentity } from '../model/back-end-identity.js';
import type { Result } from '../model/result.js';
import type { HeldLayers } from '../protocol/back-end-list-state.js';
import type { LayerRange } from '../systems/layer-proofs.js';
import type { WeightsVersion } from './held-weights.js';

/** Why a call to the engine has no result. */
export type EngineError = { type: 'engineUnreachable'; reason: string };

/** The state of an engine. */
export interface EngineState {
  /** Identifies its current start ({@link BackEndIdentity}); undefined if the engine does not report it. */
  start?: BackEndIdentity['start'];
  /** The model that it serves or is to serve; empty if it reports none. */
  model: string;
  /** Undefined if it holds none. */
  layers: HeldLayers | undefined;
  /** An order is being carried out. */
  isBusy: boolean;
  /** Requests of all callers that run or wait there. */
  load: number;
  /** How many times as long as its service declares it takes at present; undefined if it does not report it. */
  pace?: number | undefined;
  /** Number of orders accepted since the start. */
  sequence: number;
  /** Rate limit in requests per second; undefined if this answer names none. */
  rateLimit?: number | undefined;
}

/** The engine's answer to an order. */
export type OrderOutcome =
  /** The order is being carried out: the engine loads what is in its stage at this moment. */
  | { type: 'taken' }
  /** The engine already holds the layers and loads nothing. */
  | { type: 'held' }
  /**
   * The order does not match the engine's state, or a newer one was accepted. If `isFinal`, it is refused at any later time too, as it is
   * malformed or its fencing token is too low.
   */
  | { type: 'refused'; status: number; isFinal: boolean };

/** What happens to an engine's running requests when it switches to another version. */
export type RunningRequests =
  /** The engine accepts no new requests and waits for them to finish. */
  | 'finish'
  /** The engine drops them at once; their senders continue them elsewhere. */
  | 'drop';

/** An order to hold layers of the version in the stage; the engine loads those that it does not hold yet. */
export interface StartOrder extends WeightsVersion {
  /** The layers to hold; all if undefined. */
  layers?: LayerRange | undefined;
  running: RunningRequests;
  /** Number of orders accepted so far; the engine refuses an order with any other number. */
  expectedSequence: number;
}

/** The engine next to this agent. */
export interface StagedEngine {
  state(signal: AbortSignal): Promise<Result<EngineState, EngineError>>;
  /** Writes a piece to the stage, which holds one version of a model. */
  stage(model: string, index: number, bytes: Buffer, signal: AbortSignal): Promise<Result<void, EngineError>>;
  /** Reads a piece from the stage; undefined if it is not there. */
  staged(model: string, index: number, signal: AbortSignal): Promise<Result<Buffer | undefined, EngineError>>;
  /** Orders the engine to load the version in the stage. */
  start(order: StartOrder, signal: AbortSignal): Promise<Result<OrderOutcome, EngineError>>;
}
