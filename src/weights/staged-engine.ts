/** The contract of an engine that loads weights from a stage on its own machine. */
import type { BackEndIdentity } from '../model/back-end-identity.js';
import type { Result } from '../model/result.js';
import type { HeldLayers } from '../protocol/back-end-list-state.js';
import type { WeightsVersion } from './held-weights.js';

/** Why a call to the engine has no result. */
export type EngineError = { type: 'engineUnreachable'; reason: string };

/** The state of an engine. */
export interface EngineState {
  /** Names its start ({@link BackEndIdentity}); undefined where it does not tell it. */
  start?: BackEndIdentity['start'];
  /** The model that it serves or is to serve; empty where it tells none. */
  model: string;
  /** Undefined where it holds none. */
  layers: HeldLayers | undefined;
  /** An order is being carried out. */
  isBusy: boolean;
  /** Requests of all callers that run or wait there. */
  load: number;
  /** Orders that it has taken. */
  sequence: number;
  /** Rate limit in requests per second; undefined if this answer names none. */
  rateLimit?: number | undefined;
}

/** What became of an order. */
export type OrderOutcome =
  /** It is being carried out, or holds already. */
  | { type: 'taken' }
  /** It does not fit the engine's state, or a newer order was given. */
  | { type: 'refused'; status: number };

/** What becomes of the requests that run at an engine when it takes another version. */
export type RunningRequests =
  /** The engine takes nothing new and waits for them. */
  | 'finish'
  /** The engine drops them at once; who sent them goes on with them elsewhere. */
  | 'drop';

/** The order to take what lies in the stage. */
export interface StartOrder extends WeightsVersion {
  running: RunningRequests;
  /** Orders that the engine has taken so far; with any other number it refuses. */
  expectedSequence: number;
}

/** The engine beside this process. */
export interface StagedEngine {
  state(signal: AbortSignal): Promise<Result<EngineState, EngineError>>;
  /** Lays a piece into the stage, which holds one version of a model. */
  stage(model: string, index: number, bytes: Buffer, signal: AbortSignal): Promise<Result<void, EngineError>>;
  /** What lies in the stage; undefined for nothing. */
  staged(model: string, index: number, signal: AbortSignal): Promise<Result<Buffer | undefined, EngineError>>;
  /** Orders the engine to take what lies in the stage. */
  start(order: StartOrder, signal: AbortSignal): Promise<Result<OrderOutcome, EngineError>>;
}
