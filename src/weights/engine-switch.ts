/**
 * Switches an engine to another version: gives notice, sends the order, and waits until the engine has
 * carried it out. The switch depends on nothing but the engine. It continues if the version is no longer
 * wanted or its fetch has ended, since an order that was accepted cannot be withdrawn.
 */
import { sleep } from '../fleet/table-follower.js';
import { isSameStart } from '../model/back-end-identity.js';
import { withLimit } from '../model/time-limit.js';
import type { Log } from '../observability/log.js';
import type { StageCheck } from './engine-stage.js';
import type { WeightsVersion } from './held-weights.js';
import type { EngineState, StagedEngine } from './staged-engine.js';

/**
 * Time between the notice of a switch and the order, in milliseconds: entries learn of it and send no new
 * requests.
 */
const NOTICE_PERIOD = 60;
/** Interval at which an engine that carries out an order is polled, in milliseconds. */
const POLL_INTERVAL = 60;
const CALL_TIMEOUT = 1_000;

export interface EngineSwitchOptions {
  engine: StagedEngine;
  /**
   * Called with each state that was read and the time of the request; undefined if the engine did not answer.
   */
  onState: (state: EngineState | undefined, askedAt: number) => void;
  /** Called when a switch begins and when it ends. */
  onChange: () => void;
  log: Log;
}

/** The version to load, and the state of the engine on which the decision was based. */
export interface SwitchOrder {
  target: WeightsVersion;
  /** The engine's state before the order. */
  state: EngineState;
  /** Version that the engine serves; 0 if none. */
  served: number;
  /** What reading the stage back found. */
  check: StageCheck;
}

/** The switches of one engine, one at a time. */
export class EngineSwitch {
  readonly #options: EngineSwitchOptions;
  #isRunning = false;

  constructor(options: EngineSwitchOptions) {
    this.#options = options;
  }

  /** True from the notice until the engine has carried out the order or not accepted it. */
  get isRunning(): boolean {
    return this.#isRunning;
  }

  /** Orders the engine to load `order.target`; returns when that is done, has failed, or `signal` aborts. */
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
   * True if the engine has not restarted since `before` was read. After a restart its stage may be empty and
   * its count of orders begins anew, so that an order meant for the previous start could be accepted by the
   * next.
   */
  async #hasNotRestarted({ start }: EngineState, signal: AbortSignal): Promise<boolean> {
    if (start === undefined) return true;
    const state = await this.#readState(signal);
    if (state !== undefined && isSameStart(state.start, start)) return true;
    this.#options.log.info('order not sent: engine restarted or unreachable', {
      start,
      found: state?.start,
      isReached: state !== undefined,
    });
    return false;
  }

  async #readState(signal: AbortSignal): Promise<EngineState | undefined> {
    const askedAt = performance.now();
    const answer = await this.#options.engine.state(withLimit(signal, CALL_TIMEOUT));
    const state = answer.ok ? answer.value : undefined;
    this.#options.onState(state, askedAt);
    return state;
  }

  /** True if the engine has accepted the order, or may have. */
  async #sendOrder({ target, state, served, check }: SwitchOrder, signal: AbortSignal): Promise<boolean> {
    const { model, version } = target;
    // Running requests are never dropped: the agent does not know which of them could continue elsewhere.
    // Entries move streams to other engines.
    const order = { model, version, running: 'finish', expectedSequence: state.sequence } as const;
    const sentAt = performance.now();
    const outcome = await this.#options.engine.start(order, withLimit(signal, CALL_TIMEOUT));
    const answer = outcome.ok ? outcome.value : outcome.error;
    this.#options.log.info('engine ordered', {
      ...order,
      from: served,
      load: state.load,
      answer,
      answerMs: Math.round(performance.now() - sentAt),
      oldestCheckMs: Math.round(sentAt - check.oldestAt),
      readBackMs: Math.round(check.took),
      replaced: check.replaced,
    });
    // An order without an answer may have been accepted: the engine's state will show.
    return !outcome.ok || outcome.value.type === 'taken';
  }

  async #awaitCompletion({ target, state: before }: SwitchOrder, signal: AbortSignal): Promise<void> {
    const startedAt = performance.now();
    while (!signal.aborted) {
      await sleep(POLL_INTERVAL, signal);
      const state = await this.#readState(signal);
      // An engine that has restarted does not carry out the order.
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
