/** An agent's connection to one entry: of its own zone where there is one; another when it breaks. */

import { sleep } from '../fleet/table-follower.js';
import type { Random } from '../model/random.js';
import { StallDetector } from '../model/standstills.js';
import type { Startable } from '../model/startable.js';
import { withLimit } from '../model/time-limit.js';
import { type Connection, type ConnectionContext, connect } from '../protocol/connection.js';
import type { WeightsPlan } from '../protocol/reports.js';
import { Dialling } from './dialling.js';

/** Longest pause between two rounds over all known entries, in milliseconds. */
const LONGEST_ROUND_PAUSE = 400;
/** Without a plan for this long the entry is left, in milliseconds. */
const PLAN_LIMIT = 2_200;
const CHECK_INTERVAL = 250;
/** Time between the first words to one entry and to the next, in milliseconds. */
const STAGGER = 120;

/** What the link works with. */
export interface EntryLinkOptions {
  context: ConnectionContext;
  seeds: readonly string[];
  random: Random;
  onPlan: (plan: WeightsPlan) => void;
  onConnected: () => void;
}

/** The link. */
export class EntryLink implements Startable {
  readonly #options: EntryLinkOptions;
  #stopped = new AbortController();
  #connection: Connection | undefined;
  #entries: readonly string[] = [];
  #heardAt = 0;
  readonly #dialling = new Dialling(LONGEST_ROUND_PAUSE);
  /** Whether the latest plan names an entry of this agent's zone. */
  #hasNearEntry = false;

  constructor(options: EntryLinkOptions) {
    this.#options = options;
  }

  /** The entry that is connected. */
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
        this.#dialling.noteSuccess();
        await this.#use(connection, signal);
        continue;
      }
      const pause = this.#dialling.noteFailure();
      await sleep(pause * (0.5 + this.#options.random.fraction() / 2), signal);
    }
  }

  /**
   * Asks the candidates, a moment after one another, until one answers: one that is cut off would answer nothing for
   * long.
   */
  async #dial(signal: AbortSignal): Promise<Connection | undefined> {
    const others = new AbortController();
    const round = AbortSignal.any([signal, others.signal]);
    const first = new Promise<Connection | undefined>((resolve) => {
      const tries = this.#candidates().map(async (address, place) => {
        await sleep(place * STAGGER, round);
        if (round.aborted) return;
        const limit = withLimit(round, this.#dialling.limit);
        const connected = await connect(address, this.#options.context, limit);
        if (!connected.ok) return;
        if (round.aborted) return connected.value.close();
        others.abort();
        resolve(connected.value);
      });
      void Promise.all(tries).then(() => resolve(undefined));
    });
    return first;
  }

  /** Entries that were told of, nearest first, then those of the settings. */
  #candidates(): string[] {
    return [...new Set([...this.#entries, ...this.#options.seeds])];
  }

  /** Uses a connection until it breaks, goes silent, or a nearer entry is known. */
  async #use(connection: Connection, signal: AbortSignal): Promise<void> {
    const ownZone = this.#options.context.hello().peer.zone;
    this.#connection = connection;
    this.#heardAt = performance.now();
    connection.handleMessages((message) => {
      if (message.type !== 'weightsPlan') return;
      this.#heardAt = performance.now();
      this.#entries = message.plan.entries;
      this.#hasNearEntry = message.plan.hasNearEntry;
      this.#options.onPlan(message.plan);
    });
    this.#options.onConnected();
    const standstills = new StallDetector(CHECK_INTERVAL, performance.now());
    const silence = () => standstills.runningTime(this.#heardAt, performance.now());
    while (!signal.aborted && connection.open && silence() < PLAN_LIMIT) {
      await sleep(CHECK_INTERVAL, signal);
      standstills.tick(performance.now());
      if (this.#hasNearEntry && connection.remote.peer.zone !== ownZone) break;
    }
    this.#connection = undefined;
    connection.close();
  }
}
