/**
 * An agent's connection to one entry, in its own zone if possible. If the connection breaks, the agent
 * connects to another.
 */

import { sleep } from '../fleet/table-follower.js';
import type { Random } from '../model/random.js';
import { StallDetector } from '../model/stall-detector.js';
import type { Startable } from '../model/startable.js';
import { withLimit } from '../model/time-limit.js';
import { type Connection, type ConnectionContext, connect } from '../protocol/connection.js';
import type { WeightsPlan } from '../protocol/reports.js';
import { DialBackoff } from './dial-backoff.js';

/** Longest pause between two rounds over all known entries, in milliseconds. */
const MAX_ROUND_PAUSE = 400;
/** The connection is closed after this long without a plan, in milliseconds. */
const PLAN_TIMEOUT = 2_200;
const CHECK_INTERVAL = 250;
/** Delay between the attempts to connect to one entry and to the next, in milliseconds. */
const DIAL_STAGGER = 120;

export interface EntryLinkOptions {
  context: ConnectionContext;
  seeds: readonly string[];
  random: Random;
  onPlan: (plan: WeightsPlan) => void;
  onConnected: () => void;
}

/** Keeps one connection open. */
export class EntryLink implements Startable {
  readonly #options: EntryLinkOptions;
  #stopped = new AbortController();
  #connection: Connection | undefined;
  #entries: readonly string[] = [];
  #lastPlanAt = 0;
  readonly #dialBackoff = new DialBackoff(MAX_ROUND_PAUSE);
  /** Whether the latest plan names an entry of this agent's zone. */
  #hasNearEntry = false;

  constructor(options: EntryLinkOptions) {
    this.#options = options;
  }

  /** The current connection, if any. */
  get connection(): Connection | undefined {
    return this.#connection;
  }

  async start(): Promise<void> {
    this.#stopped = new AbortController();
    void this.#run(this.#stopped.signal);
  }

  async stop(): Promise<void> {
    this.#stopped.abort();
    this.#connection?.close();
  }

  async #run(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      const connection = await this.#dial(signal);
      if (connection !== undefined) {
        this.#dialBackoff.noteSuccess();
        await this.#monitor(connection, signal);
        continue;
      }
      const pause = this.#dialBackoff.noteFailure();
      await sleep(pause * (0.5 + this.#options.random.fraction() / 2), signal);
    }
  }

  /**
   * Connects to the candidates, each shortly after the one before, until one answers: an entry that is cut
   * off would not answer for a long time.
   */
  async #dial(signal: AbortSignal): Promise<Connection | undefined> {
    const others = new AbortController();
    const round = AbortSignal.any([signal, others.signal]);
    const first = new Promise<Connection | undefined>((resolve) => {
      const tries = this.#candidates().map(async (address, place) => {
        await sleep(place * DIAL_STAGGER, round);
        if (round.aborted) return;
        const dialSignal = withLimit(round, this.#dialBackoff.timeout);
        const connected = await connect(address, this.#options.context, dialSignal);
        if (!connected.ok) return;
        if (round.aborted) return connected.value.close();
        others.abort();
        resolve(connected.value);
      });
      void Promise.all(tries).then(() => resolve(undefined));
    });
    return first;
  }

  /** The entries named in the latest plan, nearest first, then those of the settings. */
  #candidates(): string[] {
    return [...new Set([...this.#entries, ...this.#options.seeds])];
  }

  /** Uses a connection until it breaks, goes silent, or an entry in the agent's own zone becomes known. */
  async #monitor(connection: Connection, signal: AbortSignal): Promise<void> {
    const ownZone = this.#options.context.hello().peer.zone;
    this.#connection = connection;
    this.#lastPlanAt = performance.now();
    connection.handleMessages((message) => {
      if (message.type !== 'weightsPlan') return;
      this.#lastPlanAt = performance.now();
      this.#entries = message.plan.entries;
      this.#hasNearEntry = message.plan.hasNearEntry;
      this.#options.onPlan(message.plan);
    });
    this.#options.onConnected();
    const standstills = new StallDetector(CHECK_INTERVAL, performance.now());
    const silence = () => standstills.runningTime(this.#lastPlanAt, performance.now());
    while (!signal.aborted && connection.open && silence() < PLAN_TIMEOUT) {
      await sleep(CHECK_INTERVAL, signal);
      standstills.tick(performance.now());
      if (this.#hasNearEntry && connection.remote.peer.zone !== ownZone) break;
    }
    this.#connection = undefined;
    connection.close();
  }
}
