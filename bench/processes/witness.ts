/**
 * A judge from outside: it speaks the agents' exchange protocol itself. As a machine in a forbidden place it
 * asks for chunks that it must not get; as one in an allowed place it samples what agents pass on and compares
 * the digests.
 */

import { setMaxListeners } from 'node:events';
import type { OriginVersion } from '../../emulator/platform/weights.js';
import { HybridClock } from '../../src/model/hybrid-clock.js';
import { digestOf } from '../../src/model/manifest.js';
import { type Connection, connect, createTrafficCounters } from '../../src/protocol/connection.js';
import { type Message, transferKeyOf } from '../../src/protocol/messages.js';
import type { StartedAgent } from './cluster.js';

/** Time between two requests to one agent, in milliseconds. */
const REQUEST_INTERVAL = 1_000;

/** What a witness saw. */
export interface WitnessCounts {
  placeBreaches: number;
  unverifiedChunks: number;
  sampledChunks: number;
  refusedChunks: number;
}

/** A witness of one version's burst. */
export class Witness {
  readonly counts: WitnessCounts = {
    placeBreaches: 0,
    unverifiedChunks: 0,
    sampledChunks: 0,
    refusedChunks: 0,
  };
  readonly #version: OriginVersion;
  readonly #closing = new AbortController();
  readonly #timers: NodeJS.Timeout[] = [];

  constructor(version: OriginVersion) {
    this.#version = version;
    setMaxListeners(0, this.#closing.signal);
  }

  /** Begins to ask these agents. `allowedPlace` is a place of the declaration. */
  async start(agents: readonly StartedAgent[], allowedPlace: string): Promise<void> {
    for (const [index, agent] of agents.entries()) {
      await this.#watch(agent, `outsider-${index}`, 'forbidden-place');
      await this.#watch(agent, `sampler-${index}`, allowedPlace);
    }
  }

  stop(): void {
    this.#closing.abort();
    for (const timer of this.#timers) clearInterval(timer);
  }

  async #watch(agent: StartedAgent, id: string, place: string): Promise<void> {
    const peer = { id, address: '127.0.0.1:1', place, region: agent.region, zone: agent.zone };
    const context = {
      clock: new HybridClock(),
      counters: createTrafficCounters(),
      hello: () => ({ type: 'hello', role: 'agent', peer }) as const,
    };
    const outcome = await connect(agent.peers, context, this.#closing.signal);
    if (!outcome.ok) return;
    const connection = outcome.value;
    this.#closing.signal.addEventListener('abort', () => connection.close(), { once: true });
    connection.handleMessages((message) => this.#judge(message, place));
    this.#timers.push(setInterval(() => this.#ask(connection), REQUEST_INTERVAL));
  }

  #ask(connection: Connection): void {
    const transfer = transferKeyOf(this.#version.version);
    const chunk = Math.floor(Math.random() * this.#version.manifest.chunks.length);
    const have = this.#version.manifest.chunks.length;
    connection.send({ type: 'request', transfer, chunk, have, urgent: false });
  }

  #judge(message: Message, place: string): void {
    if (message.type === 'refuse') this.counts.refusedChunks++;
    if (message.type !== 'chunk') return;
    if (place === 'forbidden-place') this.counts.placeBreaches++;
    else this.counts.sampledChunks++;
    const expected = this.#version.manifest.chunks[message.chunk].digest;
    if (digestOf(message.data) !== expected) this.counts.unverifiedChunks++;
  }
}
