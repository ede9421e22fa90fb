/**
 * What this agent process knows of the weights that its engine holds: whether they may be unsound, as an order may have been accepted
 * on checks that were too old, and which layers are proven. Weights in doubt must get no requests until they are proven or loaded anew.
 *
 * A process proves only what the engine has loaded by its own orders. What it finds loaded after an unfinished switch of a former
 * process, it has the engine load anew: that process may have replaced corrupt pieces after its order, so that reading them back
 * proves nothing; and its order may still be accepted, until the count of orders has risen.
 */
import { type BackEndIdentity, isSameStart } from '../model/back-end-identity.js';
import type { Log } from '../observability/log.js';
import { LayerProofs } from '../systems/layer-proofs.js';
import type { SwitchEnding } from './engine-switch.js';
import type { EngineState } from './staged-engine.js';

/** Why the weights of an engine are in doubt. */
type DoubtReason =
  /** The engine was carrying out an order when this process first saw it. */
  | 'occupied'
  /** The engine accepted an order that this process has not sent, or not since the engine's restart. */
  | 'otherOrder'
  /** An entry knows of a switch that a previous agent process has not finished. */
  | 'unfinishedSwitch'
  /** This process could not prove what the engine has loaded. */
  | 'notProven';

export class EngineHoldings {
  readonly #log: Log;
  #isInDoubt = false;
  #isProven = false;
  #start: BackEndIdentity['start'];
  /** Number of orders that the engine had accepted when it was last observed; undefined before. */
  #sequence: number | undefined;
  /** The proofs of the version that is being loaded. */
  #loading: { version: number; layerCount: number; proofs: LayerProofs } | undefined;

  constructor(log: Log) {
    this.#log = log;
  }

  /** Whether the engine may hold weights that are not sound. */
  get isInDoubt(): boolean {
    return this.#isInDoubt;
  }

  /** Whether this process has proven what the engine holds. */
  get isProven(): boolean {
    return this.#isProven;
  }

  /** Applies the engine's state; `isSwitching` tells whether this process is ordering it to switch. */
  observe({ start, sequence, isBusy }: EngineState, isSwitching: boolean): void {
    const isFirst = this.#sequence === undefined;
    const hasRestarted = !isFirst && (!isSameStart(start, this.#start) || sequence < this.#sequence!);
    const previous = hasRestarted ? 0 : (this.#sequence ?? sequence);
    this.#start = start;
    this.#sequence = sequence;
    if (hasRestarted) this.#reset();
    if (isFirst && isBusy) this.#doubt('occupied');
    else if (sequence > previous && (hasRestarted || !isSwitching)) this.#noteOtherOrder();
  }

  /** A previous agent process has not finished a switch of the engine's current start, as an entry knows. */
  noteUnfinishedSwitch(): void {
    if (!this.#isProven) this.#doubt('unfinishedSwitch');
  }

  /** The proofs of the layers of `version`; those that the engine holds already are in doubt unless this process has proven them. */
  proofsOf(version: number, { layers }: EngineState, layerCount: number): LayerProofs {
    const known = this.#loading;
    if (known?.version === version && known.layerCount === layerCount) return known.proofs;
    const proofs = new LayerProofs(layerCount);
    if (layers?.version === version) proofs.noteHeld(layers, new Set(proofs.all));
    this.#loading = { version, layerCount, proofs };
    return proofs;
  }

  /** A switch has ended. */
  noteEnding(ending: SwitchEnding): void {
    if (ending === 'unproven') this.#doubt('notProven');
    if (ending === 'otherOrder') this.#noteOtherOrder();
    if (ending !== 'proven') return;
    this.#loading = undefined;
    this.#isProven = true;
    this.#isInDoubt = false;
  }

  #noteOtherOrder(): void {
    // The engine may have given up proven layers, or loaded them anew.
    this.#loading = undefined;
    this.#doubt('otherOrder');
  }

  #reset(): void {
    this.#isInDoubt = false;
    this.#isProven = false;
    this.#loading = undefined;
  }

  #doubt(reason: DoubtReason): void {
    this.#isProven = false;
    if (this.#isInDoubt) return;
    this.#isInDoubt = true;
    this.#log.info('weights in doubt', { reason, start: this.#start, orders: this.#sequence });
  }
}
