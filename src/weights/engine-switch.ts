/**
 * One engine's change to another version: the notice, the order, and the wait until the engine holds it. It hangs on
 * nothing but the engine: that the version is not wanted any more, or its fetch has ended, does not end it, as an order
 * that was taken cannot be taken back.
 */
import { sleep } from '../fleet/table-follower.js';
import { isSameStart } from '../model/back-end-identity.js';
import { withLimit } from '../model/time-limit.js';
import type { Log } from '../observability/log.js';
import type { WeightsVersion } from './held-weights.js';
import type { EngineState, StagedEngine } from './staged-engine.js';

/** Notice of a switch before the order, in milliseconds: the time to tell entries, so that nothing new comes. */
const NOTICE_PERIOD = 60;
/** Time between two looks at an engine that carries an order out, in milliseconds. */
const POLL_INTERVAL = 60;
const CALL_TIMEOUT = 1_000;

/** What a switch works with. */
export interface EngineSwitchOptions {
  engine: StagedEngine;
  /** Takes each state that was read, and when it was asked for; undefined where the engine did not answer. */
  onState: (state: EngineState | undefined, askedAt: number) => void;
  /** Called when a switch begins and ends. */
  onChange: () => void;
  log: Log;
}

/** What is ordered. */
export interface SwitchOrder {
  target: WeightsVersion;
  /** The engine's state before. */
  state: EngineState;
  /** Version that it serves; 0 for none. */
  served: number;
}

/** The switches of one engine, one at a time. */
export class EngineSwitch {
  readonly #options: EngineSwitchOptions;
  #isRunning = false;

  constructor(options: EngineSwitchOptions) {
    this.#options = options;
  }

  /** True from the notice until the engine has carried the order out, or did not take it. */
  get isRunning(): boolean {
    return this.#isRunning;
  }

  /** Orders the engine to take `order.target`; ends when that is done or has failed, or at `signal`. */
  async run(order: SwitchOrder, signal: AbortSignal): Promise<void> {
    this.#isRunning = true;
    this.#options.onChange();
    if (order.served > 0) await sleep(NOTICE_PERIOD, signal);
    const isAccepted =
      (await this.#hasNotRestarted(order.state, signal)) && (await this.#sendOrder(order, signal));
    if (isAccepted) await this.#awaitCompletion(order, signal);
    this.#isRunning = false;
    this.#options.onChange();
  }

  /**
   * True where the engine has not started again since `before` was read: its stage may be empty now, and its count of orders
   * begins anew, so that an order that was meant for the former start could fit the next.
   */
  async #hasNotRestarted({ start }: EngineState, signal: AbortSignal): Promise<boolean> {
    if (start === undefined) return true;
    const state = await this.#readState(signal);
    if (state !== undefined && isSameStart(state.start, start)) return true;
    this.#options.log.info('order not given', { start, found: state?.start, isReached: state !== undefined });
    return false;
  }

  async #readState(signal: AbortSignal): Promise<EngineState | undefined> {
    const askedAt = performance.now();
    const answer = await this.#options.engine.state(withLimit(signal, CALL_TIMEOUT));
    const state = answer.ok ? answer.value : undefined;
    this.#options.onState(state, askedAt);
    return state;
  }

  /** True where the engine has taken the order. */
  async #sendOrder({ target, state, served }: SwitchOrder, signal: AbortSignal): Promise<boolean> {
    const { model, version } = target;
    // Requests are never dropped: this process does not know which of them could go on elsewhere. Entries move streams away.
    const order = { model, version, running: 'finish', expectedSequence: state.sequence } as const;
    const outcome = await this.#options.engine.start(order, withLimit(signal, CALL_TIMEOUT));
    const answer = outcome.ok ? outcome.value : outcome.error;
    this.#options.log.info('engine ordered', { ...order, from: served, load: state.load, answer });
    // An order without an answer may have been taken: the engine's state tells.
    return !outcome.ok || outcome.value.type === 'taken';
  }

  async #awaitCompletion({ target, state: before }: SwitchOrder, signal: AbortSignal): Promise<void> {
    const startedAt = performance.now();
    while (!signal.aborted) {
      await sleep(POLL_INTERVAL, signal);
      const state = await this.#readState(signal);
      // One that has started again does not carry the order out.
      if (state?.isBusy === true && isSameStart(state.start, before.start)) continue;
      const tookMs = Math.round(performance.now() - startedAt);
      this.#options.log.info('switch ended', {
        wanted: target.version,
        layers: state?.layers,
        isReached: state !== undefined,
        tookMs,
      });
      return;
    }
  }
}
