/** The bursts that this entry coordinates. Machines select a burst's coordinator by rendezvous hashing. */
import { ChunkSet } from '../model/chunk-set.js';
import { hash32, seededRandom } from '../model/random.js';
import type { Startable } from '../model/startable.js';
import type { Timeline } from '../observability/timeline.js';
import type { Connection } from '../protocol/connection.js';
import { type Message, type TransferKey, transferKeyOf } from '../protocol/messages.js';
import {
  BurstCoordinator,
  type CoordinatorCommand,
  DEFAULT_COORDINATOR_LIMITS,
} from '../systems/distribution/coordinator.js';
import type { DistributionStrategy } from '../systems/distribution/neighbour-selection.js';

const TICK_INTERVAL = 20;

/** A burst and the connections of its members. */
interface Burst {
  coordinator: BurstCoordinator;
  connections: Map<string, Connection>;
}

/** The burst coordinators that run at one entry. */
export class BurstCoordinators implements Startable {
  readonly #bursts = new Map<TransferKey, Burst>();
  readonly #timeline: Timeline;
  readonly #strategy: DistributionStrategy;
  #timer: NodeJS.Timeout | undefined;
  #tickQueued = false;

  constructor(timeline: Timeline, strategy: DistributionStrategy = 'swarm') {
    this.#timeline = timeline;
    this.#strategy = strategy;
  }

  /** Number of bursts with members. */
  get active(): number {
    return this.#bursts.size;
  }

  /** Does nothing: the timer starts when the first machine joins a burst. */
  async start(): Promise<void> {}

  async stop(): Promise<void> {
    this.#stopTimer();
  }

  #stopTimer(): void {
    clearInterval(this.#timer);
    this.#timer = undefined;
  }

  /** Handles a message from an agent; returns false if it does not concern bursts. */
  handle(connection: Connection, message: Message): boolean {
    const handled = this.#handle(connection, message);
    if (handled) this.#tickSoon();
    return handled;
  }

  #tickSoon(): void {
    if (this.#tickQueued) return;
    this.#tickQueued = true;
    setImmediate(() => {
      this.#tickQueued = false;
      this.#tick();
    });
  }

  #handle(connection: Connection, message: Message): boolean {
    const { id } = connection.remote.peer;
    switch (message.type) {
      case 'join':
        this.#join(connection, message);
        return true;
      case 'leave':
        this.#leave(transferKeyOf(message.version), id, connection);
        return true;
      case 'report':
        this.#bursts.get(message.transfer)?.coordinator.onReport(id, message.have, message.starving);
        return true;
      case 'grantEnded': {
        const { transfer, grantId, chunk, succeeded } = message;
        this.#bursts.get(transfer)?.coordinator.onGrantEnded(id, grantId, chunk, succeeded);
        return true;
      }
      default:
        return false;
    }
  }

  /** Removes the agent of a lost connection from all bursts. */
  lost(connection: Connection): void {
    for (const key of [...this.#bursts.keys()]) this.#leave(key, connection.remote.peer.id, connection);
  }

  #join(connection: Connection, message: Message & { type: 'join' }): void {
    const { version, chunkCount, objective, have } = message;
    const key = transferKeyOf(version);
    let burst = this.#bursts.get(key);
    if (burst === undefined) {
      const random = seededRandom(hash32(version));
      const limits = DEFAULT_COORDINATOR_LIMITS;
      const strategy = this.#strategy;
      const coordinator = new BurstCoordinator({ chunkCount, objective, strategy, limits, random });
      burst = { coordinator, connections: new Map() };
      this.#bursts.set(key, burst);
    }
    this.#timer ??= setInterval(() => this.#tick(), TICK_INTERVAL);
    const { peer } = connection.remote;
    burst.connections.set(peer.id, connection);
    burst.coordinator.onJoin(peer, ChunkSet.fromBytes(chunkCount, have));
    this.#timeline.record({ type: 'burstMemberJoined', version, agent: peer.id });
  }

  #leave(key: TransferKey, id: string, connection: Connection): void {
    const burst = this.#bursts.get(key);
    if (burst === undefined || burst.connections.get(id) !== connection) return;
    burst.connections.delete(id);
    burst.coordinator.onLeave(id);
    if (burst.connections.size > 0) return;
    this.#bursts.delete(key);
    if (this.#bursts.size === 0) this.#stopTimer();
  }

  #tick(): void {
    const now = performance.now();
    for (const [transfer, burst] of this.#bursts) {
      if (burst.coordinator.idle) continue;
      for (const command of burst.coordinator.tick(now)) this.#send(transfer, burst, command);
    }
  }

  #send(transfer: TransferKey, burst: Burst, command: CoordinatorCommand): void {
    const connection = burst.connections.get(command.member);
    if (command.type === 'grant') connection?.send({ type: 'grant', transfer, grant: command.grant });
    else connection?.send({ type: 'neighbours', transfer, peers: command.peers });
  }
}
